#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Ends the current attempt without waiting for its agent and cancels it there.
/// @param reason short machine-readable reason for the log and the caller
/// @pre the request is in flight
void abandonAttempt(EntryState& state, Request& request, const char* reason, EntryEffects& effects);

/// @return true when a connected upstream serves the model version of the request's last attempt
bool versionAvailable(const EntryState& state, const Request& request);

/// @return true when an upstream that is not connected served that version when it was last heard, or was never heard
bool versionMayReturn(const EntryState& state, const Request& request);

} // namespace hickory
