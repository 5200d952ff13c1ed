#pragma once

#include "clock_type.h"

#include <cstddef>
#include <cstdint>

namespace hickory {

// Limits of what an entry concludes from crashes of upstreams.

/// Crashes with a trait in common from which requests with it are refused. One crash cuts off many sound requests.
constexpr std::size_t quarantineCrashes = 2;
/// The same for repeats of one request, of which some are retries of this system's own.
constexpr std::size_t quarantineCrashesOfRequest = 3;
constexpr Milliseconds crashMaxAge { 60000 }; ///< older crashes are forgotten
constexpr Milliseconds suspicionMaxAge { 30000 }; ///< after a single crash, its traits are suspected for this long
constexpr Milliseconds quarantinePeriod { 60000 }; ///< of the first quarantine; doubles with each further one
constexpr std::uint32_t maxQuarantineDoublings = 6; ///< the longest quarantine takes about an hour
constexpr Milliseconds quarantineMemory { 600000 }; ///< after its end, a quarantine that nothing tried is forgotten
/// How long an entry that only heard of a crash waits before it tries a suspected trait: the entry that saw the crash
/// has tried it by then, and the news has arrived.
constexpr Milliseconds trialDelay { 500 };
/// Trials of several entries are spread over this time for each entry of the fleet, so that one can end before the next
/// begins.
constexpr Milliseconds trialSpreadPerEntry { 250 };
constexpr Milliseconds maxTrialSpread { 4000 }; ///< upper bound of that spread, below the time that most callers wait
constexpr std::int64_t quarantineTrialFactor = 8; ///< after a quarantine trials are spread over a time longer by this
/// Connections to several upstreams that break within this time may have a common cause, such as the loss of a rack: as
/// evidence against requests they count once.
constexpr Milliseconds commonFailureWindow { 50 };
/// Least number of upstreams whose connections break together for the network to be the cause.
constexpr std::size_t minCommonFailures = 3;
constexpr std::size_t commonFailureDivisor = 4; ///< and at least this fraction of the upstreams of the service
/// How long after its connections broke a process must be found to have ended for a crash to be recorded: a lease
/// expires within it.
constexpr Milliseconds crashConfirmTimeout { 6000 };
constexpr Milliseconds soundPeriod { 15000 }; ///< length of a generation of sound traits
constexpr std::size_t maxSoundTraits = 16384; ///< in one generation: about 1 MB
/// Prompt parts of one request that are remembered as sound, so that a few requests with many parts don't fill the
/// table.
constexpr std::size_t maxSoundTraitsOfRequest = 16;
constexpr std::size_t maxKnownCrashes = 64; ///< the oldest are dropped first
constexpr std::size_t maxTraitsPerCrash = 32; ///< more than one entry's requests waiting at an engine
constexpr std::size_t maxQuarantines = 64; ///< the oldest are dropped first
/// Knowledge is no longer told for this long before it is forgotten: longer than news take to cross the fleet.
constexpr Milliseconds crashNewsMargin { 5000 };
constexpr Milliseconds crashNewsPeriod { 3000 }; ///< what changed is repeated in beacons for this long

} // namespace hickory
