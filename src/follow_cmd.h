#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Adopts a received configuration if it is newer than the one in force, and makes the next home report due at once.
/// @return true when the configuration in force changed
bool applyConfigReceived(AgentState& state, const ConfigReceived& event, AgentEffects& effects);

/// Adopts a new membership list. A list without any entry is ignored while the list in use has one.
void applyMembersUpdated(AgentState& state, const MembersUpdated& event, AgentEffects& effects);

/// Marks an entry as failed for unreachableTimeToLive, so that the next entry in rendezvous order becomes the home.
void applyHomeReportFailed(AgentState& state, const HomeReportFailed& event, AgentEffects& effects);

/// Does what is due: reads of the membership list, fetches of a first configuration, reports to the home entry.
/// @param status the agent's current status, sent with a report
void tickFollow(AgentState& state, const AgentStatus& status, AgentEffects& effects);

} // namespace hickory
