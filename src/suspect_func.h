#pragma once

#include "entry_state_type.h"

namespace hickory {

/// @return recent upstream crashes with an equal request in flight, 0 when the request is not suspect
std::uint32_t crashCount(const EntryState& state, const ServiceId& service, const RequestDigest& digest);

/// @return time of the last crash with an equal request in flight; a time in the distant past when it is not suspect
Milliseconds lastCrashAt(const EntryState& state, const ServiceId& service, const RequestDigest& digest);

/// @return remaining time for which equal requests are refused, 0 when they are not
Milliseconds quarantineRemaining(const EntryState& state, const ServiceConfig& service, const RequestDigest& digest);

} // namespace hickory
