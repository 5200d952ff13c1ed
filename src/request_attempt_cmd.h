#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Ends the present attempt without an answer from its agent and cancels it there.
/// @param reason why, for log and caller
/// @pre the request is in flight
void giveUpAttempt(EntryState& state, Request& request, const char* reason, EntryEffects& effects);

/// @return true when a connected upstream serves the version that the request's answer began with
bool versionExists(const EntryState& state, const Request& request);

} // namespace hickory
