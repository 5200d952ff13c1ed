#pragma once

#include "standin_http.h"

#include <map>
#include <string>
#include <vector>

namespace hickory::standin {

/// Addresses of entries with their idle connections, as a caller keeps them.
class EntryPool {
public:
    /// @param seeds "ip:port" of entries to ask first
    explicit EntryPool(std::vector<std::string> seeds);

    /// Asks any entry for the list when the time to live of the present one has passed.
    void refresh();
    /// @return address of the next entry in turn
    std::string pick();
    /// @return an idle connection, or a new one
    std::unique_ptr<httplib::Client> take(const std::string& address);
    /// Keeps a connection for the next request.
    void giveBack(const std::string& address, std::unique_ptr<httplib::Client> client);

private:
    const std::vector<std::string> seeds; ///< asked when no known entry answers
    std::mutex mutex; ///< protects everything below
    std::vector<std::string> addresses; ///< entries to use now
    SteadyClock::time_point expires; ///< end of the list's time to live
    std::size_t turn { 0 }; ///< next entry
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle; ///< kept connections
};

} // namespace hickory::standin
