#pragma once

#include "clock_type.h"

#include <cstddef>
#include <cstdint>

namespace hickory {

// Limits of the crash news in one beacon. They keep its datagram below 8 KiB next to the other fields of a beacon.
constexpr std::size_t maxNewsCrashes = 24; ///< crashes
constexpr std::size_t maxNewsTraitsOfCrash = 64; ///< traits of one crash
/// Traits of all crashes together. A crash whose traits do not fit is left out as a whole, so that a receiver takes no
/// trait for missing in it.
constexpr std::size_t maxNewsTraits = 480;
constexpr std::size_t maxNewsQuarantines = 32; ///< quarantines
/// A quarantine of more traits is not told: with some of them left out it would refuse more requests.
constexpr std::size_t maxNewsTraitsOfQuarantine = 4;
constexpr std::size_t maxNewsSoundTraits = 96; ///< traits found sound

constexpr Milliseconds maxNewsAge { 86'400'000 }; ///< ages above a day are sent and taken as a day
constexpr std::uint32_t maxNewsQuarantineCount = 1000; ///< greater numbers of quarantines are taken as this one

} // namespace hickory
