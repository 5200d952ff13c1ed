#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Adopts a configuration if it is newer than the active one, propagates it, and answers pending applies that it shows
/// to be committed.
/// @return true when the active configuration changed
bool applyConfigReceived(EntryState& state, const ConfigReceived& event, EntryEffects& effects);

/// Handles store answers with purpose ConfigPoll, ConfigHistory or ConfigWrite.
/// @return true when the active configuration changed
bool applyConfigStoreAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Replaces the membership list. A list without entries is ignored if the current one has some.
void applyMembersUpdated(EntryState& state, const MembersUpdated& event, EntryEffects& effects);

/// Records that a host is leaving, as announced by itself or by gossip. Hosts that are not listed are ignored.
void applyLeavingNotice(EntryState& state, const HostId& host, EntryEffects& effects);

/// Handles gossip of a peer: records its leaving notices, and fetches or pushes the configuration if the generations
/// differ.
void applyGossip(EntryState& state, const GossipReceived& event, EntryEffects& effects);

/// Marks a peer as unreachable for unreachableTimeToLive.
void applyGossipFailed(EntryState& state, const GossipFailed& event, EntryEffects& effects);

/// Stores the status report of an agent that has this entry as its home.
void applyHomeReport(EntryState& state, const HomeReport& event, EntryEffects& effects);

/// Drops the leaving notice of an agent whose connection was lost or re-established: the process that sent the notice
/// is gone, and a new process may serve under the same name before the membership list changes.
/// @return true when there was a notice
bool applyAgentProcessGone(EntryState& state, const HostId& host);

/// Pushes the active configuration to a connected agent that has none. Such an agent may lack the membership list and
/// then has no home entry to fetch it from.
void pushConfigIfMissing(EntryState& state, const AgentStatus& status, EntryEffects& effects);

/// Answers an operator call, or starts the operations that it needs.
void applyOperatorCalled(EntryState& state, const OperatorCalled& event, EntryEffects& effects);

/// Adds a peer's status to a pending Status call.
void applyEntryStatus(EntryState& state, const EntryStatusReceived& event, EntryEffects& effects);

/// Periodic work: expiry of reports and notices, membership reads, configuration polls, gossip rounds, retries and
/// timeouts of operator calls.
void tickControl(EntryState& state, EntryEffects& effects);

/// Builds the gossip message of this entry.
/// @return generation, leaving notices and suspicions; the demand is left empty
GossipMessage localGossip(const EntryState& state);

/// @return status of this entry and its home agents, the answer to a peer's QueryEntryStatus
EntryStatus localEntryStatus(const EntryState& state);

} // namespace hickory
