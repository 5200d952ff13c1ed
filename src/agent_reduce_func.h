#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Applies one event to the state of an agent. Deterministic: does no I/O, reads no clock, writes no log and takes its
/// random numbers from the state.
/// @param state changed in place
/// @param event what happened and when
/// @return effects that the caller carries out in this order
AgentEffects reduce(AgentState& state, const AgentEvent& event);

} // namespace hickory
