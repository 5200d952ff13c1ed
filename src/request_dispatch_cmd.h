#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Puts a request into a queue of its service, at the place of its arrival.
/// @pre it is in no queue and has no attempt
void enqueueRequest(EntryState& state, Request& request);

/// Dispatches waiting requests of a service to upstreams with room, most urgent rank first.
void pumpService(EntryState& state, const ServiceId& service, EntryEffects& effects);

/// Does so for every service.
void pumpAll(EntryState& state, EntryEffects& effects);

} // namespace hickory
