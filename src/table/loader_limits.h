#pragma once

#include "clock_type.h"

#include <cstddef>

namespace hickory {

constexpr Milliseconds reportPeriod { 150 }; ///< two passes of an engine; reading it costs no slot
constexpr Milliseconds reportTimeout { 600 }; ///< an engine that is silent for longer is taken as gone
constexpr Milliseconds engineBeaconPeriod { 150 }; ///< entries also count what they send themselves
constexpr Milliseconds questionPeriod { 350 }; ///< adds this to the time until declared weights are known
constexpr Milliseconds firstQuestionPeriod {
    60
}; ///< until the first answer: after a loss of power nobody serves before it
constexpr Milliseconds questionConnect { 150 }; ///< an entry that is down does not answer; the next one is asked
constexpr Milliseconds questionTimeout { 700 }; ///< then another entry is asked
constexpr Milliseconds peerPieceTimeout { 1500 }; ///< a piece is sent in 35 ms over a free link, after a few others
constexpr Milliseconds originTimeout { 3000 }; ///< the origin sends one copy in 1.7 s, to all hosts together
constexpr Milliseconds engineTimeout { 800 }; ///< on the same host
constexpr Milliseconds orderResponseTimeout { 800 }; ///< of the answer to an order
constexpr Milliseconds tellUnchangedAfter {
    1000
}; ///< other agents forget an agent that is silent for longer than 2.5 s
constexpr Milliseconds tellFarAfter { 2000 }; ///< likewise agents of other data centres, who rarely need to know
constexpr Milliseconds entryLiveTimeout { 2500 }; ///< entries tell agents once a second
constexpr std::size_t uploadSliceBytes = 4096; ///< delays an event of a stream by at most 4 ms on a link of 7.6 Mbit/s
constexpr double linkShareForWeights = 0.8; ///< the engine's streams take a tenth of the host's link
constexpr std::size_t maxUploads = 5; ///< pieces that wait for the link: 0.2 s at 7.6 Mbit/s
constexpr double megabitPerSecondInBytesPerMs = 125.0; ///< unit conversion
constexpr std::size_t versionsKept = 2; ///< the one in service and the next

} // namespace hickory
