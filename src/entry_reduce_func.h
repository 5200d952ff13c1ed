#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// One step of an entry. Deterministic: no I/O, clock or logging inside; randomness comes from the state.
/// @param state changed in place
/// @param event what happened and when
/// @return what to do, in order
EntryEffects reduce(EntryState& state, const EntryEvent& event);

} // namespace hickory
