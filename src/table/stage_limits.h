#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

constexpr std::size_t sharedInFlight = 6; ///< fills a link of 7.6 Mbit/s over round trips between regions
constexpr std::size_t originInFlight = 1; ///< the origin accepts 48 connections from all hosts together
constexpr std::size_t ownInFlight = 6; ///< likewise, from hosts of the same place
constexpr std::size_t maxPiecesInFlight = sharedInFlight + ownInFlight; ///< on a link that answers promptly
constexpr std::size_t minPiecesInFlight = 1; ///< on a link that became narrow
constexpr Milliseconds promptAnswer {
    300
}; ///< of an entry nearby: pieces in flight fill a free link for about as long
constexpr std::size_t perSourceInFlight = 2; ///< one on its way while the next is asked for
constexpr Milliseconds piecesMaxAge { 5000 }; ///< of what a host told that it holds; it tells at least every 2 s
constexpr double originAhead { 8.0 }; ///< pieces asked for at the origin before their turn, so that its link stays busy
constexpr double originPacing { 0.95 }; ///< of the time that the origin's link needs for a piece: likewise
constexpr std::int64_t manifestHosts = 3; ///< hosts that ask the origin for the digests at first
constexpr Milliseconds manifestRound { 300 }; ///< two beacons of an agent; then as many hosts more ask the origin
constexpr std::uint32_t manifestTriesPerOrigin = 4; ///< every fourth question goes to the origin, should agents fail
constexpr Milliseconds originRound { 1500 }; ///< a piece asked for in its turn takes 0.4 s
constexpr Milliseconds fetcherRound { 1000 }; ///< a piece crosses a narrow link in 0.3 s; then another host takes over
constexpr std::size_t writesInFlight = 4; ///< to the engine on the same host
constexpr Milliseconds sourceRetry { 120 }; ///< before a piece is asked for at the next source
constexpr Milliseconds announceLead { 120 }; ///< beacons of entries and agents are 100 ms apart
constexpr Milliseconds drainAtMost { 1400 }; ///< an answer of the usual length takes that long
constexpr std::uint32_t cutAtMost = 3; ///< streams that are broken off: resuming one takes 40 ms of another engine
constexpr Milliseconds loadCompletionTimeout { 6000 }; ///< an engine finishes its longest answers, then loads
constexpr Milliseconds finishFirstAfter { 1000 }; ///< the origin has sent most of its copy after this time
constexpr std::int64_t skipFromPercent = 60; ///< of the next version's pieces: the rest arrives within a second
constexpr std::int64_t skipUntilPercent = 70; ///< of the time allowed: later the next version would be late for the
                                              ///< bound of the first
constexpr std::int64_t lastFetchPercent = 60; ///< of the time that the next version has: pieces that are missing then
                                              ///< would arrive too late for the first one to serve
constexpr std::int64_t lastOrderPercent = 80; ///< likewise an order: draining and loading take up to 1.7 s
constexpr Milliseconds checkTimeout { 1500 }; ///< reading all pieces back takes a tenth of this
constexpr std::int64_t firstTurnPercent = 38; ///< of the time allowed: pieces take about that long to arrive
constexpr std::int64_t turnsPercent = 34; ///< of the time allowed: the orders are spread over it

} // namespace hickory
