#pragma once

#include "stage_type.h"
#include "table/stage_limits.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace hickory {

/// Settings of an agent that fetches, stages and loads weights.
struct StageOptions {
    HostId host; ///< name of this host
    std::string ip; ///< address of this host, by which other agents know it
    DataCentreId dataCentre; ///< data centre of this host
    ServiceId service; ///< service that the engine belongs to
    Milliseconds maxWeightsDelay { 8000 }; ///< declared weights must be in service within this time
    std::uint64_t seed { 1 }; ///< seed of random choices
};

/// Progress of a piece.
enum class PieceStep : std::uint8_t {
    Missing, ///< neither held nor requested
    Fetching, ///< requested from a source
    Held, ///< in memory, digest checked
    Staging, ///< being written to the engine's staging area
    Staged, ///< written to the engine's staging area
};

/// One piece of a version.
struct PieceState {
    PieceStep step { PieceStep::Missing };
    bool fromOrigin { false }; ///< last requested from the origin
    std::string source; ///< host it was last requested from, empty for the origin
    Milliseconds remoteSeenAt { 0 }; ///< when a host of another data centre was first seen to hold it, 0 before
    bool shared { false }; ///< requested on behalf of other hosts as well, see isShared()
    std::uint32_t failures { 0 }; ///< failed requests
    Milliseconds retryAt { 0 }; ///< not requested again before this time; set after a failure
};

/// Progress of the load order for a version.
enum class OrderStep : std::uint8_t {
    None, ///< no load order is in progress
    Checking, ///< staged pieces are being read back
    Announced, ///< entries were informed and the engine drains
    Rechecking, ///< as Announced, and staged pieces are read back again because the last check is too old
    Confirming, ///< the engine is asked whether it is still the process whose staged pieces were read back
    Sent, ///< the order was sent to the engine, which has not answered yet
    Unanswered, ///< no answer came, and no report shows yet whether the engine accepted the order
    Accepted, ///< the engine accepted the order
};

/// What a read-back of staged pieces is for.
enum class CheckPurpose : std::uint8_t {
    None, ///< none is in progress, or its result is no longer of use
    Offer, ///< to offer other agents what was staged before this process started
    Order, ///< to order the engine to load the pieces
};

/// The last read-back of a version's staged pieces.
struct StageCheck {
    CheckPurpose purpose { CheckPurpose::None };
    std::uint32_t round { 0 }; ///< tells its result from that of an earlier one
    Milliseconds startedAt { 0 };
};

/// When a host loads a version in a paced rollout, see makeLoadTurn().
struct LoadTurn {
    Milliseconds at { 0 }; ///< preparing the load begins then
    std::int64_t before { 0 }; ///< hosts of the service that come before this one
    std::int64_t hosts { 1 }; ///< hosts of the service, this one included
    std::int64_t beforeHere { 0 }; ///< hosts of this data centre that come before this one
    Milliseconds end { 0 }; ///< latest safe beginning of a load
};

/// Pieces that another agent announced.
struct PeerHoldings {
    Milliseconds receivedAt; ///< arrival of its last announcement
    std::vector<PieceSet> sets; ///< one for each version
};

/// A version that the engine was ordered to load, while it is not known whether it did.
struct OrderedVersion {
    WeightsVersion version;
    Milliseconds boundFrom { 0 }; ///< its bound counts from then
};

/// A load order that the engine may accept now or later, see stage_open_order_func.h.
struct OpenOrder {
    WeightsVersion version; ///< the staged version, which it loads; 0 when a former process may have sent it
    std::uint64_t expectedOrders { 0 }; ///< the engine accepts it only while it has accepted so many
    std::int64_t processStartedAt { 0 }; ///< start of the engine that it was sent to, Unix ms
    bool repeated { false }; ///< an earlier order with the same count is open too
    std::optional<Milliseconds> unansweredSince; ///< when its answer was given up, empty until then
    bool outlived { false }; ///< the process reported after that, so no later process can have received the order
};

/// What is known of the staging area that a former process of this agent left behind. If it holds a whole version, that
/// process may have ordered it.
enum class FormerStaging : std::uint8_t {
    Unknown, ///< the engine has not reported yet
    ToInspect, ///< it is read once the manifest of the wanted version is known
    Inspecting, ///< it is being read
    OtherVersion, ///< it holds a whole version, not the wanted one
    Settled, ///< the order was settled or adopted, or there was none
};

/// A version that is being brought into service.
struct StageJob {
    WeightsVersion version;
    Milliseconds knownSince { 0 }; ///< when this agent learned that the version was declared
    Milliseconds declaredSince { 0 }; ///< earliest moment at which it may have been declared, knownSince when unknown
    /// Its bound counts from then: declaredSince, or that of an older version which is skipped in favour of this one.
    Milliseconds boundFrom { 0 };
    /// The version before it, ordered last: its bound applies until the engine reports that it holds that version.
    std::optional<OrderedVersion> ordered;
    Milliseconds previousEnd { 0 }; ///< safeLoadEnd() of the paced rollout that it overtook, 0 without one
    bool loadsAtOnce { false }; ///< this host's turn came already, for a version that it skipped
    std::optional<LoadTurn> turn; ///< empty until all pieces are staged, and where the rollout is not paced
    bool manifestKnown { false }; ///< the digests of its pieces are known
    bool readBackEnded { false }; ///< pieces that were staged before this process started were read back
    Milliseconds readBackAt { 0 }; ///< they are not read back before this time
    bool manifestRequested { false }; ///< a manifest request is in flight
    std::uint32_t manifestFailures { 0 }; ///< failed manifest requests
    Milliseconds manifestRetryAt { 0 }; ///< the manifest is not requested again before this time
    std::uint32_t pieceBytes { 0 }; ///< size of a piece in bytes, 0 until the manifest is known
    std::optional<bool> paced; ///< isPaced() when the manifest became known, empty before
    std::vector<PieceState> pieces; ///< empty until the manifest is known
    StageCheck check;
    OrderStep order { OrderStep::None };
    Milliseconds orderAt { 0 }; ///< when the current order step began
    Milliseconds checkedAt { 0 }; ///< start of the last read-back that found all staged pieces good
};

/// What follows from the list of hosts of the service.
struct StageFleet {
    std::vector<std::string> all; ///< ips of all hosts, in the order of the list
    std::vector<std::string> here; ///< of those in this data centre
    std::map<DataCentreId, std::vector<std::string>> elsewhere; ///< of those in each other data centre
    std::unordered_map<std::string, DataCentreId> dataCentres; ///< of each host by ip
    std::vector<std::string> partners; ///< hosts of this data centre that this one exchanges announcements with
};

/// Announcements that were sent and requested.
struct PieceExchange {
    std::vector<PieceSet> announced; ///< as partners were last told
    Milliseconds announcedAt { -1000000 }; ///< when they were; starts far in the past
    Milliseconds askedAt { -1000000 }; ///< when partners were last asked for what they hold; starts far in the past
    std::uint64_t requests { 0 }; ///< how often they were asked
    std::map<std::string, Milliseconds> toldAt; ///< last announcement to each host
    std::set<std::string> requestedBy; ///< hosts that asked and have not been answered
    std::vector<PieceSet> fromOrigin; ///< pieces from the origin as last announced
    Milliseconds fromOriginChangedAt { -1000000 }; ///< when these changed; starts far in the past
    Milliseconds fromOriginAnnouncedAt { -1000000 }; ///< when they were last announced; starts far in the past
};

/// Complete input of an agent's decisions.
struct StageState {
    StageOptions options; ///< from the settings
    ModelId model; ///< model that the engine serves, empty until known
    std::string originAddress; ///< "ip:port" of the origin
    double originMbps { 0 }; ///< bandwidth of the origin's link in Mbit/s, 0 when unknown
    std::vector<WeightsPeer> peers; ///< all hosts of the service, this one included, sorted by ip
    StageFleet fleet; ///< computed from peers
    PieceExchange exchange; ///< announcements to other agents
    std::map<std::string, PeerHoldings> peerHoldings; ///< announcements of other agents by ip
    std::vector<StageJob> jobs; ///< at most two: the version to load first, and one declared after it
    std::optional<EngineReport> report; ///< empty when the last poll of the engine failed
    std::int64_t processStartedAt { 0 }; ///< start of the engine that holds the staged pieces, Unix ms, 0 before
    std::size_t fetchWindow { maxPiecesInFlight }; ///< piece requests that may be in flight, adapted to the link
    std::map<WeightsVersion, Milliseconds> lateWrites; ///< last write of a version that ended without success
    std::size_t writesInFlight { 0 }; ///< pieces of any version that are being written to the staging area
    std::uint32_t checkRounds { 0 }; ///< read-backs started so far
    FormerStaging formerStaging { FormerStaging::Unknown };
    Milliseconds inspectAt { 0 }; ///< the staging area is not read before this time
    std::optional<OpenOrder> openOrder; ///< while set, only pieces of its version may be staged
    bool orderUnconfirmed { false }; ///< an order was accepted and no report has arrived since
    std::mt19937_64 random { 1 }; ///< seeded from the options
};

} // namespace hickory
