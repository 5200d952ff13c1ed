#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Limits the rate of chunk traffic to a share of the link, and lowers it while the latency of live traffic on this
/// host is above its baseline without chunk traffic.
void tickChunkRate(AgentState& state, AgentEffects& effects);

} // namespace hickory
