#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Starts or retries the fetch of chunks once a manifest is known.
void applyManifestReceived(AgentState& state, const ManifestReceived& event, AgentEffects& effects);

/// Takes over which chunks a peer holds.
void applyChunkMap(AgentState& state, const ChunkMapReceived& event, AgentEffects& effects);

/// Counts a chunk as held, or fetches it elsewhere.
void applyChunkFetched(AgentState& state, const ChunkFetched& event, AgentEffects& effects);

/// Handles answers with purpose Placement, Permit and Manifest.
void applyWeightsStoreAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects);

/// Reacts to a new configuration or membership.
void applyConfigToWeights(AgentState& state, AgentEffects& effects);

/// Periodic work: placement reads, swarm rounds, permits, rollout; sets EngineState::target.
void tickWeights(AgentState& state, AgentEffects& effects);

/// Fills wantedVersion, chunksHave and chunksTotal of a status, and detail when a rollout stopped here.
void fillWeightsStatus(const AgentState& state, AgentStatus& status);

} // namespace hickory
