#pragma once

#include "standin_http.h"

#include <map>
#include <string>
#include <vector>

namespace hickory::standin {

/// Client-side list of entries with a pool of idle connections to each of them.
class EntryPool {
public:
    /// @param seeds "ip:port" of entries that are used until a list of entries was fetched
    explicit EntryPool(std::vector<std::string> seeds);

    /// Fetches the list of entries from the first entry that answers, if the time to live of the current list is over.
    void refresh();
    /// @return address of the next entry, round robin
    std::string pick();
    /// @return an idle connection to an entry, or a new one
    std::unique_ptr<httplib::Client> take(const std::string& address);
    /// Returns a connection to the pool, to be reused by a later request.
    void returnConnection(const std::string& address, std::unique_ptr<httplib::Client> client);

private:
    const std::vector<std::string> seeds; ///< asked for the list of entries if no listed entry answers
    std::mutex mutex; ///< protects all members below
    std::vector<std::string> addresses; ///< current list of entries, at first the seeds
    SteadyClock::time_point expires; ///< time from which the list is fetched again
    std::size_t nextEntry { 0 }; ///< round-robin counter
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle; ///< idle connections by address
};

} // namespace hickory::standin
