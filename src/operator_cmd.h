#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Answers an operator's call other than ApplyConfig, or starts collecting its answer.
void startOperatorCall(EntryState& state, const OperatorCall& call, EntryEffects& effects);

/// Takes an answer to a read of a history row for ShowConfig or History.
/// @return true when the answer belonged to such a call
bool applyOperatorRead(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Adds an entry's status to the Status call that asked for it.
void collectEntryStatus(EntryState& state, const EntryStatusReceived& event, EntryEffects& effects);

/// Ends Status calls whose deadline passed.
void tickOperatorCalls(EntryState& state, EntryEffects& effects);

} // namespace hickory
