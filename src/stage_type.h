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

/// Where a piece or a manifest is fetched.
struct StageSource {
    std::string ip; ///< agent of that host, empty for the origin
    bool operator==(const StageSource&) const = default;
};

// Events ----------------------------------------------------------------------------------------------------------

/// Time passed.
struct StageTick { };

/// Hosts of the service or declared weights changed.
struct FleetViewUpdated {
    FleetView view; ///< newest known
};

/// An entry in the same data centre answered a short question.
struct LinkMeasured {
    Milliseconds roundTrip { 0 }; ///< until its answer came
};

/// The engine answered or did not.
struct EngineReportRead {
    std::optional<EngineReport> report; ///< empty when it did not answer
};

/// A manifest arrived or not.
struct ManifestFetched {
    WeightsVersion version; ///< asked for
    std::uint32_t pieceCount { 0 }; ///< digests in the manifest, 0 when it did not arrive
    std::uint32_t pieceBytes { 0 }; ///< bytes of a piece
};

/// A piece arrived or not. Its digest was checked.
struct PieceFetched {
    WeightsVersion version; ///< asked for
    std::uint32_t index { 0 }; ///< of the piece
    StageSource source; ///< where it was asked for
    bool ok { false }; ///< it arrived and matches its digest
    std::string problem; ///< why it is not good, for the log
    bool sourceBusy { false }; ///< the source gives pieces to others first
};

/// Another agent told which pieces it holds.
struct PeerPiecesReceived {
    std::string ip; ///< of its host
    std::vector<PieceSet> sets; ///< by version
};

/// A piece was written beside the engine, or not.
struct PieceStaged {
    WeightsVersion version; ///< written
    std::uint32_t index { 0 }; ///< of the piece
    bool ok { false }; ///< the engine took it
};

/// What lies beside the engine was read back.
struct StagedPiecesChecked {
    WeightsVersion version; ///< compared with
    std::vector<std::uint32_t> bad; ///< pieces that are missing or differ
    bool failed { false }; ///< the engine did not answer
};

/// The engine answered an order, or did not.
struct LoadOrderAnswered {
    WeightsVersion version; ///< ordered
    std::uint16_t status { 0 }; ///< HTTP status, 0 without an answer
};

using StageEvent = std::variant<StageTick, FleetViewUpdated, LinkMeasured, EngineReportRead, ManifestFetched,
    PieceFetched, PeerPiecesReceived, PieceStaged, StagedPiecesChecked, LoadOrderAnswered>;

// Effects ---------------------------------------------------------------------------------------------------------

/// Fetch the digests of a version.
struct RequestManifest {
    WeightsVersion version; ///< wanted
    StageSource source; ///< where
};

/// Fetch a piece and check its digest.
struct RequestPiece {
    WeightsVersion version; ///< wanted
    std::uint32_t index { 0 }; ///< of the piece
    StageSource source; ///< where
};

/// Write a piece beside the engine.
struct StagePiece {
    WeightsVersion version; ///< held in memory
    std::uint32_t index { 0 }; ///< of the piece
};

/// Read back all pieces that lie beside the engine and compare them with their digests.
struct CheckStagedPieces {
    WeightsVersion version; ///< compared with
};

/// Tell the entries that an order comes.
struct AnnounceLoadOrder { };

/// Order the engine to load what lies beside it.
struct SendLoadOrder {
    WeightsVersion version; ///< to load
    std::uint64_t expectedOrders { 0 }; ///< orders that the engine has accepted so far
    bool abortRunning { false }; ///< break off what still runs: entries resume it at other engines
};

using StageEffect = std::variant<RequestManifest, RequestPiece, StagePiece, CheckStagedPieces, AnnounceLoadOrder,
    SendLoadOrder, LogLine, MetricSample>;

} // namespace hickory
