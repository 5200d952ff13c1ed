#pragma once

#include "agent_effect_type.h"
#include "agent_state_type.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickory {

/// @param kind how the attempt ended
/// @param reason short machine-readable reason, may be empty
/// @return a result without status and parts
DispatchResult resultOf(DispatchResultKind kind, std::string reason);

/// Fields that identify an attempt in log lines.
std::vector<std::pair<std::string, std::string>> attemptFields(const DispatchCall& call);

/// Answers a dispatch that goes on, e.g. because its outcome is still being recorded. Nothing is answered twice.
void answerDispatch(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects,
    std::string storedAnswer = {}, std::string contentType = {});

/// Answers a dispatch for good and forgets it.
/// @param key the dispatch
/// @param result how it ended; the agent's load is added
/// @param storedAnswer RecordedDone: recorded body
/// @param contentType RecordedDone: type of the body
/// @pre the dispatch exists
void endDispatch(AgentState& state, const AttemptKey& key, DispatchResult result, AgentEffects& effects,
    std::string storedAnswer = {}, std::string contentType = {});

/// Remembers an attempt that must not start any more, whatever arrives later. Bounded.
void closeAttempt(SlotState& slots, const AttemptKey& key);

/// @return true when the attempt was closed
bool isClosed(const SlotState& slots, const AttemptKey& key);

/// @return why a dispatch cannot be given to the upstream now, or an empty text
std::string_view startRefusalReason(const AgentState& state, const Dispatch& dispatch);

/// Gives a dispatch that holds a slot to the upstream.
void startUpstream(AgentState& state, Dispatch& dispatch, AgentEffects& effects);

/// Cancels a running dispatch at the upstream; it keeps its slot until the upstream has ended it.
void cancelRunning(Dispatch& dispatch, CancelCause cause, AgentEffects& effects);

/// Refuses waiting dispatches that cannot run any more, fills free slots and preempts for ranks under their floor.
void scheduleWaiting(AgentState& state, AgentEffects& effects);

} // namespace hickory
