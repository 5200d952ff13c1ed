#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

#include <cstddef>
#include <string>

namespace hickory {

/// Claims a call for a dispatch: sets its row to `started`, provided that the row still has the version that the entry
/// read. The call is given to the upstream only after this write is known to have taken effect.
/// @pre the dispatch has an idempotency key and holds a slot
void claimRow(AgentState& state, Dispatch& dispatch, AgentEffects& effects);

/// Writes the outcome of a call to its row, with retries until it succeeds, and then answers the dispatch.
/// @param result answer to the dispatch, sent once the outcome is recorded
/// @param answer body of the upstream's answer, to be stored in the row
/// @param contentType Content-Type of that body
void recordOutcome(AgentState& state, Dispatch& dispatch, DispatchResult result, std::string answer,
    std::string contentType, AgentEffects& effects);

/// Sets the `started` row of a call that was not given to the upstream to `cancelled`, then answers the dispatch.
/// @param result answer to the dispatch, of kind NotRun
void releaseRow(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects);

/// Removes the incarnation from the `started` row of a call whose outcome will never be known, so that the call is not
/// reported as running, then answers the dispatch.
/// @param result answer to the dispatch, of kind Unknown or Crashed
void recordUnknownOutcome(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects);

/// @return true when another non-repeatable call can be accepted
bool callRowsAvailable(const AgentState& state);

/// Periodic work: retries store operations and treats those that were not answered in time as unavailable.
void tickCallRows(AgentState& state, AgentEffects& effects);

} // namespace hickory
