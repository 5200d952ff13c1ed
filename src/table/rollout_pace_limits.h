#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

// Paced rollouts: each host of a service loads at its turn, over the time that the bound leaves. ----------------------

/// Longest time from the announcement of a load order until the engine holds the weights: lead, drain and load.
constexpr Milliseconds maxLoadTime { 1700 };
/// Time of a load outside maxLoadTime: the read-back takes 0.15 s, a poll of the engine and the way of its report to
/// all entries 0.25 s.
constexpr Milliseconds loadNewsTime { 400 };
/// Time from the arrival of the origin's last piece at one host until most hosts hold it and have staged it.
constexpr Milliseconds pieceExchangeTime { 1000 };
/// A host that has less than this percentage of the fixed spread left for its turn keeps its fixed turn, or loads at
/// once if that has passed: if it waited, it would load together with hosts that get their pieces later still.
constexpr std::int64_t minSchedulePercent = 50;
/// Time to write pieces that are held in memory to the engine's staging area: 96 pieces, four at a time.
constexpr Milliseconds stagingTime { 300 };
/// Percentage of the next version's pieces that must be held for a paced rollout to skip the first one. A host that
/// waits for more than the last few pieces loads together with others whose turns come then.
constexpr std::int64_t pacedSkipHeldPercent = 90;
/// Time allowed for these last pieces in addition to the origin's link.
constexpr Milliseconds lastPiecesTime { 500 };
/// An idle engine may load before its turn in one of this many parts of time, so that at most about an eighth of a data
/// centre's engines do at once. Engines that are all idle have loaded after 4 s.
constexpr std::int64_t idleLoadGroups = 8;
/// Length of such a part: read-back, announcement, confirmation and load of an idle engine take about 0.6 s, of which
/// it is out of service for 0.45 s.
constexpr Milliseconds idleLoadTime { 500 };

} // namespace hickory
