#pragma once

#include "crash_state_type.h"

#include <string>
#include <vector>

namespace hickory {

/// @return whether a set of traits has all that are wanted
bool includesAll(const RequestTraits& traits, const RequestTraits& wanted);

/// @param processStartedAt start of the upstream's process, Unix ms, 0 when unknown
CrashId crashId(const UpstreamId& upstream, std::int64_t processStartedAt);

/// @return whether a request with the trait began lately
bool isSound(const SoundTraits& sound, RequestTrait trait);

/// Finds what the crashes have in common. Each group of traits explains several crashes that no group with more crashes
/// explains. Traits are in one group if the same crashes have them: nothing tells them apart. A whole request is only
/// blamed for crashes that no prompt part explains.
std::vector<RequestTraits> findCulprits(const std::map<CrashId, KnownCrash>& crashes);

/// @return when the requests are no longer refused
Milliseconds quarantineEnd(const Quarantine& quarantine);

/// @return the quarantine in force that applies to a request with these traits, or nullptr
const Quarantine* findQuarantine(const CrashState& state, const RequestTraits& traits, Milliseconds now);

/// @return when a request with these traits may be tried, one at a time, or nothing when none of them is suspected
std::optional<Milliseconds> suspicionHold(const CrashState& state, const RequestTraits& traits, Milliseconds now);

/// @return 16 lower-case hex digits for each trait, separated by commas
std::string traitsText(const RequestTraits& traits);

} // namespace hickory
