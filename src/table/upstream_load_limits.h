#pragma once

#include "clock_type.h"

namespace hickory {

// Limits of the choice of upstreams that state a slowdown, made on load information that is up to 300 ms old.

/// Time over which a stated slowdown loses its effect. Upstreams that share their machines are slow for some 600 ms at
/// a time, so that a slow one is still slow after a part of that time with the probability that is left.
constexpr Milliseconds slowdownDecay { 600 };
/// A service states slowdowns if one of its upstreams did within this time: some of the longest answers.
constexpr Milliseconds slowdownStatedMaxAge { 10000 };
/// How long running and waiting requests that an upstream stated count: reports of other entries are 100 to 300 ms old,
/// so a later one names the same requests.
constexpr Milliseconds statedLoadMaxAge { 200 };
/// Cost of the upstream of this data centre that is farthest from an entry's own ones. Two prompts of average length:
/// an entry uses its own engines until more than that is unread there.
constexpr double farthestPenaltyMs = 100.0;
/// The same for an upstream of another data centre, in addition to the cost of traffic there: half of it, the mean over
/// those of this data centre, so that it is chosen no sooner than before.
constexpr double elsewherePenaltyMs = farthestPenaltyMs / 2;
/// Part of the cost of distance that counts at plain upstreams: up to 10 ms, one request at one with 6 slots. Without
/// it all entries choose the first of equally loaded ones.
constexpr double plainDistanceShare = 0.1;
/// How long a changed place of this entry must last before it counts: longer than a restart with its first beacons, and
/// than an entry that is not heard for a moment.
constexpr Milliseconds ringPositionHold { 5000 };

} // namespace hickory
