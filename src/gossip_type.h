#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <vector>

namespace hickory {

/// A request that was in flight when an upstream died.
struct Suspicion {
    ServiceId service; ///< service of the request
    BodyDigest bodyDigest; ///< digest of the request
    std::uint32_t crashes { 0 }; ///< upstreams that died with it in flight
    Milliseconds age; ///< time since the last crash
};

/// Demand of one service and rank at one entry.
struct Demand {
    ServiceId service; ///< the service
    RankIndex rank; ///< the rank
    Tokens tokens; ///< queued and running tokens
};

/// What entries tell each other. Every field is a hint or can be checked against the store.
struct GossipMessage {
    HostId from; ///< sender
    bool fromLeaving { false }; ///< the sender is leaving
    Generation generation; ///< newest configuration that the sender holds
    std::vector<HostId> leaving; ///< hosts whose own leaving notice was seen lately
    std::vector<Suspicion> suspicions; ///< crash suspicions, newest first, bounded
    std::vector<Demand> demand; ///< the sender's demand, only towards proposers of placement
};

} // namespace hickory
