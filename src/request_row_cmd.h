#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Reads the call row of a non-repeatable request before it is dispatched.
/// @pre the request is in no queue and has no attempt
void readCallRow(EntryState& state, Request& request, EntryEffects& effects);

/// Finds out whether an attempt that ended without an answer ran: moves the row from the version that was dispatched
/// to `cancelled`, so that the attempt can never start, or learns from the row that it did.
/// @pre the request is in no queue and has no attempt
void resolveCallRow(EntryState& state, Request& request, EntryEffects& effects);

/// Handles the store's answer for a request that waits for its row.
void continueWithRow(EntryState& state, Request& request, const StoreAnswer& answer, EntryEffects& effects);

/// Repeats an operation on the row whose time has come, or gives the row up.
void wakeRowRequest(EntryState& state, Request& request, EntryEffects& effects);

} // namespace hickory
