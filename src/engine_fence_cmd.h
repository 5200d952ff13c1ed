#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Detects that this process was paused for longer than the lease. In that case the upstream's state counts as unknown
/// and the fence row is read before the next load order. Called with each event of the engine.
void detectPause(AgentState& state, AgentEffects& effects);

/// Requires that the fence row is read before the next load order.
void requireFenceCheck(AgentState& state);

/// Starts the next store operation on the fence row when one is due. Does nothing for plain upstreams.
void tickFence(AgentState& state, AgentEffects& effects);

/// Handles that another agent has taken over this host: sends no more load orders, refuses requests and exits.
/// @param reason how it was detected, for the log
void handleSuperseded(AgentState& state, const char* reason, AgentEffects& effects);

} // namespace hickory
