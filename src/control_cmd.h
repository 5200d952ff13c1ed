#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Adopts a configuration if it is newer than the one in force, and spreads it.
/// @return true when the configuration in force changed
bool applyConfigReceived(EntryState& state, const ConfigReceived& event, EntryEffects& effects);

/// Handles answers with purpose ConfigPoll, ConfigHistory and ConfigWrite.
/// @return true when the configuration in force changed
bool applyConfigStoreAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Takes over a new membership list.
void applyMembersUpdated(EntryState& state, const MembersUpdated& event, EntryEffects& effects);

/// Records a leaving notice that came from the host itself or by gossip.
void applyLeavingNotice(EntryState& state, const HostId& host, EntryEffects& effects);

/// Compares generations with a peer and records its leaving notices.
void applyGossip(EntryState& state, const GossipReceived& event, EntryEffects& effects);

/// Records that a peer could not be reached.
void applyGossipFailed(EntryState& state, const GossipFailed& event, EntryEffects& effects);

/// Stores the report of an agent whose home is this entry.
void applyHomeReport(EntryState& state, const HomeReport& event, EntryEffects& effects);

/// Drops the leaving notice of an agent whose connection was lost or was made anew: the process that gave it is gone,
/// and another one may serve under the same name before the platform's list shows any change.
/// @return true when there was a notice
bool applyAgentProcessGone(EntryState& state, const HostId& host);

/// Pushes the configuration to a connected agent that has none: without the membership list it finds no home to ask.
void repairAgentConfig(EntryState& state, const AgentStatus& status, EntryEffects& effects);

/// Starts or answers an operator's call.
void applyOperatorCalled(EntryState& state, const OperatorCalled& event, EntryEffects& effects);

/// Collects a peer's status for a pending Status call.
void applyEntryStatus(EntryState& state, const EntryStatusReceived& event, EntryEffects& effects);

/// Periodic work: membership reads, configuration polls, gossip rounds, time-outs of operator calls.
void tickControl(EntryState& state, EntryEffects& effects);

/// Builds this entry's gossip message with its leaving notices and suspicions, without demand.
GossipMessage localGossip(const EntryState& state);

/// @return this entry's status with its home agents, for a peer's QueryEntryStatus
EntryStatus localEntryStatus(const EntryState& state);

} // namespace hickory
