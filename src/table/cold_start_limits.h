#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

// Limits of how entries treat upstreams that have just started.

/// An entry that shares a cold upstream's limit sends at most this share of its whole requests a second, so that two of
/// them are further apart than the second over which the upstream's limit counts.
constexpr double coldPaceShare = 0.98;
/// Least share of the cold rate that the entries use in total. With 16 entries and 17 requests a second one request a
/// second each is 0.92 of the rate; two each would leave half of the reserve for entries that misjudge their share.
constexpr double minColdRateShare = 0.9;
/// An upstream that turns cold gets nothing from an entry for so long: the second over which its limit counts, in which
/// what was sent before still counts.
constexpr Milliseconds coldHold { 1000 };
/// An entry that has just started or stood still sends nothing to cold upstreams for so long: it has heard the other
/// entries by then (a beacon a second lists all) and they have heard it.
constexpr Milliseconds coldSettleTime { 1500 };
/// So long after its start an entry still defers its first sends to cold upstreams for each entry that it hears for the
/// first time: where all start together, some know only a part of the others after coldSettleTime.
constexpr Milliseconds coldMaxSettleTime { 10000 };
/// An entry that loses more than this part of all entries within coldEntryMemory is cut off from them: they go on
/// sending, so it keeps the size of its share. Fewer than these die together, e.g. on one host.
constexpr double coldCutOffPart = 0.25;
/// A process without an event for so long stood still, since it has a tick each 20 ms. Peers regard an entry as gone
/// after 1 s without a beacon, and its last one may have been 0.25 s old.
constexpr Milliseconds standstillGap { 600 };
/// An entry that was not heard for so long loses its share. Far longer than its beacons may be lost one after another.
constexpr Milliseconds coldEntryMemory { 10000 };
/// Shares are sized for the highest number of entries within this time: an entry that hears no other one any more must
/// not take the shares of all.
constexpr Milliseconds coldCountMemory { 120'000 };
/// What an upstream states may be so much older than its arrival, if nothing else is known: a row 0.8 s late in the
/// store, and up to 0.4 s for a poll, 0.15 s in which changes are collected, 0.3 s until a peer is asked, and 0.35 s
/// for its answer.
constexpr Milliseconds coldRowMaxAge { 2000 };
/// A heartbeat may reach the store so late: what its row states is older by that, and the cold time may end later.
constexpr Milliseconds coldRowLag { 800 };
constexpr std::int64_t warmUpSteps = 4; ///< by each the limit rises by the cold rate until it ends
constexpr Milliseconds coldMemory { 60000 }; ///< how long it is known of an unlisted process whether it is cold

} // namespace hickory
