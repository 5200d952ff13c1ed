#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

#include <cstddef>
#include <vector>

namespace hickory {

/// Checks a caller's request and dispatches, queues or refuses it. The call row of a non-repeatable request is read
/// first.
void applyRequestArrived(EntryState& state, const RequestArrived& event, EntryEffects& effects);

/// Cancels a request whose caller disconnected. A non-repeatable call that may have started runs on, so that its
/// outcome is recorded.
void applyCallerDisconnected(EntryState& state, const CallerDisconnected& event, EntryEffects& effects);

/// Records the arrival of the first part of an answer. One from an earlier attempt is logged and ignored.
void applyFirstPart(EntryState& state, const FirstPart& event, EntryEffects& effects);

/// Finishes, retries, resumes or fails a request whose attempt ended.
void applyAttemptEnded(EntryState& state, const AttemptEnded& event, EntryEffects& effects);

/// Makes a connected agent a candidate for dispatches.
void applyAgentConnected(EntryState& state, const AgentConnected& event, EntryEffects& effects);

/// Takes an agent whose connection was lost out of the candidates. The I/O layer reports the end of each of its
/// attempts as AttemptEnded: Unknown, or NotRun when the request was not sent.
void applyAgentDisconnected(EntryState& state, const AgentDisconnected& event, EntryEffects& effects);

/// Stores an agent's status unless it is older than the one held.
void applyAgentStatus(EntryState& state, const AgentStatus& status, EntryEffects& effects);

/// Counts a missed heartbeat. After 3 in a row the connection is dropped, unless most agents of the service seem
/// frozen, which points to a fault of this entry's own network.
void applyHeartbeatMissed(EntryState& state, const HeartbeatMissed& event, EntryEffects& effects);

/// Handles the store's answers with purpose CallRow.
void applyCallRowAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Applies the ranks, workspaces and services of a new configuration to the requests in progress.
void applyConfigToRequests(EntryState& state, EntryEffects& effects);

/// Recomputes the subset of agents to connect to after a change of the membership list.
void applyMembersToRequests(EntryState& state, EntryEffects& effects);

/// Merges the crash suspicions of a peer and passes on what is new.
void applySuspicions(EntryState& state, const std::vector<Suspicion>& suspicions, EntryEffects& effects);

/// Periodic work: timers of requests, reconnects, ejections, expiry of suspicions, gauges.
void tickRequests(EntryState& state, EntryEffects& effects);

/// @return crash suspicions for one gossip message, newest first, at most 64
std::vector<Suspicion> localSuspicions(const EntryState& state);

/// @return cost of this entry's waiting and in-flight requests by service and rank, without those that are 0
std::vector<Demand> localDemand(const EntryState& state);

/// @return requests that have not ended
std::size_t requestsInProgress(const EntryState& state);

/// @return JSON array with this entry's view of its upstreams, sorted by host
std::string upstreamsJson(const EntryState& state);

} // namespace hickory
