#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Reads the call row of a non-repeatable request before it is dispatched.
/// @pre the request is in no queue and has no attempt
void readCallRow(EntryState& state, Request& request, EntryEffects& effects);

/// Finds out whether an attempt that ended without an answer has run. Sets the row to `cancelled`, provided that it
/// still has the version that was dispatched, so that the attempt can never start; otherwise the row records what
/// happened.
/// @pre the request is in no queue and has no attempt
void resolveCallRow(EntryState& state, Request& request, EntryEffects& effects);

/// Handles the store's answer for a request that waits for its call row. Answers that are not awaited are ignored.
void handleRowAnswer(EntryState& state, Request& request, const StoreAnswer& answer, EntryEffects& effects);

/// Handles the timer of a request that waits for its call row: reads the row again, or fails the request when its time
/// limit has passed.
void wakeRowRequest(EntryState& state, Request& request, EntryEffects& effects);

} // namespace hickory
