#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

#include <cstddef>
#include <string>

namespace hickory {

/// Moves the call row of a dispatch from the version that its entry saw to `started`. The call is given to the
/// upstream only after the move is known to have succeeded.
/// @pre the dispatch has an idempotency key and holds a slot
void claimRow(AgentState& state, Dispatch& dispatch, AgentEffects& effects);

/// Writes the outcome of a call to its row until that succeeds, then answers the dispatch.
/// @param result answer to be sent afterwards
void recordOutcome(AgentState& state, Dispatch& dispatch, DispatchResult result, std::string answer,
    std::string contentType, AgentEffects& effects);

/// Moves the `started` row of a call that was not given to the upstream to `cancelled`, then answers the dispatch.
/// @param result answer of kind NotRun
void releaseRow(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects);

/// Removes the incarnation from the `started` row of a call whose outcome will never be known, so that nobody takes the
/// call for running, then answers the dispatch.
/// @param result answer of kind Unknown or Crashed
void disownRow(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects);

/// @return true when another call that may not be repeated can be taken
bool callRowsAvailable(const AgentState& state);

/// Periodic work: repeats store operations and gives up on answers that were lost.
void tickCallRows(AgentState& state, AgentEffects& effects);

} // namespace hickory
