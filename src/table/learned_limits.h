#pragma once

#include "clock_type.h"

#include <cstddef>
#include <cstdint>

namespace hickory {

// Limits of how entries learn the capacity of upstreams.

/// Time constant with which samples lose weight for the knee. A change must show within 2 to 3 s.
constexpr Milliseconds kneeMemory { 1500 };
/// The same for the level. Slowdowns last 600 ms, and an upstream that does not state them must show them sooner.
constexpr Milliseconds levelMemory { 400 };
/// The same where the upstream states its slowdown, so that the level changes slowly.
constexpr Milliseconds statedLevelMemory { 1500 };
/// Largest weight of one sample in the level. A single answer may be large or late for a reason of its own.
constexpr double maxSampleShare = 0.25;
constexpr Milliseconds othersMemory { 450 }; ///< over which the load of other entries is averaged: several reports
constexpr Milliseconds loadUpdatePeriod { 200 }; ///< after which the load is noted where nothing was sent or answered
/// The same as kneeMemory for the samples at one load. Without those at lower loads a full upstream could not be told
/// from a slow one.
constexpr Milliseconds loadMemory { 8000 };
constexpr double maxLoadSamples = 20.0; ///< samples at one load that are averaged
constexpr double kneeStep = 0.5; ///< requests; resolution of the knee
/// Samples that the present knee is worth when another is fitted: fewer do not move it far.
constexpr double kneePriorSamples = 4.0;
constexpr double limitHysteresis = 0.8; ///< requests by which the knee differs from the limit before that follows
/// Own samples, weighted by age, below which an upward trial without enough of them counts as a success.
constexpr double sparseWeight = 3.0;
constexpr double limitHysteresisShare = 0.15; ///< the same as a part of the limit, if that is more
constexpr double kneeShare = 0.08; ///< share of the way to the fitted knee for each sample
/// The limit is never below this part of the slots: with fewer requests nothing would be learned about the upstream.
constexpr std::uint32_t limitFloorDivisor = 4;
constexpr double rejectedLoadShare = 0.9; ///< part of the load at which an upstream was full that it is given next
/// Part of the slots that a new upstream is given at first. More could bring it into a state in which all are slow.
constexpr double startShare = 0.5;
/// Time between trials of another limit where requests wait for it, so that a change shows within 3 s.
constexpr Milliseconds trialInterval { 1200 };
/// The same after a downward trial, as a multiple. A new knee below the limit shows in longer times as well.
constexpr std::int64_t downwardIntervalFactor = 2;
constexpr Milliseconds nextTrialDelay { 100 }; ///< the same after a trial that showed room
constexpr double trialShare = 0.25; ///< part of the limit by which a trial differs from it, at least one request
constexpr double startTrialShare = 0.5; ///< the same until the first trial that showed no room
constexpr double minTrialExcess = 0.3; ///< requests above the limit from which a sample counts for a trial
constexpr std::uint32_t minTrialSamples = 4; ///< of these before a trial may show room
constexpr Milliseconds minTrial { 100 }; ///< shortest trial: a few plain answers
constexpr Milliseconds maxTrial { 400 }; ///< longest trial: most answers are shorter
constexpr double trialServiceTimes = 2.0; ///< length of a trial in service times: half of its samples show its load
constexpr Milliseconds statedSlowdownMaxAge { 600 }; ///< a stated slowdown counts less with age, and not after this
/// An estimate without a newer sample counts in full for this long: an upstream that is not chosen because it was slow
/// must be tried again to learn that it recovered.
constexpr Milliseconds estimateFreshAge { 1000 };
constexpr Milliseconds estimateMaxAge { 2500 }; ///< not at all after this; in between it fades
/// Entries begin to distrust an old estimate one after another within this time, so that only the first one tries.
constexpr Milliseconds retrySpread { 500 };
/// Share by which a full load raises the expected time below the knee, so that equal upstreams share the load.
constexpr double loadSlope = 0.1;
constexpr std::size_t maxLearned = 1024; ///< processes; those that are not listed are dropped first
constexpr std::size_t maxPeerEstimates = 16; ///< peers whose estimates of one process are kept
constexpr Milliseconds peerEstimateMaxAge { 3000 }; ///< older estimates of peers are ignored
constexpr double ownLevelPreference = 4.0; ///< weight of an own sample in the level relative to one of a peer

constexpr std::size_t maxLearnedInBeacon = 24; ///< 24 to 30 bytes each: 0.7 KB in a datagram
/// Estimates that an entry sends a second, counted once for each receiver: 1.8 of the 8 KB/s for control.
constexpr double learnedItemsPerSecond = 60.0;
constexpr double learnedItemsBurst = 120.0; ///< of these at once, so that a change is told to all at once
constexpr double toldChange = 0.1; ///< relative change of the level or the knee that is told
constexpr Milliseconds toldInterval { 1000 }; ///< an estimate with newer samples is told again after this
constexpr double maxLearnedLevel = 1e6; ///< greater ones are no service time
constexpr double maxLearnedKnee = 1e6; ///< the same of the knee, in requests
constexpr double maxLearnedWeight = 1e4; ///< the same of the weight
constexpr Milliseconds maxLearnedAge { 60'000 }; ///< greater ages are sent and taken as this

constexpr double loggedChange = 0.2; ///< relative change of the limit that is logged
constexpr std::size_t maxLoggedInTick = 2; ///< lines in a tick; further changes are logged with the next ones
constexpr Milliseconds loggedInterval { 5000 }; ///< at most one line for each process within this
constexpr Milliseconds learnedGaugePeriod { 1000 }; ///< time between two values of the gauge

} // namespace hickory
