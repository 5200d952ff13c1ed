#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <map>

namespace hickory {

/// An agent's state for reports to its home entry and for fetches of a first configuration. The home is the first live
/// entry in the agent's rendezvous order that is not in `failedEntries`.
struct FollowState {
    Milliseconds nextReport { 0 }; ///< when the next report is due
    Milliseconds nextFetch { 0 }; ///< when the next fetch is due while there is no configuration
    std::uint64_t fetchCount { 0 }; ///< fetches so far; selects the entry to ask next
    std::map<HostId, Milliseconds> failedEntries; ///< entries with a failed report, and the time at which that expires
};

} // namespace hickory
