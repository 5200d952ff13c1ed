#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Notices a pause of this process longer than the lease; afterwards the fencing row is read before the next order.
void notePause(AgentState& state, AgentEffects& effects);

/// Asks for a check of the fencing row before the next order.
void requireFenceCheck(AgentState& state);

/// Takes or checks the fencing number when that is due.
void tickFence(AgentState& state, AgentEffects& effects);

/// Another agent took over this host: gives no more orders, refuses work and leaves.
/// @param reason how that was noticed
void supersede(AgentState& state, const char* reason, AgentEffects& effects);

} // namespace hickory
