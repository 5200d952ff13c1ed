#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

#include <cstddef>
#include <vector>

namespace hickory {

/// Checks, admits, queues, dispatches or refuses a caller's request.
void applyRequestArrived(EntryState& state, const RequestArrived& event, EntryEffects& effects);

/// Cancels a request whose caller hung up.
void applyCallerDisconnected(EntryState& state, const CallerDisconnected& event, EntryEffects& effects);

/// Notes the first part of an answer; an earlier attempt's is dropped and logged.
void applyFirstPart(EntryState& state, const FirstPart& event, EntryEffects& effects);

/// Finishes, retries, resumes, refuses or breaks a request whose attempt ended.
void applyAttemptEnded(EntryState& state, const AttemptEnded& event, EntryEffects& effects);

/// Adds an agent to the candidates.
void applyAgentConnected(EntryState& state, const AgentConnected& event, EntryEffects& effects);

/// Ejects an agent at once. The I/O layer ends its attempts by AttemptEnded with Unknown.
void applyAgentDisconnected(EntryState& state, const AgentDisconnected& event, EntryEffects& effects);

/// Takes over an agent's newest status; an older one is ignored.
void applyAgentStatus(EntryState& state, const AgentStatus& status, EntryEffects& effects);

/// Counts a missed heartbeat; after 3 the agent gets no new work.
void applyHeartbeatMissed(EntryState& state, const HeartbeatMissed& event, EntryEffects& effects);

/// Handles answers with purpose CallRow.
void applyCallRowAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Takes over a new configuration: ranks, workspaces, services.
void applyConfigToRequests(EntryState& state, EntryEffects& effects);

/// Recomputes the subset of agents to connect to.
void applyMembersToRequests(EntryState& state, EntryEffects& effects);

/// Merges suspicions of a peer.
void applySuspicions(EntryState& state, const std::vector<Suspicion>& suspicions, EntryEffects& effects);

/// Periodic work: deadlines, queue checks, ejection ends, budgets.
void tickRequests(EntryState& state, EntryEffects& effects);

/// @return suspicions for gossip, newest first, bounded
std::vector<Suspicion> localSuspicions(const EntryState& state);

/// @return this entry's demand by service and rank
std::vector<Demand> localDemand(const EntryState& state);

/// @return requests that are queued or in flight
std::size_t requestsInProgress(const EntryState& state);

/// @return JSON array with this entry's view of its upstreams
std::string upstreamsJson(const EntryState& state);

} // namespace hickory
