#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Handles an answer to FetchManifest: starts fetching chunks, or leaves the manifest to be fetched again.
void applyManifestReceived(AgentState& state, const ManifestReceived& event, AgentEffects& effects);

/// Handles an answer to QueryChunkMap.
void applyChunkMap(AgentState& state, const ChunkMapReceived& event, AgentEffects& effects);

/// Handles an answer to FetchChunk: counts the chunk as held, or schedules another fetch of it.
void applyChunkFetched(AgentState& state, const ChunkFetched& event, AgentEffects& effects);

/// Handles a store answer with purpose Placement or Permit.
void applyWeightsStoreAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Handles a new configuration or membership list.
void applyConfigToWeights(AgentState& state, AgentEffects& effects);

/// Does the periodic work: reads placement rows, limits the chunk rate, advances the rollout and the downloads, and
/// sets EngineState::target.
void tickWeights(AgentState& state, AgentEffects& effects);

/// Fills wantedVersion, chunksHave and chunksTotal of a status, and detail when the download or the rollout does not
/// advance.
void fillWeightsStatus(const AgentState& state, AgentStatus& status);

} // namespace hickory
