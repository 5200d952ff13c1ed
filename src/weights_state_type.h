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

/// Progress of one chunk.
struct ChunkProgress {
    bool have { false }; ///< verified and stored
    bool fetching { false }; ///< a FetchChunk is out
    bool takeover { false }; ///< that fetch is in place of a slow or dead lead
    std::uint16_t holders { 0 }; ///< peers of the region known to hold it
    std::uint16_t failures { 0 }; ///< failed fetches since the last success of any chunk
    std::uint16_t position { 0 }; ///< this host's position in the chunk's rendezvous order of its region
    HostId lead; ///< best host of the chunk's order in this region: it fetches the chunk from outside
    HostId sourceLead; ///< best host of the chunk's order in the region that reads from the origin
    Milliseconds notBefore { 0 }; ///< no fetch before this time
};

/// What is known of a peer for one manifest.
struct PeerProgress {
    std::vector<bool> have; ///< by chunk index; empty before the first answer
    std::uint32_t held { 0 }; ///< count of `have`
    Milliseconds lastQuery { 0 }; ///< when its map was last asked for
    Milliseconds lastGain { 0 }; ///< when it last gained a chunk that it leads
    std::uint32_t streams { 0 }; ///< fetches from it in progress
    std::uint32_t unansweredQueries { 0 }; ///< map queries without an answer in a row
    Milliseconds avoidUntil { 0 }; ///< not used as a source before this time
    Milliseconds demotedUntil { 0 }; ///< used only when no other peer will do before this time
    std::uint32_t corrupt { 0 }; ///< corrupt chunks it served since its last correct one
    std::uint32_t failures { 0 }; ///< fetches from it that failed in a row
    bool querying { false }; ///< a QueryChunkMap is out
};

/// The fetch of one version.
struct Download {
    std::optional<Manifest> manifest; ///< once read
    Milliseconds manifestRetry { 0 }; ///< when to read the manifest again
    bool manifestAsked { false }; ///< a FetchManifest is out
    std::vector<ChunkProgress> chunks; ///< by index
    std::uint32_t held { 0 }; ///< chunks held
    bool whole { false }; ///< all chunks are held and the total digest matched
    bool broken { false }; ///< the total digest differs though every chunk matches: never loaded
    std::string detail; ///< why it does not get on
    Milliseconds started { 0 }; ///< when the manifest was known
    std::map<HostId, PeerProgress> peers; ///< bounded by the membership list
    std::uint32_t originStreams { 0 }; ///< fetches from the origin in progress
    std::uint32_t peerStreams { 0 }; ///< fetches from peers in progress
    std::uint64_t candidatesVersion { 0 }; ///< value of WeightsState::candidatesVersion that `chunks` was ordered for
    std::vector<HostId> regionHosts; ///< live hosts of this region that fetch this version, sorted
    std::vector<HostId> sourceHosts; ///< the same of the region that reads from the origin, sorted
    bool readsOrigin { false }; ///< this region is the one that reads from the origin
    std::uint32_t takeoverStreams { 0 }; ///< fetches in place of a slow or dead lead in progress
    Milliseconds outsideFailure { 0 }; ///< when a fetch from outside the region last failed
    std::uint32_t queries { 0 }; ///< map queries in progress
    Bytes fromOrigin; ///< bytes received from the origin
    Bytes fromRegion; ///< bytes received from peers of this region
    Bytes fromOtherRegions; ///< bytes received from peers of other regions
};

/// A placement row as last read.
struct PlacementView {
    bool known { false }; ///< read at least once, even when absent
    RowVersion version; ///< its version, 0 when absent
    PlacementRow row; ///< its content
};

/// A permit row as last read, with what is needed to see that a holder has expired.
struct PermitView {
    bool known { false }; ///< read at least once, even when absent
    RowVersion version; ///< its version, 0 when absent
    PermitRow row; ///< its content, default when absent
    Milliseconds readAt { 0 }; ///< when it was read
    std::map<HostId, std::pair<std::uint64_t, Milliseconds>> seen; ///< holder's renewal and when it was first seen
};

/// What this host shall serve.
struct WantedModel {
    ServiceId service; ///< by the placement rows
    ModelConfig model; ///< by the text, or the previous model while a rollout is stopped
    std::uint32_t maxOut { 1 }; ///< of the service

    bool operator==(const WantedModel&) const = default;
};

/// What a write of a permit row is for.
enum class PermitWrite : std::uint8_t {
    None, ///< the operation is a read
    Take, ///< takes this host's permit
    Renew, ///< keeps it
    Finish, ///< reports this host as done and gives the permit back
    Fail, ///< reports this host as failed; it keeps the permit until the previous model serves
    Release, ///< gives the permit back
};

/// This host's part in the rollout of its service.
struct RolloutState {
    bool holding { false }; ///< the row lists this incarnation as a holder, by the last answer
    ServiceId service; ///< whose permit is held
    PermitWrite write { PermitWrite::None }; ///< what the operation in progress is
    std::uint64_t operation { 0 }; ///< number of the last store operation; answers to others only update the view
    bool waiting { false }; ///< that operation's answer has not arrived
    Milliseconds nextStore { 0 }; ///< earliest time of the next store operation
    Milliseconds takenAt { 0 }; ///< when the permit was taken
    Milliseconds renewedAt { 0 }; ///< when the permit was last taken or renewed
    std::uint64_t renewal { 0 }; ///< renewal number last written
    std::optional<ModelConfig> watched; ///< model that was last in service
    Milliseconds servingSince { 0 }; ///< when `watched` came into service
    std::uint32_t failures { 0 }; ///< requests that failed with `watched`
    Milliseconds servedBefore { 0 }; ///< how long the model before it served
    std::uint32_t failuresBefore { 0 }; ///< requests that failed with the model before it
    Milliseconds failedSince { 0 }; ///< since when the load counts as failed, 0 when it does not
    std::string waitsFor; ///< why no permit was taken, for operators
};

/// Manifests, chunks, peers, placement and permits as seen by an agent.
struct WeightsState {
    std::map<ServiceId, PlacementView> placements; ///< engine services of the configuration
    std::map<ServiceId, PermitView> permits; ///< this host's service and those it depends on
    Generation generation; ///< configuration last taken over
    Milliseconds nextPlacementRead { 0 }; ///< when to read the next row
    std::uint32_t placementCursor { 0 }; ///< which row comes next
    std::optional<WantedModel> wanted; ///< what this host shall serve
    std::map<ManifestDigest, Download> downloads; ///< wanted, serving and previous versions only
    std::uint64_t candidatesVersion { 1 }; ///< rises when the hosts that take part in the swarm change
    Milliseconds nextRound { 0 }; ///< when peers' maps are next asked for
    double outsideRate { 0 }; ///< measured bytes a second of one fetch from outside the region, 0 before the first
    double regionRate { 0 }; ///< the same within the region
    double latencyBase { 0 }; ///< smoothed latency of live traffic while no chunks move, in ms
    Bytes paceInForce; ///< last SetChunkRate
    Milliseconds nextPace { 0 }; ///< when the pace is next considered
    RolloutState rollout; ///< permits
};

} // namespace hickory
