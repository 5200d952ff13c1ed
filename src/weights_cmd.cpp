#include "weights_cmd.h"

namespace hickory {

void applyManifestReceived(AgentState&, const ManifestReceived&, AgentEffects&) { }
void applyChunkMap(AgentState&, const ChunkMapReceived&, AgentEffects&) { }
void applyChunkFetched(AgentState&, const ChunkFetched&, AgentEffects&) { }
void applyWeightsStoreAnswer(AgentState&, const StoreAnswer&, AgentEffects&) { }
void applyConfigToWeights(AgentState&, AgentEffects&) { }
void tickWeights(AgentState&, AgentEffects&) { }
void fillWeightsStatus(const AgentState&, AgentStatus&) { }

} // namespace hickory
