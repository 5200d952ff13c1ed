#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

constexpr std::size_t sharedInFlight = 6; ///< fills a link of 7.6 Mbit/s over round trips between regions
constexpr std::size_t originInFlight = 1; ///< the origin accepts 48 connections from all hosts together
constexpr std::size_t ownInFlight = 12; ///< most of these wait at a host that does not have the piece yet
constexpr std::size_t writesInFlight = 4; ///< to the engine on the same host
constexpr Milliseconds sourceRetry { 120 }; ///< before a piece is asked for at the next source
constexpr Milliseconds announceLead { 120 }; ///< beacons of entries and agents are 100 ms apart
constexpr Milliseconds orderPatience { 6000 }; ///< an engine finishes its longest answers, then loads
constexpr Milliseconds finishFirstAfter { 2500 }; ///< most pieces of a version are here after this time
constexpr Milliseconds checkPatience { 1500 }; ///< reading all pieces back takes a tenth of this
constexpr std::int64_t firstTurnPercent = 38; ///< of the time allowed: pieces take about that long to arrive
constexpr std::int64_t turnsPercent = 34; ///< of the time allowed: the orders are spread over it

} // namespace hickory
