#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Validates a configuration that an operator submitted and starts to write it to the store, or answers with an error.
void startApply(EntryState& state, const OperatorCall& call, EntryEffects& effects);

/// Advances a pending apply by the answer to its store operation. Answers that belong to no pending step are ignored.
/// @return true when the active configuration changed
bool advanceApply(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Answers pending applies whose change turns out to be committed.
/// @param record configuration received from a peer or read from the store
void completeMatchingApplies(EntryState& state, const ConfigRecord& record, EntryEffects& effects);

/// Repeats due store operations of pending applies and ends applies whose deadline passed.
void tickApplies(EntryState& state, EntryEffects& effects);

} // namespace hickory
