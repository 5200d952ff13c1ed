#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Answers an operator's call other than ApplyConfig at once, or starts the reads and queries that its answer needs.
void startOperatorCall(EntryState& state, const OperatorCall& call, EntryEffects& effects);

/// Handles the answer to a read of a history row for a ShowConfig or History call.
/// @return true when such a call was waiting for the answer
bool applyOperatorRead(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Adds an entry's status to the Status call that queried it; ignored when that call has ended.
void collectEntryStatus(EntryState& state, const EntryStatusReceived& event, EntryEffects& effects);

/// Answers Status calls whose deadline has passed, with the missing entries marked as unreachable.
void tickOperatorCalls(EntryState& state, EntryEffects& effects);

} // namespace hickory
