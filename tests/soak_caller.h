#pragma once

#include "call_pool_io.h"
#include "soak_ledger.h"

#include <asio.hpp>
#include <string>
#include <vector>

namespace hickory::soak {

/// Callers that keep their connections to entries open, and check what they are answered.
class Callers {
public:
    /// @param fronts "ip:port" of all entries, running or not
    Callers(asio::io_context& io, Ledger& ledger, std::vector<std::string> fronts);

    /// Sends one request to an entry.
    /// @param key of the workspace
    /// @param calm no fault is in force: it must be answered
    void send(Ask ask, std::size_t entry, const std::string& key, bool calm);
    void sweep() { this->pool.sweep(monotonicNow()); }

private:
    struct Call;

    void judge(const Call& call, CallEnd end);

    asio::io_context& io; ///< loop
    Ledger& ledger; ///< what happened
    std::vector<std::string> fronts; ///< of entries
    CallPool pool; ///< client
    std::uint64_t lastId { 0 }; ///< of attempts
};

} // namespace hickory::soak
