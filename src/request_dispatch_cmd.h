#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Adds a request to a queue of its service, at the position given by its order of arrival. Does nothing when the
/// service has been removed.
/// @pre the request is in no queue and has no attempt in flight
void enqueueRequest(EntryState& state, Request& request);

/// Queues a request and dispatches what there is room for. One whose service has been removed is refused, or waits for
/// the return of the service if an upstream has begun it.
/// @pre the request is in no queue and has no attempt in flight
void awaitUpstream(EntryState& state, Request& request, EntryEffects& effects);

/// Dispatches waiting requests of a service to upstreams with room for them, most urgent rank first.
void dispatchQueued(EntryState& state, const ServiceId& service, EntryEffects& effects);

/// Dispatches waiting requests of all services.
void dispatchAllQueued(EntryState& state, EntryEffects& effects);

} // namespace hickory
