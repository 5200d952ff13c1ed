#pragma once

#include "clock_type.h"
#include "config_type.h"
#include "id_type.h"
#include "placement_row_type.h"
#include "weights_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Progress of one chunk. The hosts of a region that fetch a version are ordered for each chunk by rendezvous hashing;
/// the first in this order owns the chunk, i.e. fetches it from outside the region for the others.
struct ChunkProgress {
    bool have { false }; ///< verified and stored
    bool fetching { false }; ///< a FetchChunk has not been answered
    bool takeover { false }; ///< that fetch replaces one by a slow or dead owner
    std::uint16_t holders { 0 }; ///< peers of this region known to hold the chunk
    std::uint16_t failures { 0 }; ///< failed or corrupt fetches, up to a bound; lengthens timeout and retry delay
    /// Number of hosts of this region that come before this one in the chunk's order, 0 when this host is the owner.
    std::uint16_t position { 0 };
    HostId owner; ///< owner in this region, empty when no host of it fetches the version
    HostId sourceOwner; ///< owner in the source region, the one that reads from the origin
    Milliseconds notBefore { 0 }; ///< earliest time of the next fetch
};

/// What is known of a peer for one manifest.
struct PeerProgress {
    std::vector<bool> have; ///< by chunk index; empty before the first answer
    std::uint32_t held { 0 }; ///< number of set bits in `have`
    Milliseconds lastQuery { 0 }; ///< when the last QueryChunkMap was sent, 0 before the first
    Milliseconds lastProgress { 0 }; ///< when the peer last reported a new chunk that it owns, 0 before the first
    std::uint32_t streams { 0 }; ///< fetches from the peer in progress
    std::uint32_t unansweredQueries { 0 }; ///< consecutive map queries without an answer
    Milliseconds avoidUntil { 0 }; ///< the peer is not used as a source before this time
    Milliseconds demotedUntil { 0 }; ///< before this time the peer is used only when no other has the chunk
    std::uint32_t corrupt { 0 }; ///< corrupt chunks from the peer since its last verified one
    std::uint32_t failures { 0 }; ///< failed fetches from the peer since its last verified chunk
    bool querying { false }; ///< a QueryChunkMap has not been answered
};

/// Progress of fetching one model version.
struct Download {
    std::optional<Manifest> manifest; ///< empty until it was read
    Milliseconds nextManifestFetch { 0 }; ///< earliest time of the next FetchManifest
    bool manifestRequested { false }; ///< a FetchManifest has not been answered
    std::vector<ChunkProgress> chunks; ///< by chunk index
    std::uint32_t held { 0 }; ///< chunks that are verified and stored
    bool whole { false }; ///< all chunks are held and the total digest matches
    bool unusable { false }; ///< all chunks are held but the total digest differs: the version is never loaded
    std::string detail; ///< why the download makes no progress, for operators; empty when it does
    Milliseconds startedAt { 0 }; ///< when the manifest was received
    std::map<HostId, PeerProgress> peers; ///< peers queried or fetched from; those that left the fleet are erased
    std::uint32_t originStreams { 0 }; ///< fetches from the origin in progress
    std::uint32_t peerStreams { 0 }; ///< fetches from peers in progress
    std::uint64_t fetchingHostsVersion {
        0
    }; ///< WeightsState::fetchingHostsVersion for which owners were last assigned
    std::vector<HostId> regionHosts; ///< live hosts of this region that fetch this version, sorted
    std::vector<HostId> sourceHosts; ///< live hosts of the source region that fetch this version, sorted
    bool readsOrigin { false }; ///< this region is the source region
    std::uint32_t takeoverStreams { 0 }; ///< fetches in progress with ChunkProgress::takeover
    Milliseconds lastOutsideFailure { 0 }; ///< when a fetch from outside the region last failed
    std::uint32_t queries { 0 }; ///< map queries in progress
    Bytes fromOrigin; ///< bytes received from the origin
    Bytes fromRegion; ///< bytes received from peers of this region
    Bytes fromOtherRegions; ///< bytes received from peers of other regions
};

/// A placement row as last read.
struct PlacementView {
    bool known { false }; ///< the row was read at least once, even when absent
    RowVersion version; ///< version of the row, 0 when absent
    PlacementRow row; ///< content, default when absent
};

/// A permit row as last read, with what is needed to detect that a holder has expired.
struct PermitView {
    bool known { false }; ///< the row was read at least once, even when absent
    RowVersion version; ///< version of the row, 0 when absent
    PermitRow row; ///< content, default when absent
    Milliseconds readAt { 0 }; ///< when the row was last read
    std::map<HostId, std::pair<std::uint64_t, Milliseconds>> seen; ///< holder's renewal and when it was first seen
};

/// The service and model that this host is to serve.
struct WantedModel {
    ServiceId service; ///< service whose placement row names this host
    ModelConfig model; ///< from the configuration, or the previous model while a rollout is stopped
    std::uint32_t maxUnavailable {
        1
    }; ///< max_out of the service: hosts that a rollout may take out of service at once

    bool operator==(const WantedModel&) const = default;
};

/// Purpose of a store operation on a permit row.
enum class PermitWrite : std::uint8_t {
    None, ///< the operation is a read
    Take, ///< takes a permit for this host
    Renew, ///< extends the life of this host's permit
    Finish, ///< reports this host as done and gives the permit back
    Fail, ///< reports this host as failed; it keeps the permit until the previous model serves
    Release, ///< gives the permit back
};

/// This host's part in the rollout of its service.
struct RolloutState {
    bool holding { false }; ///< the row as last read lists this incarnation as a holder
    ServiceId service; ///< service whose permit is held
    PermitWrite write { PermitWrite::None }; ///< purpose of the last store operation
    std::uint64_t operation { 0 }; ///< number of the last store operation; answers to others only update the view
    bool waiting { false }; ///< the last store operation has not been answered
    Milliseconds nextStore { 0 }; ///< earliest time of the next store operation
    Milliseconds takenAt { 0 }; ///< when the permit was taken
    Milliseconds renewedAt { 0 }; ///< when the permit was last taken or renewed
    std::uint64_t renewal { 0 }; ///< renewal number last written
    std::optional<ModelConfig> observedModel; ///< model that the engine last served
    Milliseconds servingSince { 0 }; ///< when `observedModel` came into service
    std::uint32_t failures { 0 }; ///< requests that failed with `observedModel`
    Milliseconds previousServingTime { 0 }; ///< how long the model before `observedModel` served
    std::uint32_t previousFailures { 0 }; ///< requests that failed with the model before `observedModel`
    Milliseconds failedSince { 0 }; ///< since when the load of the wanted model counts as failed, 0 when it does not
    std::string permitWaitReason; ///< why no permit was taken, for operators; empty when none is waited for
};

/// An agent's state of placement, rollout permits and the distribution of weights.
struct WeightsState {
    std::map<ServiceId, PlacementView> placements; ///< by engine service of the configuration
    std::map<ServiceId, PermitView> permits; ///< of this host's service and the services it depends on
    Generation generation; ///< configuration last applied to placements
    Milliseconds nextPlacementRead { 0 }; ///< when to read the next placement row
    std::uint32_t placementCursor { 0 }; ///< counts reads while unassigned; selects the placement row to read next
    std::optional<WantedModel> wanted; ///< what this host is to serve, empty when no placement row names it
    std::map<ManifestDigest, Download> downloads; ///< only of versions that are wanted, serving or may be returned to
    /// Raised when the set of hosts that fetch may have changed; downloads then assign the owners of chunks again.
    std::uint64_t fetchingHostsVersion { 1 };
    Milliseconds nextQueryRound { 0 }; ///< when peers are next asked for their chunk maps
    double outsideRate { 0 }; ///< smoothed rate of one fetch from outside the region, bytes a second, 0 when unknown
    double regionRate { 0 }; ///< smoothed rate of one fetch within the region, bytes a second, 0 when unknown
    double latencyBaseline { 0 }; ///< smoothed latency of live traffic without chunk traffic, ms, 0 when unknown
    Bytes chunkRateLimit; ///< last SetChunkRate, bytes a second, 0 for no limit
    Milliseconds nextRateUpdate { 0 }; ///< when the chunk rate limit is next recomputed
    RolloutState rollout;
};

} // namespace hickory
