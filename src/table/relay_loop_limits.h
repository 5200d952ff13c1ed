#pragma once

#include "clock_type.h"
#include "tcp_link_io.h"

#include <cstdint>

namespace hickory {

constexpr LinkOptions upstreamLink { .userTimeout = { 1200 }, .keepAliveIdleSeconds = 1, .keepAliveProbes = 2 };
constexpr LinkOptions callerLink { .userTimeout = { 3000 }, .keepAliveIdleSeconds = 5, .keepAliveProbes = 3 };

constexpr std::int64_t keyConfigMaxAgePercent = 88; ///< share of the bound for revoked keys for which a configuration
                                                    ///< is trusted: a request admitted within it was sent within it
constexpr Milliseconds weightsMargin { 1000 }; ///< old weights are given up this long before their bound: waiting in
                                               ///< an engine's queue takes up to half a second
constexpr Milliseconds operatorPollTimeout { 400 }; ///< how long the store holds a question for configuration
constexpr Milliseconds upstreamPollTimeout { 400 }; ///< likewise for the list of upstreams
constexpr Milliseconds relistGracePeriod { 2200 }; ///< live upstreams are listed again within 2 s of the store's return
constexpr Milliseconds tickPeriod { 20 }; ///< resolution of time-outs, a third of a pass of an engine
constexpr Milliseconds beaconPeriod { 100 }; ///< between beacons, about one pass of an engine
constexpr Milliseconds remoteDatagramInterval {
    25
}; ///< mean time between datagrams to other data centres: 40 a second
constexpr Milliseconds maxRemoteBeaconPeriod { 500 }; ///< half of the time for which told loads are trusted
constexpr std::uint32_t summariesPerFullSummary = 3; ///< the others leave out what did not change
constexpr std::uint32_t beaconsPerPeerList = 10; ///< each tenth beacon names the other live entries
constexpr Milliseconds sweepPeriod { 500 }; ///< of idle connections and peers
constexpr Milliseconds upstreamDebounce { 150 }; ///< heartbeats of all upstreams change the list many times a second
constexpr Milliseconds maxListAge { 2500 }; ///< without news of the list for longer, leases may have run out meanwhile
constexpr Milliseconds tablesPeriod {
    300
}; ///< between questions to a peer: adds this to the delay of the store's news
constexpr Milliseconds storeFallbackAge { 1200 }; ///< without fresh news from peers, an entry asks the store itself
static_assert(
    maxListAge > upstreamPollTimeout * 2 + tablesPeriod * 2, "a quiet list must not look like one without news");
static_assert(storeFallbackAge > upstreamPollTimeout + upstreamDebounce + tablesPeriod + Milliseconds { 200 },
    "news of a follower must not look stale");
constexpr std::size_t minFollowers = 2; ///< entries that ask the store on behalf of all
constexpr std::size_t entriesPerFollower = 16; ///< keeps the questions that a follower answers below 60 a second
constexpr Milliseconds peerTablesTimeout { 400 }; ///< of a question to a peer
constexpr Milliseconds maxReuseIdle { 2000 }; ///< upstreams without a stated limit keep connections for seconds
constexpr Milliseconds maxReuseIdleNonIdempotent { 300 }; ///< for calls that cannot be repeated
constexpr Milliseconds minDrainPeriod { 3300 }; ///< some callers keep an answer to a lookup for three times its time
constexpr Milliseconds drainAcceptPeriod { 5500 }; ///< after it nothing new is accepted
constexpr Milliseconds drainMargin { 400 }; ///< before the end of the grace period
constexpr Milliseconds drainFlushDelay { 60 }; ///< for answers that are written

} // namespace hickory
