#pragma once

#include "stage_type.h"
#include "table/stage_limits.h"

#include <random>

namespace hickory {

/// Settings of an agent's decisions on weights.
struct StageOptions {
    HostId host; ///< this host
    std::string ip; ///< of this host
    DataCentreId dataCentre; ///< data centre
    ServiceId service; ///< of the engine
    Milliseconds maxWeightsDelay { 8000 }; ///< declared weights must be in service after this time
    std::uint64_t seed { 1 }; ///< of random choices
};

/// How far a piece has come.
enum class PieceStep : std::uint8_t {
    Missing, ///< not here
    Fetching, ///< asked for
    Held, ///< in memory, digest checked
    Staging, ///< being written beside the engine
    Staged, ///< written beside the engine
};

/// One piece of the wanted version.
struct PieceState {
    PieceStep step { PieceStep::Missing }; ///< how far it has come
    bool fromOrigin { false }; ///< asked for at the origin
    std::string source; ///< host that is asked, empty for the origin
    Milliseconds remoteSeenAt { 0 }; ///< when a host of another place first held it, 0 before
    bool shared { false }; ///< asked for on behalf of other hosts, too
    std::uint32_t failures { 0 }; ///< sources that did not give it
    Milliseconds retryAt { 0 }; ///< not asked for before
};

/// What an order to the engine waits for.
enum class OrderStep : std::uint8_t {
    None, ///< pieces are missing, or the engine holds the version
    Checking, ///< what lies beside the engine is read back
    Announced, ///< entries were told; the order follows
    Sent, ///< the engine was ordered
};

/// What another agent holds, and when it told.
struct PeerHoldings {
    Milliseconds receivedAt; ///< of its last beacon
    std::vector<PieceSet> sets; ///< by version
};

/// A version on its way into service.
struct StageJob {
    WeightsVersion version; ///< to bring into service
    Milliseconds since { 0 }; ///< when it became known
    bool manifestKnown { false }; ///< its digests are here
    bool readBack { false }; ///< pieces that lay beside an engine that holds the version were read
    bool manifestAsked { false }; ///< a question for them is under way
    std::uint32_t manifestFailures { 0 }; ///< sources that did not give them
    Milliseconds manifestRetryAt { 0 }; ///< not asked for before
    std::uint32_t pieceBytes { 0 }; ///< bytes of a piece
    std::vector<PieceState> pieces; ///< empty until the manifest is known
    OrderStep order { OrderStep::None }; ///< how far the order has come
    Milliseconds orderAt { 0 }; ///< when its step began
};

/// All that an agent decides on.
struct StageState {
    StageOptions options; ///< from settings
    ModelId model; ///< served by the engine, empty until known
    std::string originAddress; ///< "ip:port" of the origin
    double originMbps { 0 }; ///< its link, 0 when not known
    std::vector<StagePeer> peers; ///< all hosts of the service, this one included, sorted by ip
    std::map<std::string, PeerHoldings> peerHoldings; ///< other agents by ip
    std::vector<StageJob> jobs; ///< the version to load first, then perhaps one declared after it
    std::optional<EngineReport> report; ///< last one
    std::int64_t processStartedAt { 0 }; ///< of the engine that the pieces were staged for
    std::size_t window { maxPiecesInFlight }; ///< pieces that may be asked for at once
    bool orderUnconfirmed { false }; ///< an order was accepted and no report came since
    std::mt19937_64 random { 1 }; ///< seeded from the options
};

} // namespace hickory
