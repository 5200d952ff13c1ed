#include "follow_cmd.h"

namespace hickory {

bool applyConfigReceived(AgentState&, const ConfigReceived&, AgentEffects&) { return false; }
void applyMembersUpdated(AgentState&, const MembersUpdated&, AgentEffects&) { }
void tickFollow(AgentState&, const AgentStatus&, AgentEffects&) { }

} // namespace hickory
