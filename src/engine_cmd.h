#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Handles a store answer with purpose Fence.
void applyFenceAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Stores the state that the upstream reported, verifies a finished load and starts waiting requests.
void applyUpstreamState(AgentState& state, const UpstreamStateReceived& event, AgentEffects& effects);

/// Handles the end of a load order. An end of any order but the last is ignored.
void applyLoadEnded(AgentState& state, const LoadEnded& event, AgentEffects& effects);

/// Does the periodic work: acquires the fencing number, polls the upstream, drains it and sends load orders.
void tickEngine(AgentState& state, AgentEffects& effects);

/// Counts the failure of a request. A crash or a failed connection marks the upstream as not ready. These and a refused
/// request, e.g. for a full engine or another version, poll the upstream at once instead of with the next periodic
/// poll.
void recordUpstreamResult(AgentState& state, UpstreamResult result, AgentEffects& effects);

/// @return true when the upstream may be sent requests: its state is current and, for engines, it runs the target
bool upstreamReady(const AgentState& state);

/// Fills service, ready, model, version, adapters, role, failures and detail of a status.
void fillEngineStatus(const AgentState& state, AgentStatus& status);

} // namespace hickory
