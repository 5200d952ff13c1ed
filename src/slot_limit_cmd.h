#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Derives limit, floors and shares from the configuration for the service that the upstream serves.
void refreshShares(AgentState& state, AgentEffects& effects);

/// Adapts the concurrency limit to one measured time to the first part.
/// @param latency time from the start at the upstream to its first part
void adaptLimit(AgentState& state, Milliseconds latency, AgentEffects& effects);

} // namespace hickory
