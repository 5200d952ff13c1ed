#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Advances a download: assigns the chunks to owners when the hosts that fetch the version changed, asks peers for
/// their chunk maps and starts fetches. Chunks that peers of the region hold are fetched from them, rarest first. From
/// outside the region only the chunks are fetched that this host owns or takes over from a slow or dead owner.
/// @pre download.manifest is set
void runSwarmRound(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects);

/// Records which chunks a peer holds, or that it did not answer.
void recordChunkMap(AgentState& state, const ChunkMapReceived& event);

} // namespace hickory
