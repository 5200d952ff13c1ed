#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// One step of an agent. Deterministic: no I/O, clock or logging inside; randomness comes from the state.
/// @param state changed in place
/// @param event what happened and when
/// @return what to do, in order
AgentEffects reduce(AgentState& state, const AgentEvent& event);

} // namespace hickory
