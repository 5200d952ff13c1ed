#pragma once

#include "clock_type.h"

#include <cstddef>
#include <cstdint>

namespace hickory {

// Limits of how entries follow what upstreams say of themselves.

/// Requests beyond its limit that all entries together may send to an upstream at once. More of them when its limit is
/// higher: half of what upstreams bear.
constexpr double limitBurst = 2.5;
constexpr double limitBurstPerRate = 1.0; ///< the same for each request a second of the limit
/// How long the highest number of live entries counts when a limit is shared. Longer than beacons of a live entry may
/// be missing.
constexpr Milliseconds entryCountMemory { 4000 };
constexpr Milliseconds maxPause { 60000 }; ///< a longer pause is taken as this, so that a mistake ends
constexpr Milliseconds clockStep { 1 }; ///< what happened now may have happened so much later than the clock says
constexpr Milliseconds noticeNewsPeriod { 3000 }; ///< what changed is repeated in beacons for this long
constexpr Milliseconds standingMaxAge { 60000 }; ///< what unlisted upstreams said is forgotten after this long
constexpr std::size_t maxStandings = 1024; ///< the oldest are dropped first
constexpr std::size_t maxNoticesInBeacon = 128; ///< keeps the datagram within a few KiB
constexpr double maxRequestsPerSecond = 1e6; ///< a greater limit is none
constexpr Milliseconds maxNoticeAge { 600'000 }; ///< greater ages are sent and taken as this

} // namespace hickory
