#pragma once

#include "fleet_view_type.h"
#include "log_type.h"
#include "peer_type.h"
#include "relay_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace hickory {

/// Where a piece or a manifest is fetched from: the agent of another host, or the origin.
struct StageSource {
    std::string ip; ///< address of the agent's host, empty for the origin
    bool operator==(const StageSource&) const = default;
};

// Events ----------------------------------------------------------------------------------------------------------

/// Periodic timer event; re-evaluates everything that depends on the time.
struct StageTick { };

/// A new fleet view arrived: hosts of the service or the declared weights may have changed.
struct FleetViewUpdated {
    FleetView view; ///< replaces the previous one
    /// Its declared weights were not declared yet at this moment; empty when that is unknown.
    std::optional<Milliseconds> declaredNotBefore;
};

/// An entry of the same data centre responded to a poll. The round trip shows how congested this host's link is.
struct LinkMeasured {
    Milliseconds roundTrip { 0 }; ///< from sending the poll to receiving its response
};

/// A poll of the engine's report ended.
struct EngineReportRead {
    std::optional<EngineReport> report; ///< empty when the engine did not respond or its report was unreadable
    Milliseconds requestedAt { 0 }; ///< when the poll was sent
};

/// A manifest request ended.
struct ManifestFetched {
    WeightsVersion version; ///< version of the requested manifest
    std::uint32_t pieceCount { 0 }; ///< number of digests in the manifest, 0 when the request failed
    std::uint32_t pieceBytes { 0 }; ///< size of a piece in bytes
};

/// A piece request ended.
struct PieceFetched {
    WeightsVersion version; ///< version that the piece belongs to
    std::uint32_t index { 0 }; ///< index of the piece within the version
    StageSource source; ///< where it was requested
    bool ok { false }; ///< it arrived and matches its digest
    std::string problem; ///< reason of a failure, for the log
    bool sourceBusy { false }; ///< the source refused for now because its upload queue is full
};

/// The agent of another host announced which pieces it holds.
struct PeerPiecesReceived {
    std::string ip; ///< address of that host
    std::vector<PieceSet> sets; ///< one for each version
    bool wantsPieces { false }; ///< it asks for what this agent holds
};

/// Writing a piece to the engine's staging area ended.
struct PieceStaged {
    WeightsVersion version; ///< version that the piece belongs to
    std::uint32_t index { 0 }; ///< index of the piece within the version
    bool ok { false }; ///< the engine accepted it
    bool inMemory { true }; ///< this process still holds its bytes
};

/// The staged pieces were read back from the engine and compared with their digests.
struct StagedPiecesChecked {
    WeightsVersion version; ///< version whose digests were used
    std::uint32_t round { 0 }; ///< of the CheckStagedPieces that it answers
    std::vector<std::uint32_t> bad; ///< indices of pieces that are missing or do not match
    bool failed { false }; ///< the check was cut short: the engine did not respond, or the version is no longer held
};

/// The pieces that were staged before this process started were read.
struct StagedPiecesInspected {
    WeightsVersion version; ///< version whose digests were used
    bool whole { false }; ///< the engine holds as many pieces as the version has
    bool matches { false }; ///< all of them are of this version
    bool failed { false }; ///< the engine did not respond, or the version is no longer held
};

/// A load order to the engine ended.
struct LoadOrderAnswered {
    WeightsVersion version; ///< version that was ordered
    std::uint16_t status { 0 }; ///< HTTP status, 0 without a response
    bool sent { true }; ///< false if no byte of it left this process
};

using StageEvent = std::variant<StageTick, FleetViewUpdated, LinkMeasured, EngineReportRead, ManifestFetched,
    PieceFetched, PeerPiecesReceived, PieceStaged, StagedPiecesChecked, StagedPiecesInspected, LoadOrderAnswered>;

// Effects ---------------------------------------------------------------------------------------------------------

/// Fetch the manifest of a version, which lists the digests of its pieces. Ends with ManifestFetched.
struct RequestManifest {
    WeightsVersion version; ///< version of the manifest
    StageSource source; ///< where to fetch it
};

/// Fetch a piece and check its digest. Ends with PieceFetched.
struct RequestPiece {
    WeightsVersion version; ///< version that the piece belongs to
    std::uint32_t index { 0 }; ///< index of the piece within the version
    StageSource source; ///< where to fetch it
};

/// Write a piece that is held in memory to the engine's staging area. Ends with PieceStaged.
struct StagePiece {
    WeightsVersion version; ///< version that the piece belongs to
    std::uint32_t index { 0 }; ///< index of the piece within the version
};

/// Read back all staged pieces and compare them with their digests. Ends with StagedPiecesChecked.
struct CheckStagedPieces {
    WeightsVersion version; ///< version whose digests are used
    std::uint32_t round { 0 }; ///< counts read-backs; one in progress is of no use any more
};

/// Read the staged pieces up to the first one that is missing. Ends with StagedPiecesInspected.
struct InspectStagedPieces {
    WeightsVersion version; ///< version whose digests are used
};

/// Send a beacon at once: entries stop sending new work before the load order, and move what the load waits for.
struct AnnounceLoadOrder { };

/// Poll the engine's report at once. Ends with EngineReportRead.
struct PollReport { };

/// Order the engine to load the staged pieces after the requests that run there. Ends with LoadOrderAnswered.
struct SendLoadOrder {
    WeightsVersion version; ///< version to load
    std::uint64_t expectedOrders { 0 }; ///< orders that the engine has accepted so far, from its last report
};

using StageEffect = std::variant<RequestManifest, RequestPiece, StagePiece, CheckStagedPieces, InspectStagedPieces,
    AnnounceLoadOrder, PollReport, SendLoadOrder, LogLine, MetricSample>;

} // namespace hickory
