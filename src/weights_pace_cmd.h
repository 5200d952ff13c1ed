#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Sets the pace of chunk traffic: the link's share, lowered while the latency of live traffic on this host is above
/// what it was without chunk traffic.
void tickChunkPace(AgentState& state, AgentEffects& effects);

} // namespace hickory
