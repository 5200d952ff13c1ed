#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Derives limit, floors and shares from the configuration for the service that the upstream serves.
void refreshShares(AgentState& state, AgentEffects& effects);

/// Forgets the measured latencies, because the upstream runs something else now, and derives the shares anew.
void resetLatency(AgentState& state, AgentEffects& effects);

/// Takes one measured time to the first part into account.
/// @param latency time from the start at the upstream to its first part
void noteLatency(SlotState& slots, Milliseconds latency);

/// Adapts the concurrency limit to the measured latency, at most once a second. The limit falls while the latency of
/// the last requests is well above that of the last few hundred and endangers the most urgent target, and rises by one
/// slot at a time otherwise.
void tickLimit(AgentState& state, AgentEffects& effects);

} // namespace hickory
