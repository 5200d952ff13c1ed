#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "error_type.h"
#include "weights_type.h"

#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Asks a peer for a chunk; `done` is called once, on any thread.
using PeerChunkFetch = std::function<void(const std::string& address, const ManifestDigest& manifest, ChunkIndex index,
    Milliseconds timeout, std::function<void(Result<std::string>)> done)>;

/// Options of a WeightsStore.
struct WeightsOptions {
    std::string platformUrl; ///< object store and origin
    std::string directory; ///< memory-backed directory; created, emptied at start
    Bytes limit; ///< most bytes kept
    Bytes linkRate; ///< pace of chunk traffic each way, 0 for none
    PeerChunkFetch fetchFromPeer; ///< transport between agents
    std::function<void(AgentEventBody)> onEvent; ///< ManifestReceived and ChunkFetched, on a thread of the store
    unsigned threads { 4 }; ///< fetches from the origin at once
};

/// Chunks of this host: fetches, verifies, stores and serves them. Safe from any thread.
class WeightsStore {
public:
    explicit WeightsStore(WeightsOptions options);
    ~WeightsStore();
    WeightsStore(const WeightsStore&) = delete;
    WeightsStore& operator=(const WeightsStore&) = delete;

    void fetchManifest(const FetchManifest& effect);
    void fetchChunk(const FetchChunk& effect);
    void drop(const DropWeights& effect);
    void setRate(const SetChunkRate& effect);

    /// @return one bit a chunk, lowest bit of the first byte first; empty when the manifest is unknown
    std::string chunkMap(const ManifestDigest& manifest) const;

    /// @return a verified chunk, or NotFound. The caller first waits for uploadDelay.
    Result<std::string> readChunk(const ManifestDigest& manifest, ChunkIndex index) const;

    /// Reserves upload bandwidth.
    /// @return time to wait before the bytes may be sent
    Milliseconds uploadDelay(Bytes bytes);

    /// @return path of the file that holds all bytes of a version, for the engine's load order
    std::string path(const ManifestDigest& manifest) const;

private:
    struct State;
    std::unique_ptr<State> state; ///< files, threads, pacing
};

} // namespace hickory
