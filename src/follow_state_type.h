#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <map>

namespace hickory {

/// Reports to the home entry and fetches of the configuration at an agent.
struct FollowState {
    Milliseconds nextReport { 0 }; ///< next report to the home entry
    Milliseconds nextFetch { 0 }; ///< next fetch while there is no configuration
    std::uint64_t fetches { 0 }; ///< fetches so far, to ask the entries in turn
    std::map<HostId, Milliseconds> failedEntries; ///< entries that did not answer a report, and until when that counts
};

} // namespace hickory
