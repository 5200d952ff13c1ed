#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "limit_share_func.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Hash of an upstream's id and the start of its process: identifies one run of it in messages between entries.
using UpstreamProcessId = NumberId<struct UpstreamProcessTag>;

/// Load of an upstream as it states it.
struct StatedLoad {
    std::uint32_t running { 0 }; ///< requests in its slots
    std::uint32_t waiting { 0 }; ///< requests in its queue
    std::uint32_t slots { 0 }; ///< requests that it runs concurrently
    /// How long work takes on its host at this moment, relative to the usual time; empty if it does not state that.
    std::optional<double> slowdown;
};

/// What an upstream says of itself in the head of an answer.
struct UpstreamNotice {
    std::optional<double> requestsPerSecond; ///< most that it takes from all entries together; empty for no limit
    bool leaving { false }; ///< it is about to stop and takes no new requests
    /// It turned a request away and wants no other of this entry for so long; 0 for none.
    Milliseconds pause { 0 };
    std::optional<StatedLoad> load; ///< empty if it does not state its load
    std::optional<Milliseconds> coldLeft; ///< how much longer it is cold; empty if it does not state that
};

/// What an entry knows that a process of an upstream said of itself, and what follows for its own sends.
struct UpstreamStanding {
    std::optional<double> requestsPerSecond; ///< as in UpstreamNotice, newest
    Milliseconds limitSaidAt; ///< when it said so
    std::optional<Milliseconds> leavesSince; ///< when it said that it leaves, which it never takes back
    Milliseconds changedAt; ///< when this entry last learned something new
    LimitAllowance allowance; ///< of this entry's share of the limit
};

/// By process. Only of processes that have said something of themselves.
using UpstreamStandings = std::map<UpstreamProcessId, UpstreamStanding>;

/// A pause that an upstream asked this entry for. Other entries may send.
struct UpstreamPause {
    ServiceId service; ///< another service's upstream may get the address
    Milliseconds until; ///< this entry sends it nothing before
};

/// By address, since the list may name the process that answered there later. Unlike a limit, a pause is said once.
using UpstreamPauses = std::map<std::string, UpstreamPause>;

/// What a process of an upstream said of itself, as one entry tells the others.
struct UpstreamNoticeReport {
    UpstreamProcessId process;
    std::optional<double> requestsPerSecond; ///< as in UpstreamNotice
    Milliseconds age { 0 }; ///< time since it said so
    bool leaving { false }; ///< as in UpstreamNotice

    bool operator==(const UpstreamNoticeReport&) const = default;
};

} // namespace hickory
