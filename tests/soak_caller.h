#pragma once

#include "call_pool_io.h"
#include "soak_ledger.h"

#include <asio.hpp>
#include <string>
#include <vector>

namespace hickory::soak {

/// A request that a caller is to send.
struct CallerRequest {
    RequestKind requestKind { RequestKind::Idempotent }; ///< decides on route, method and body
    std::size_t entry { 0 }; ///< index of the entry's address
    std::string key; ///< API key of the workspace
    bool faultFree { false }; ///< no fault is active, so the request must succeed
    std::string promptParts; ///< parts of a stream's prompt as "id:tokens,..." without its own last part, may be empty
    bool deadly { false }; ///< promptParts contains Ledger::deadlyPart
    Milliseconds leavesAfter { 0 }; ///< the caller closes its connection then, 0 if it waits for its deadline
    Milliseconds deadline { 4000 }; ///< sent with the request
    bool soundAnswers { false }; ///< no answer of an upstream to it has a fault
};

/// Sends requests to the entries over reused connections and checks each response. Violations go to the ledger.
class Callers {
public:
    /// @param entryAddresses "ip:port" of all entries, whether running or not
    Callers(asio::io_context& io, Ledger& ledger, std::vector<std::string> entryAddresses);

    /// Sends one request. The response is checked when it ends or the request times out.
    void send(const CallerRequest& request);
    /// Closes connections that were idle for too long.
    void sweep() { this->pool.sweep(monotonicNow()); }

private:
    struct Call;

    void checkAnswer(const Call& call, CallEnd end);

    asio::io_context& io; ///< event loop of all stand-ins
    Ledger& ledger; ///< receives attempts and violations
    std::vector<std::string> entryAddresses; ///< "ip:port" by entry index
    CallPool pool; ///< connections to the entries
    std::uint64_t lastId { 0 }; ///< number in the id of the last attempt, 0 before the first
};

} // namespace hickory::soak
