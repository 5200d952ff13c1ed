#pragma once

#include "clock_type.h"
#include "table/relay_limits.h"
#include "tcp_link_io.h"

#include <cstdint>

namespace hickory {

/// Kernel's receive buffer of a connection, in bytes: four pieces of weights, many times an answer. A thousand
/// connections whose peers send without end stay within the memory of an entry host.
constexpr int linkReceiveBuffer = 128 << 10;
/// Socket options of connections to upstreams.
constexpr LinkOptions upstreamLinkOptions { .userTimeout = maxSoundSilence + Milliseconds { 500 },
    .keepAliveIdleSeconds = 1,
    .keepAliveProbes = 2,
    .receiveBuffer = linkReceiveBuffer };
/// Socket options of connections of callers. The kernel applies the user timeout to a caller whose buffer is full and
/// to unanswered probes as well, so it is far longer than a pause of a sound caller.
constexpr LinkOptions callerLinkOptions {
    .userTimeout = { 15000 }, .keepAliveIdleSeconds = 5, .keepAliveProbes = 3, .receiveBuffer = linkReceiveBuffer
};

/// Age up to which a confirmed configuration is trusted to decide on keys, as a percentage of maxRevocationDelay. The
/// rest of that time is left to send a request that was just admitted.
constexpr std::int64_t keyConfigMaxAgePercent = 88;
/// Requests are sent to engines with old weights until this long before maxWeightsDelay ends. One that has not begun is
/// cancelled outdatedSendGrace later; the rest is for a tick and the way of the cancellation.
constexpr Milliseconds weightsMargin { 600 };
constexpr Milliseconds operatorPollTimeout { 400 }; ///< how long the store holds a long poll for the configuration
constexpr Milliseconds upstreamPollTimeout { 400 }; ///< how long the store holds a long poll for the list of upstreams
/// How long after an outage of the store upstreams stay listed whose rows expired during it: live ones are listed again
/// within 2 s of its end.
constexpr Milliseconds relistGracePeriod { 2200 };
/// How long the last report of an upstream that left the list is kept: a store may come back from a copy that is some
/// seconds old, after an outage.
constexpr Milliseconds goneReportMaxAge { 60000 };
constexpr Milliseconds tickPeriod { 20 }; ///< resolution of timeouts, well below a pass of a full engine (70 ms)
static_assert(weightsMargin > outdatedSendGrace + tickPeriod * 2 + Milliseconds { 100 },
    "cancellations of requests for old weights must reach engines before the bound");
constexpr Milliseconds beaconPeriod { 100 }; ///< between beacons, on the order of a pass of an engine
/// Mean time between datagrams to other data centres: 40 a second.
constexpr Milliseconds remoteDatagramInterval { 25 };
/// Longest time between beacons to other data centres: half of reportMaxAge, for which reported loads are used.
constexpr Milliseconds maxRemoteBeaconPeriod { 500 };
/// Every n-th summary to other data centres lists all engines with a recent report; the others leave out engines whose
/// reports did not change.
constexpr std::uint32_t summariesPerFullSummary = 3;
constexpr Milliseconds minCrashNewsInterval { 50 }; ///< between announcements of crash news, half a beaconPeriod
constexpr std::uint32_t beaconsPerPeerList = 10; ///< each tenth beacon lists other live entries
/// Each fifth beacon goes to the agents that report to this entry, so that they notice when it is gone.
constexpr std::uint32_t beaconsPerAgentBeacon = 5;
/// An agent that was silent for longer reports to another entry: it sends a report here at least every 0.45 s.
constexpr Milliseconds reportingAgentTimeout { 3000 };
/// Mean time between datagrams to the entries of the same data centre: 80 a second. From nine other entries on the time
/// between beacons grows.
constexpr Milliseconds dataCentreDatagramInterval { 12 };
/// Longest time between beacons to the entries of the same data centre: a quarter of the time after which a silent one
/// does not count as live.
constexpr Milliseconds maxDataCentreBeaconPeriod { 250 };
/// Least time between beacons that are sent at once since an engine changed in more than load.
constexpr Milliseconds minEngineNewsInterval { 20 };
constexpr Milliseconds sweepPeriod { 500 }; ///< between removals of idle connections and silent peers
/// Changes of the list of upstreams are collected for this long: heartbeats of all upstreams change it many times a
/// second.
constexpr Milliseconds upstreamDebounce { 150 };
/// If the list of upstreams was not confirmed for longer, the store may have been down and leases may have expired
/// because they could not be renewed.
constexpr Milliseconds maxListAge { 2500 };
/// Time between requests to another entry for its copy of the store's tables. Adds to the delay with which changes in
/// the store are seen.
constexpr Milliseconds tablesPeriod { 300 };
constexpr Milliseconds storeFallbackAge { 1200 }; ///< an entry polls the store itself once its tables are older
/// The other entries of a data centre wait so much longer for the first of them to have read the tables.
constexpr Milliseconds storeFallbackDelay { 500 };
static_assert(
    maxListAge > upstreamPollTimeout * 2 + tablesPeriod * 2, "an unchanged list must not look like an outage");
static_assert(storeFallbackAge > upstreamPollTimeout + upstreamDebounce + tablesPeriod + Milliseconds { 200 },
    "tables copied from a follower must not look stale");
/// How long after its start an entry waits for another one to compare configurations with: for its own first beacon and
/// the answer of an entry of its data centre.
constexpr Milliseconds configComparisonTime { 500 };
static_assert(configComparisonTime > beaconPeriod * 3, "a lost beacon must not end the comparison");
constexpr std::size_t minStorePollers = 2; ///< least number of entries that poll the store on behalf of all
constexpr std::size_t entriesPerStorePoller = 16; ///< keeps the requests that a follower answers below 60 a second
/// While its tables are too old an entry asks the reader of its data centre, any entry and a follower in turn.
constexpr std::uint32_t staleSources = 3;
constexpr Milliseconds peerTablesTimeout { 400 }; ///< of a request for a peer's tables
/// The same where the operators' rows are large: a configuration of 2,000 routes is half a MB, and twenty entries may
/// fetch it over 24 Mbit/s at the same time. A request that is given up early would be sent from the start again.
constexpr Milliseconds largeTablesTimeout { 2500 };
/// Idle time after which a kept connection to an upstream is not reused: upstreams that announce no idle timeout close
/// connections after some seconds.
constexpr Milliseconds maxReuseIdle { 2000 };
/// The same for requests that cannot be repeated. Shorter, so that they are not sent over a connection that the
/// upstream is just closing.
constexpr Milliseconds maxReuseIdleNonIdempotent { 300 };
/// A drain lasts at least this long: some callers use the entry addresses that a lookup gave them for three times as
/// long as they may.
constexpr Milliseconds minDrainPeriod { 3300 };
/// Time from the start of a drain after which no connections are accepted and idle ones are closed.
constexpr Milliseconds drainAcceptPeriod { 5500 };
/// Responses end this long before the end of the grace period, or a share of that period if that is shorter.
constexpr Milliseconds drainMargin { 400 };
constexpr std::int64_t drainMarginDivisor = 10; ///< of the grace period
constexpr Milliseconds drainFlushDelay { 60 }; ///< for bytes of responses that are still to be written

} // namespace hickory
