#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// One chunk of a manifest.
struct ManifestChunk {
    std::string digest; ///< BLAKE2b-256 of the chunk, hex
    Bytes size; ///< bytes of the chunk
};

/// Content of one model version. Stored as JSON in the object "manifests/{digest}"; the digest is that of the JSON.
struct Manifest {
    ManifestDigest digest; ///< digest of the stored JSON
    ModelId model; ///< model name
    ModelVersion version; ///< model version
    std::string object; ///< name in the weight store, read by byte range
    std::string totalDigest; ///< BLAKE2b-256 of all bytes, hex
    Bytes chunkSize; ///< size of each chunk but the last
    std::vector<ManifestChunk> chunks; ///< in order
};

/// Where a chunk is fetched from.
struct ChunkSource {
    HostId peer; ///< an agent's host; empty for the origin (the weight store)
    std::string address; ///< "ip:port" of the peer, empty for the origin
};

/// The manifest's object was read from the store and checked, or could not be.
struct ManifestReceived {
    ManifestDigest digest; ///< digest that was asked for
    bool ok { false }; ///< read and its digest matches
    Manifest manifest; ///< set when ok
    std::string detail; ///< reason when not ok
};

/// A peer's answer to QueryChunkMap.
struct ChunkMapReceived {
    HostId peer; ///< the agent's host
    ManifestDigest manifest; ///< the manifest
    bool ok { false }; ///< the peer answered
    std::vector<bool> have; ///< by chunk index; empty when it holds nothing
};

/// How a chunk fetch ended.
enum class ChunkResult : std::uint8_t {
    Verified, ///< the chunk matches its digest and is stored
    Corrupt, ///< the bytes do not match the digest and were dropped
    Failed, ///< no or an incomplete answer, or the time-out passed
};

/// Answer to FetchChunk.
struct ChunkFetched {
    ManifestDigest manifest; ///< the manifest
    ChunkIndex index; ///< the chunk
    ChunkSource source; ///< where it was asked for
    ChunkResult result { ChunkResult::Failed }; ///< how it ended
    Bytes received; ///< bytes that came over the link
    Milliseconds elapsed; ///< time from the request to the end
    bool whole { false }; ///< this chunk was the last and the total digest matches: the version may be loaded
    bool totalDigestMismatch { false }; ///< this chunk was the last and the total digest differs: the manifest is wrong
};

} // namespace hickory
