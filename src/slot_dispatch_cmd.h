#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickory {

/// Creates the result of an attempt.
/// @param kind how the attempt ended
/// @param reason machine-readable reason, may be empty
/// @return a result without HTTP status and parts
DispatchResult resultOf(DispatchResultKind kind, std::string reason);

/// @return log fields that identify an attempt: request, attempt, entry, rank and workspace
std::vector<std::pair<std::string, std::string>> attemptFields(const DispatchCall& call);

/// Sends the result of a dispatch to its entry, unless one was sent before. The dispatch stays known, e.g. while its
/// outcome is being recorded.
void answerDispatch(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects,
    std::string storedAnswer = {}, std::string contentType = {});

/// Sends the result of a dispatch to its entry, unless one was sent before, and removes the dispatch.
/// @param key attempt of the dispatch
/// @param result how it ended; the agent's present status is added
/// @param storedAnswer recorded response body, RecordedDone only
/// @param contentType content type of that body, RecordedDone only
/// @pre the dispatch exists
void endDispatch(AgentState& state, const AttemptKey& key, DispatchResult result, AgentEffects& effects,
    std::string storedAnswer = {}, std::string contentType = {});

/// Marks an attempt as closed, so that a dispatch of it that arrives later is refused. Only the most recent closed
/// attempts are kept.
void closeAttempt(SlotState& slots, const AttemptKey& key);

/// @return true when the attempt is marked as closed
bool isClosed(const SlotState& slots, const AttemptKey& key);

/// @return machine-readable reason why a dispatch cannot be started at the upstream now, or an empty string
std::string_view startRefusalReason(const AgentState& state, const Dispatch& dispatch);

/// Starts a dispatch that holds a slot at the upstream.
void startUpstream(AgentState& state, Dispatch& dispatch, AgentEffects& effects);

/// Cancels a running dispatch at the upstream. It holds its slot until the upstream request has ended. A repeated call
/// has no effect.
void cancelRunning(Dispatch& dispatch, CancelCause cause, AgentEffects& effects);

/// Schedules the waiting dispatches: refuses those that cannot be started any more, fills free slots, and preempts
/// running streams for ranks below their entitlement.
void scheduleWaiting(AgentState& state, AgentEffects& effects);

} // namespace hickory
