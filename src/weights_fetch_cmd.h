#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Starts the downloads that are needed and drops those that nobody needs.
void updateDownloads(AgentState& state, AgentEffects& effects);

/// Starts chunk fetches of a download as far as its bounds allow.
void startFetches(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects);

/// Emits one fetch and counts it.
void startFetch(AgentState& state, const ManifestDigest& digest, Download& download, ChunkIndex index,
    const ChunkSource& source, AgentEffects& effects);

/// @param outside the source is the origin or a peer of another region
/// @return time after which a chunk of that size counts as stalled, by the rate measured so far
Milliseconds chunkTimeout(const AgentState& state, Bytes size, std::uint32_t failures, bool outside);

/// @return true when the source is the origin or a peer of another region
bool isOutside(const AgentState& state, const HostId& peer);

/// Counts the end of a fetch.
void finishFetch(AgentState& state, const ChunkFetched& event, AgentEffects& effects);

} // namespace hickory
