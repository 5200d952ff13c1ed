#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <vector>

namespace hickory {

/// A request that was in flight when an upstream crashed and may have caused the crash.
struct Suspicion {
    ServiceId service; ///< service that the request was sent to
    RequestDigest requestDigest; ///< digest of method, path and body; identifies repeats of the request
    std::uint32_t crashes { 0 }; ///< upstreams that crashed with it in flight
    Milliseconds age; ///< time since the last crash
};

/// Demand for one service in one rank at one entry.
struct Demand {
    ServiceId service;
    RankIndex rank; ///< position in the configuration's list of ranks, 0 is the most urgent
    Tokens tokens; ///< tokens of queued and running requests
};

/// A gossip message between entries. Receivers treat every field as a hint or verify it against the store.
struct GossipMessage {
    HostId from; ///< host of the sending entry
    bool fromLeaving { false }; ///< the sender is being stopped
    Generation generation; ///< generation of the newest configuration that the sender holds
    std::vector<HostId> leaving; ///< hosts whose leaving notice is recent enough to be passed on
    std::vector<Suspicion> suspicions; ///< newest first; the sender bounds their number
    std::vector<Demand> demand; ///< the sender's demand; set only in messages to placement proposers
};

} // namespace hickory
