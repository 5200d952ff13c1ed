#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Applies one event to the state of an entry. Deterministic: does no I/O, reads no clock, writes no log and takes its
/// random numbers from the state.
/// @param state changed in place
/// @param event what happened and when
/// @return effects that the caller carries out in this order
EntryEffects reduce(EntryState& state, const EntryEvent& event);

} // namespace hickory
