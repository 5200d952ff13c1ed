#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Orders chunks over the hosts that fetch a version, asks peers for their maps and starts fetches: from peers of the
/// region rarest first, and from outside the region only the chunks that this host leads or takes over.
/// @pre download.manifest is set
void swarmRound(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects);

/// Takes over which chunks a peer holds.
void takeChunkMap(AgentState& state, const ChunkMapReceived& event);

} // namespace hickory
