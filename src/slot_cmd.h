#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

#include <cstddef>

namespace hickory {

/// Handles a dispatch from an entry: starts, queues or refuses it. A duplicate of a known attempt is dropped.
void applyDispatchReceived(AgentState& state, const DispatchReceived& event, AgentEffects& effects);

/// Cancels an attempt on request of its entry. An attempt that has not arrived yet will be refused.
void applyCancelReceived(AgentState& state, const CancelReceived& event, AgentEffects& effects);

/// Cancels all attempts that came over a connection which was lost. Non-repeatable calls run to completion.
void applyEntryDetached(AgentState& state, const EntryDetached& event, AgentEffects& effects);

/// Records the time to the first part of a response for the adaptive limit.
void applyUpstreamFirstPart(AgentState& state, const UpstreamFirstPart& event, AgentEffects& effects);

/// Handles the end of an upstream request: updates the call row of a non-repeatable call, sends the result and gives
/// the slot to a waiting dispatch.
void applyUpstreamEnded(AgentState& state, const UpstreamEnded& event, AgentEffects& effects);

/// Handles a store answer with StorePurpose::CallRow. Answers to operations that already timed out are ignored.
void applyCallRowAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Applies ranks, floors, weights and concurrency of a new configuration.
void applyConfigToSlots(AgentState& state, AgentEffects& effects);

/// Periodic work: expired deadlines, retries of call row operations, the adaptive limit and the scheduling of waiting
/// dispatches.
void tickSlots(AgentState& state, AgentEffects& effects);

/// Counts the work that a leaving agent has to finish before it exits.
/// @return dispatches and call row releases in progress; after the maximum recording time only the dispatches that are
/// waiting or hold a slot
std::size_t dispatchesInProgress(const AgentState& state);

/// Sets the fields limit, ranks, queuedTokens and latency of a status.
void fillSlotStatus(const AgentState& state, AgentStatus& status);

} // namespace hickory
