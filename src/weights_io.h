#pragma once

#include "agent_effect_type.h"
#include "agent_event_type.h"
#include "error_type.h"
#include "weights_type.h"

#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Requests a chunk from a peer. `done` is called exactly once, on any thread, with the bytes of the chunk or an error.
using PeerChunkFetch = std::function<void(const std::string& address, const ManifestDigest& manifest, ChunkIndex index,
    Milliseconds timeout, std::function<void(Result<std::string>)> done)>;

/// Options of a WeightsStore.
struct WeightsOptions {
    std::string platformUrl; ///< URL of the platform, which serves the object store and the origin
    std::string directory; ///< directory for weight files, on a memory-backed file system; created, old files deleted
    Bytes limit; ///< maximum total size of all versions kept
    Bytes linkRate; ///< initial rate limit of chunk traffic in each direction, bytes a second, 0 for none
    PeerChunkFetch fetchFromPeer; ///< requests a chunk from another agent
    std::function<void(AgentEventBody)> onEvent; ///< receives ManifestReceived and ChunkFetched on a store thread
    unsigned threads { 4 }; ///< threads of the store; each runs one fetch from the origin at a time
};

/// Fetches, verifies, stores and serves the chunks of this host. Thread-safe.
class WeightsStore {
public:
    explicit WeightsStore(WeightsOptions options);
    ~WeightsStore();
    WeightsStore(const WeightsStore&) = delete;
    WeightsStore& operator=(const WeightsStore&) = delete;

    /// Reads and checks a manifest and creates the file for its weights. Ends with ManifestReceived.
    void fetchManifest(const FetchManifest& effect);
    /// Fetches, verifies and stores one chunk. Ends with ChunkFetched.
    void fetchChunk(const FetchChunk& effect);
    /// Deletes the weights of a version. Reads in progress still finish.
    void drop(const DropWeights& effect);
    /// Sets the rate limit of chunk traffic in each direction.
    void setRate(const SetChunkRate& effect);

    /// @return one bit for each chunk, set when it is stored, beginning with the lowest bit of the first byte; empty
    /// when the manifest is unknown
    std::string chunkMap(const ManifestDigest& manifest) const;

    /// Reads a chunk to be sent to a peer. The caller first waits for uploadDelay().
    /// @return the bytes, NotFound when the chunk is not stored, or Unavailable when the file cannot be read
    Result<std::string> readChunk(const ManifestDigest& manifest, ChunkIndex index) const;

    /// Reserves upload bandwidth within the rate limit.
    /// @return time to wait before the bytes may be sent
    Milliseconds uploadDelay(Bytes bytes);

    /// @return path of the file for all bytes of a version, for the engine to load; it may be incomplete or missing
    std::string path(const ManifestDigest& manifest) const;

private:
    struct State;
    std::unique_ptr<State> state; ///< never null
};

} // namespace hickory
