#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

// Limits of the relay's decisions.

constexpr Milliseconds retryBucketLength { 1000 }; ///< resolution of the retry window
/// Share of the retry budget that is used: an entry that has not yet heard of a new one divides it by too few.
constexpr double retryBudgetShare { 0.8 };

constexpr std::uint32_t maxQueuedPerService = 600; ///< queued requests of one service, 3 s of the ordinary load
/// A request is refused when its predicted wait exceeds this share of the time in which it must be dispatched.
constexpr double maxWaitShare = 0.5;
constexpr Milliseconds minRetryAfter { 200 }; ///< a caller that returns sooner meets the same queue
/// Retry-After of an entry that stops: another entry can take the caller at once.
constexpr Milliseconds drainRetryAfter { 20 };
constexpr std::int64_t retryAfterDivisor = 3; ///< callers follow Retry-After up to a third of the time they have left
constexpr Milliseconds dispatchRateWindow { 1000 }; ///< over which the rate of dispatches is averaged
constexpr double minDispatchRate = 4.0; ///< dispatches a second assumed when fewer were seen in the window

/// An engine that has requests in flight and sent nothing for this long is taken as dead: a pass of a full engine takes
/// 70 ms, one of an engine at a fifth of the speed 350 ms.
constexpr Milliseconds engineSilenceTimeout { 900 };
/// An engine that has requests in flight and sent nothing for this long gets no more: five passes of a full engine.
constexpr Milliseconds engineStallTimeout { 350 };
/// A plain upstream that has requests in flight and sent nothing for this long gets no more: its longest requests take
/// that long.
constexpr Milliseconds plainStallTimeout { 450 };
constexpr Milliseconds delistedMaxAge { 10000 }; ///< how long the health of a delisted upstream is kept: three leases
/// A request to an upstream on probation may arrive this late: old weights are ruled out that much earlier there.
constexpr Milliseconds probationWeightsLead { 2500 };
constexpr std::uint32_t maxProbationRequests = 1; ///< requests in flight at an upstream that failed, until it answers
/// An idempotent request to a plain upstream that sent nothing is not retried elsewhere before this time.
constexpr Milliseconds minPlainSilenceTimeout { 300 };
/// Nor is it retried before this multiple of its route's objective.
constexpr std::int64_t plainSilenceObjectiveFactor = 2;
constexpr Milliseconds minEjection { 300 }; ///< out of service after a first failure
constexpr Milliseconds maxEjection { 3000 }; ///< out of service after repeated failures, as long as a restart takes
constexpr Milliseconds fullBackoff { 60 }; ///< no new work after an upstream stated that it is full: about one pass
constexpr Milliseconds orderPendingTimeout { 1500 }; ///< an announced load order ends or is reported within this time
/// Sends that have not started on weights that became too old are cancelled after this time: most queued requests start
/// within it.
constexpr Milliseconds outdatedSendGrace { 350 };
constexpr Milliseconds reportMaxAge { 1000 }; ///< older load reports are ignored: beacons come ten times a second
constexpr std::uint32_t maxConnectFailures = 4; ///< connections tried for one request when none could be opened
/// An entry that stops takes a request only if this multiple of its predicted time is left.
constexpr std::int64_t drainTimeFactor = 2;
constexpr Milliseconds minPlainServiceTime { 40 }; ///< least time in which a plain service answers
/// An unknown route or key is answered 404 or 401 only if the configuration was confirmed within this time, else 503.
constexpr Milliseconds maxConfigAgeForDenial { 1500 };

} // namespace hickory
