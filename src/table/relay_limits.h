#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

/// Limits of the relay's decisions. Those in ms come from the sites' sheets unless noted.

constexpr Milliseconds retryBucketLength { 1000 }; ///< resolution of the retry window
constexpr double retryBudgetShare { 0.8 }; ///< share of the retry budget that is used: entries count their peers late

constexpr std::uint32_t maxQueuedPerService = 600; ///< requests that wait for one service, 3 s of the ordinary load
constexpr double maxWaitShare = 0.5; ///< a request predicted to wait longer than this share of its time is refused
constexpr Milliseconds minRetryAfter { 200 }; ///< a return before this meets the same queue
constexpr Milliseconds drainRetryAfter { 20 }; ///< of an entry that stops: callers come back elsewhere
constexpr std::int64_t retryAfterDivisor = 3; ///< callers honour advice up to a third of the time they have left
constexpr Milliseconds dispatchRateWindow { 1000 }; ///< over which the rate of placements is averaged
constexpr double minDispatchRate = 4.0; ///< placements a second assumed when none were seen lately

constexpr Milliseconds engineSilenceTimeout {
    900
}; ///< an engine with work that sent nothing for this long is taken as dead:
   ///< a pass of a full engine takes 70 ms, of one five times slower 350 ms
constexpr Milliseconds engineStallTimeout { 350 }; ///< an engine with work that sent nothing for this long gets no more
                                                   ///< of it: five passes of a full engine
constexpr Milliseconds plainStallTimeout { 450 }; ///< likewise a plain upstream; its longest calls take that long
constexpr Milliseconds delistedMaxAge {
    10000
}; ///< of what was believed of an upstream that left the list: three leases
constexpr Milliseconds probationWeightsLead { 2500 }; ///< what goes to an upstream on probation may arrive that late:
                                                      ///< old weights are given up earlier there
constexpr std::uint32_t maxProbationRequests = 1; ///< requests at once to an upstream that failed, until it answers
constexpr Milliseconds minPlainSilenceTimeout { 300 }; ///< least wait before an idempotent call is tried elsewhere
constexpr std::int64_t plainSilenceObjectiveFactor = 2; ///< of the route's objective, likewise
constexpr Milliseconds minEjection { 300 }; ///< out of service after a failed connection
constexpr Milliseconds maxEjection { 3000 }; ///< after repeated ones, as long as a replica takes to restart
constexpr Milliseconds fullBackoff { 60 }; ///< no new work after an upstream said that it is full: about one pass
constexpr Milliseconds orderPendingTimeout { 1500 }; ///< an announced order ends or is reported within this time
constexpr Milliseconds outdatedSendGrace {
    350
}; ///< after old weights are given up: most queued requests begin by then
constexpr Milliseconds reportMaxAge { 1000 }; ///< older reports of load are ignored: gossip comes ten times a second
constexpr std::uint32_t maxConnectFailures = 4; ///< connections tried for one request when none could be opened
constexpr std::int64_t drainTimeFactor
    = 2; ///< of the predicted time: what an entry that stops still takes must end in time
constexpr Milliseconds minPlainServiceTime { 40 }; ///< least time in which a plain service answers
constexpr Milliseconds maxConfigAgeForDenial { 1500 }; ///< a route or key that is not known is refused for good only on
                                                       ///< a configuration confirmed within this time

} // namespace hickory
