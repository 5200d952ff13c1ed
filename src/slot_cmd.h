#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

#include <cstddef>

namespace hickory {

/// Starts, queues, records or refuses a dispatch.
void applyDispatchReceived(AgentState& state, const DispatchReceived& event, AgentEffects& effects);

/// Ends an attempt that its entry cancelled.
void applyCancelReceived(AgentState& state, const CancelReceived& event, AgentEffects& effects);

/// Cancels all attempts of an entry whose connection was lost.
void applyEntryDetached(AgentState& state, const EntryDetached& event, AgentEffects& effects);

/// Updates the latency estimate.
void applyUpstreamFirstPart(AgentState& state, const UpstreamFirstPart& event, AgentEffects& effects);

/// Answers the dispatch, records the outcome of a non-repeatable call and gives the slot to waiting work.
void applyUpstreamEnded(AgentState& state, const UpstreamEnded& event, AgentEffects& effects);

/// Handles answers with purpose CallRow.
void applyCallRowAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Takes over ranks, floors and concurrency of a new configuration.
void applyConfigToSlots(AgentState& state, AgentEffects& effects);

/// Periodic work: deadlines of waiting dispatches, the adaptive limit.
void tickSlots(AgentState& state, AgentEffects& effects);

/// @return dispatches that wait, run or wait for their call row
std::size_t dispatchesInProgress(const AgentState& state);

/// Fills limit, ranks, queuedTokens and latency of a status.
void fillSlotStatus(const AgentState& state, AgentStatus& status);

} // namespace hickory
