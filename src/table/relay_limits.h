#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

// Limits of the relay's decisions.

constexpr Milliseconds retryBucketLength { 1000 }; ///< length of a bucket in which retries of the window are counted
/// Share of its retry budget that an entry uses. The budget includes an equal part of the retries that all entries
/// share, and an entry that has not yet heard of a new one divides these by too few.
constexpr double retryBudgetShare { 0.8 };

constexpr std::uint32_t maxQueuedPerService = 600; ///< queued requests of one service, 3 s of the ordinary load
/// A request is refused when its predicted wait exceeds this share of the time in which it must be dispatched.
constexpr double maxWaitShare = 0.5;
/// Lower bound of the predicted queueing time from which Retry-After is computed: a caller that returns sooner would
/// find the queue about as long as before.
constexpr Milliseconds minRetryAfter { 200 };
/// Retry-After of an entry that stops: another entry can take the caller at once.
constexpr Milliseconds drainRetryAfter { 20 };
/// Retry-After is at most the caller's remaining time divided by this: callers do not follow a longer one.
constexpr std::int64_t retryAfterDivisor = 3;
constexpr Milliseconds dispatchRateWindow { 1000 }; ///< over which the rate of dispatches is averaged
constexpr double minDispatchRate = 4.0; ///< dispatches a second assumed when fewer were seen in the window

/// Time in which hosts pass the last pieces of a version on to twice as many, in the model of unit_piece_exchange with
/// links of 7.6 Mbit/s.
constexpr Milliseconds exchangeDoublingTime { 230 };
/// For hosts to learn which weights to load, to check the pieces, and for entries to learn that they are loaded.
constexpr Milliseconds weightsNewsTime { 400 };

/// After a standstill an entry waits so long for a confirmation of the operators' table before it sends by its last
/// copy: the table is fetched every 0.3 s, with time-outs of 0.4 s to connect, so that two attempts fit.
constexpr Milliseconds operatorsTableWait { 1500 };

constexpr double minLimitedRate = 0.01; ///< the same when the upstreams' own limits are known
/// Requests that an engine has not begun are taken back from it when it sent nothing for this long: a pass of a full
/// engine takes 70 ms, one of an engine at a fifth of the speed 350 ms.
constexpr Milliseconds engineSilenceTimeout { 900 };
/// An engine that has requests in flight and sent nothing for this long gets no more: five passes of a full engine.
constexpr Milliseconds engineStallTimeout { 350 };
/// A sound upstream may send nothing and accept no connection for a second or so.
constexpr Milliseconds maxSoundSilence { 2000 };
/// Of a probe of an upstream whose answer ended with its connection.
constexpr Milliseconds answerProbeTimeout { 400 };
/// Of a status request to an engine that is silent: several round trips between regions, and the time of an answer.
constexpr Milliseconds stillProbeTimeout { 200 };
/// Requests of all entries that may lie at an engine without having begun: as many as it gets in about a second of the
/// ordinary load. If its host stops, they cannot be called back.
constexpr std::uint32_t maxUnbegun = 16;
constexpr std::uint32_t minUnbegunShare = 2; ///< the least share of one entry in these
/// A plain upstream that has requests in flight and sent nothing for this long gets no more: its longest requests take
/// that long.
constexpr Milliseconds plainStallTimeout { 450 };
/// A report of this age shows that its engine still runs: three reports, and their way through another entry.
constexpr Milliseconds reportLifeSignAge { 450 };
constexpr Milliseconds delistedMaxAge { 10000 }; ///< how long the health of a delisted upstream is kept: three leases
/// A request may take this long to reach an upstream on probation. Weights that become too old within that time are
/// therefore not used on such an upstream.
constexpr Milliseconds probationWeightsLead { 2500 };
constexpr std::uint32_t maxProbationRequests = 1; ///< requests in flight at an upstream that failed, until it answers
/// Minimum time that a repeatable request waits at a plain upstream before it gets a backup.
constexpr Milliseconds minPlainSilenceTimeout { 300 };
/// The same as a multiple of the objective of the request's route, if that is longer.
constexpr std::int64_t plainSilenceObjectiveFactor = 2;
/// The same as a multiple of the mean time of an answer of the service, if that is longer.
constexpr double plainSilenceAnswerFactor = 2.0;
constexpr Milliseconds minEjection { 300 }; ///< out of service after a first failure
constexpr Milliseconds maxEjection { 3000 }; ///< out of service after repeated failures, as long as a restart takes
/// How long an upstream gets no requests after it refused one without running it, e.g. because it is full. On the order
/// of a pass, after which an engine may have capacity again.
constexpr Milliseconds fullBackoff { 60 };
/// How long an engine gets no requests after its agent announced a load order, unless a later report renews or ends
/// this: the order ends or is reported within this time.
constexpr Milliseconds orderPendingTimeout { 1500 };
/// A sent request without a response head is cancelled when its engine's weights have been too old for this long. Most
/// requests in an engine's queue start within this time.
constexpr Milliseconds outdatedSendGrace { 350 };
constexpr Milliseconds reportMaxAge { 1000 }; ///< older load reports are ignored: beacons come ten times a second
constexpr std::uint32_t maxConnectFailures = 4; ///< connections tried for one request when none could be opened
/// An entry that stops accepts requests by prediction for this long. What was sent later than 3 s after the signal must
/// not be cut at the end of the drain, whatever its upstream does; the rest is for a signal that is noticed late.
constexpr Milliseconds drainPredictionPeriod { 2500 };
/// Until then it accepts a request only if this multiple of the longest time that the request is
/// predicted to take is left until the drain ends, and maxSoundSilence besides.
constexpr std::int64_t drainTimeFactor = 2;
constexpr Milliseconds minPlainServiceTime { 40 }; ///< least time in which a plain service answers
/// A request with an unknown route is answered 404 and one with an unknown key 401 only if the store confirmed the
/// configuration at most this long ago. Otherwise they may be new, and the answer is 503.
constexpr Milliseconds maxConfigAgeForDenial { 1500 };

} // namespace hickory
