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

/// Identifies equal requests, whoever sends them.
using SuspectKey = std::pair<ServiceId, BodyDigest>;

/// What is known about a request that was in flight when an upstream died.
struct Suspect {
    std::uint32_t crashes { 0 }; ///< upstreams that died with it in flight, 0 when it has run well since
    Milliseconds changed { 0 }; ///< time of the last crash or of the run that cleared it
    HostId lastHost; ///< upstream that died last with it in flight, as far as this entry saw it
};

/// The loss of one connection.
struct RecentLoss {
    Milliseconds lostAt { 0 }; ///< when
    DataCentreId dataCentre; ///< place of the agent
    HostId host; ///< the agent's host
    std::vector<SuspectKey> keys; ///< suspicions that it raised
};

/// Crash suspicions, bounded; the oldest give way.
struct SuspectTable {
    std::map<SuspectKey, Suspect> entries; ///< by request digest
    std::set<std::tuple<Milliseconds, ServiceId, BodyDigest>> byAge; ///< the same, oldest first
    std::deque<RecentLoss> losses; ///< losses of the last second
};

} // namespace hickory
