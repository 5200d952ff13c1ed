#include "slot_cmd.h"

namespace hickory {

void applyDispatchReceived(AgentState&, const DispatchReceived&, AgentEffects&) { }
void applyCancelReceived(AgentState&, const CancelReceived&, AgentEffects&) { }
void applyEntryDetached(AgentState&, const EntryDetached&, AgentEffects&) { }
void applyUpstreamFirstPart(AgentState&, const UpstreamFirstPart&, AgentEffects&) { }
void applyUpstreamEnded(AgentState&, const UpstreamEnded&, AgentEffects&) { }
void applyCallRowAnswer(AgentState&, const StoreAnswer&, AgentEffects&) { }
void applyConfigToSlots(AgentState&, AgentEffects&) { }
void tickSlots(AgentState&, AgentEffects&) { }
std::size_t dispatchesInProgress(const AgentState&) { return 0; }
void fillSlotStatus(const AgentState&, AgentStatus&) { }

} // namespace hickory
