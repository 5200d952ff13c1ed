#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace hickory {

/// Identifies equal requests independently of their callers.
using SuspectKey = std::pair<ServiceId, RequestDigest>;

/// Suspicion that a request crashes upstreams, because it was in flight when one crashed (query of death).
struct Suspect {
    std::uint32_t crashes { 0 }; ///< upstream crashes with the request in flight, 0 when it ran to completion since
    Milliseconds changedAt { 0 }; ///< time of the last crash, or of the completion that cleared it
    HostId lastHost; ///< host of the last crash that this entry saw itself, may be empty
};

/// A recent loss of the connection to an agent.
struct RecentLoss {
    Milliseconds lostAt { 0 }; ///< when the loss was detected
    DataCentreId dataCentre; ///< data centre of the agent
    HostId host; ///< the agent's host
    std::vector<SuspectKey> keys; ///< suspicions raised by the loss, withdrawn when the data centre was lost
};

/// Crash suspicions, bounded; the oldest are dropped first.
struct SuspectTable {
    std::map<SuspectKey, Suspect> entries; ///< by service and request digest
    std::set<std::tuple<Milliseconds, ServiceId, RequestDigest>> byAge; ///< index of entries, oldest first
    /// Oldest first. Those past the correlation window are removed only when the next loss is recorded.
    std::deque<RecentLoss> recentLosses;
};

} // namespace hickory
