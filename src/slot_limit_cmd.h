#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Derives concurrency, minimum limit, floors and weights from the configuration of the service that the upstream
/// serves. Without a configuration nothing changes.
void refreshShares(AgentState& state, AgentEffects& effects);

/// Discards the measured latencies, resets the limit to the configured concurrency and derives the shares again. Called
/// when the upstream serves another service or version.
void resetLatency(AgentState& state, AgentEffects& effects);

/// Adds a sample to the latency averages of the adaptive limit.
/// @param slots state of the slots
/// @param latency time from the start at the upstream to the first part of the response
void recordLatency(SlotState& slots, Milliseconds latency);

/// Adapts the concurrency limit to the measured latency, at most once a second. The limit falls while the short-term
/// latency is well above the long-term one and above a share of the most urgent rank's target; otherwise it rises by at
/// most one slot at a time.
void tickLimit(AgentState& state, AgentEffects& effects);

} // namespace hickory
