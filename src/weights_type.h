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
    Bytes size; ///< Manifest::chunkSize, or less for the last chunk
};

/// Lists the chunks of one model version. Stored as JSON in the object "manifests/{digest}".
struct Manifest {
    ManifestDigest digest; ///< digest of the stored JSON
    ModelId model;
    ModelVersion version;
    std::string object; ///< name of the weights object in the weight store, which is read by byte range
    std::string totalDigest; ///< BLAKE2b-256 of all bytes, hex
    Bytes chunkSize; ///< size of every chunk but the last, above 0
    std::vector<ManifestChunk> chunks; ///< in the order of their bytes
};

/// Where a chunk is fetched from.
struct ChunkSource {
    HostId peer; ///< host of another agent; empty for the origin (the weight store)
    std::string address; ///< "ip:port" of the peer, empty for the origin
};

/// Answer to FetchManifest.
struct ManifestReceived {
    ManifestDigest digest; ///< as in FetchManifest
    bool ok { false }; ///< the manifest was read and checked, and there is space for its weights
    Manifest manifest; ///< set when ok
    std::string detail; ///< reason when not ok
};

/// Answer to QueryChunkMap.
struct ChunkMapReceived {
    HostId peer; ///< as in QueryChunkMap
    ManifestDigest manifest; ///< as in QueryChunkMap
    bool ok { false }; ///< the peer answered
    std::vector<bool> have; ///< by chunk index; empty when the peer does not know the manifest
};

/// How a chunk fetch ended.
enum class ChunkResult : std::uint8_t {
    Verified, ///< the chunk matches its digest and is stored
    Corrupt, ///< the bytes do not match the digest and were discarded
    Failed, ///< no answer, an incomplete one, a timeout, or the chunk could not be stored
};

/// Answer to FetchChunk.
struct ChunkFetched {
    ManifestDigest manifest; ///< as in FetchChunk
    ChunkIndex index; ///< as in FetchChunk
    ChunkSource source; ///< as in FetchChunk
    ChunkResult result { ChunkResult::Failed };
    Bytes received; ///< bytes received from the source, also when the fetch failed
    Milliseconds elapsed; ///< time from the request to its end
    bool versionComplete { false }; ///< all chunks are stored and the total digest matches: the version may be loaded
    bool totalDigestMismatch { false }; ///< all chunks are stored but the total digest differs: the manifest is wrong
};

} // namespace hickory
