#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Handles answers with purpose Fence.
void applyFenceAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Takes over the upstream's state; verifies a load.
void applyUpstreamState(AgentState& state, const UpstreamStateReceived& event, AgentEffects& effects);

/// Goes on after an order to load.
void applyLoadEnded(AgentState& state, const LoadEnded& event, AgentEffects& effects);

/// Periodic work: takes the fencing number, polls the upstream, drains and orders loads.
void tickEngine(AgentState& state, AgentEffects& effects);

/// Counts failures of requests and notices from them that the upstream is gone before the next poll does.
void noteUpstreamResult(AgentState& state, UpstreamResult result, AgentEffects& effects);

/// @return true when the upstream may be given work: it answers and, for engines, runs a verified version
bool upstreamReady(const AgentState& state);

/// Fills service, ready, model, version, adapters, role, failures and detail of a status.
void fillEngineStatus(const AgentState& state, AgentStatus& status);

} // namespace hickory
