#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Adopts a configuration if it is newer than the one in force.
/// @return true when the configuration in force changed
bool applyConfigReceived(AgentState& state, const ConfigReceived& event, AgentEffects& effects);

/// Takes over a new membership list.
void applyMembersUpdated(AgentState& state, const MembersUpdated& event, AgentEffects& effects);

/// Takes the next entry in order as home for some time.
void applyHomeReportFailed(AgentState& state, const HomeReportFailed& event, AgentEffects& effects);

/// Periodic work: membership reads and reports to the home entry.
/// @param status the agent's present status
void tickFollow(AgentState& state, const AgentStatus& status, AgentEffects& effects);

} // namespace hickory
