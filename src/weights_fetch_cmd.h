#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "agent_state_type.h"

namespace hickory {

/// Starts the download of the wanted version and drops versions that this host neither serves nor may return to.
void updateDownloads(AgentState& state, AgentEffects& effects);

/// Starts chunk fetches of a download, up to the bounds on concurrent fetches. Does nothing without a manifest.
void startFetches(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects);

/// Starts one chunk fetch and updates the counters of streams.
/// @pre download.manifest is set and the chunk is neither held nor being fetched
void startFetch(AgentState& state, const ManifestDigest& digest, Download& download, ChunkIndex index,
    const ChunkSource& source, AgentEffects& effects);

/// Estimates how long a chunk fetch may take, by the measured rate.
/// @param size size of the chunk
/// @param failures earlier failed fetches of the chunk; each lengthens the time
/// @param outside the source is the origin or a peer of another region
/// @return time after which the fetch counts as stalled
Milliseconds chunkTimeout(const AgentState& state, Bytes size, std::uint32_t failures, bool outside);

/// @param peer a peer's host, empty for the origin
/// @return true for the origin, a peer of another region and a peer that is not in the membership list
bool isOutsideRegion(const AgentState& state, const HostId& peer);

/// Handles the end of a chunk fetch: updates counters, measured rates and, after a failure, the retry delay and the
/// source's penalty.
void finishFetch(AgentState& state, const ChunkFetched& event, AgentEffects& effects);

} // namespace hickory
