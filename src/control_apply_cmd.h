#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Starts the acceptance of an operator's text, or refuses it at once.
void startApply(EntryState& state, const OperatorCall& call, EntryEffects& effects);

/// Takes an acceptance one step further.
/// @return true when the configuration in force changed
bool applyAcceptanceAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Ends acceptances that a configuration learned by another way shows to have taken effect.
void resolveAppliesByRecord(EntryState& state, const ConfigRecord& record, EntryEffects& effects);

/// Repeats reads of acceptances that wait for the store and ends those whose deadline passed.
void tickApplies(EntryState& state, EntryEffects& effects);

} // namespace hickory
