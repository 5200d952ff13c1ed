#include "engine_cmd.h"

namespace hickory {

void applyFenceAnswer(AgentState&, const StoreAnswer&, AgentEffects&) { }
void applyUpstreamState(AgentState&, const UpstreamStateReceived&, AgentEffects&) { }
void applyLoadEnded(AgentState&, const LoadEnded&, AgentEffects&) { }
void tickEngine(AgentState&, AgentEffects&) { }
bool upstreamReady(const AgentState&) { return false; }
void fillEngineStatus(const AgentState&, AgentStatus&) { }

} // namespace hickory
