#pragma once

#include "call_pool_io.h"
#include "fleet_view_func.h"
#include "front_io.h"
#include "peer_io.h"
#include "peer_state_type.h"
#include "platform_decode_func.h"
#include "settings_type.h"
#include "stage_partner_func.h"
#include "stage_reduce_func.h"

#include <asio.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickory {

/// Path of weights at an agent, followed by VERSION/manifest or VERSION/INDEX.
constexpr const char* peerWeightsPath = "/v1/weights/";
/// Query of a piece request from the designated host of another data centre. Such requests are served first.
constexpr const char* otherDataCentreQuery = "?other-place";

/// hickory-agent in loader mode, i.e. with a [loader] table in its settings, for a platform where entries reach engines
/// directly. AgentLoop is the other mode. A loader brings weights to the engine on this host,
/// offers their pieces to other agents and forwards the engine's reports to the entries. It polls an entry for the
/// fleet view, so that the number of agents adds no load to the store.
class LoaderLoop {
public:
    explicit LoaderLoop(LoaderSettings settings);
    ~LoaderLoop();
    LoaderLoop(const LoaderLoop&) = delete;
    LoaderLoop& operator=(const LoaderLoop&) = delete;

    /// Runs until SIGTERM or SIGINT.
    /// @return exit code of the process
    int run();

private:
    /// Manifest and pieces of one version in memory.
    struct HeldVersion {
        std::string manifestText; ///< as the origin sent it, empty until known
        std::vector<std::string> digests; ///< SHA-256 of each piece as hexadecimal text
        std::vector<std::string> pieces; ///< bytes of each piece, empty when it is not held
    };
    /// A piece that is being sent to another agent, or queued for it.
    struct Upload {
        CallId call; ///< request that it answers
        std::string bytes; ///< content of the whole piece
        std::size_t sent { 0 }; ///< bytes already passed to the connection
    };
    struct StagedRead;

    /// Passes an event to the reducer and applies the resulting effects.
    void dispatch(const StageEvent& event);
    void apply(const StageEffect& effect);
    void fetchManifest(const RequestManifest& effect);
    void fetchPiece(const RequestPiece& effect);
    void stagePiece(const StagePiece& effect);
    void checkStagedPieces(const CheckStagedPieces& effect);
    void inspectStagedPieces(const InspectStagedPieces& effect);
    /// Reads back the next piece of a check, or ends the check after the last one.
    void readNextStaged(const std::shared_ptr<StagedRead>& read);
    void sendLoadOrder(const SendLoadOrder& effect);
    /// Keeps a piece in memory if it matches its digest.
    /// @return whether it was kept
    bool storeVerifiedPiece(WeightsVersion version, std::uint32_t index, const std::string& bytes);

    /// Handles an HTTP request: metrics, or a manifest or piece for another agent.
    void onRequest(FrontRequest&& request);
    /// @param otherDataCentre the piece is fetched for another data centre, so the request is never refused as busy
    void onPieceRequest(CallId call, WeightsVersion version, std::uint32_t index, bool otherDataCentre);
    /// Queues a piece for sending.
    /// @param prioritised sends it before all others except the one that is being sent
    void upload(CallId call, const std::string& bytes, bool prioritised);
    /// Sends the next bytes of the first upload and schedules the following slice.
    void uploadSlice();
    /// @param ip address that the beacon came from
    void onBeacon(const PeerBeacon& beacon, const std::string& ip);
    /// Polls an entry for the fleet view, unless a poll is in flight.
    void requestFleetView();
    /// Chooses a random live entry to poll, of the same data centre where there is one. Does not choose the current
    /// entry again if there is another.
    /// @return its control address, empty when no entry or seed is known
    std::string chooseEntry();

    void onReportTimer();
    /// Polls the engine's report.
    /// @param ended called when the poll has ended, before the event
    void pollReport(std::function<void()> ended);
    void onBeaconTimer();
    void onFleetPollTimer();
    /// @return a beacon without report and pieces
    PeerBeacon makeBeacon() const;
    /// Sends the engine's report to entries and announces pieces to other agents.
    void sendBeacon();
    /// Sends the engine's report to this agent's home entries: to the first one, and to the others now and then or when
    /// more than the load changed.
    void sendReport(PeerBeacon beacon);
    /// Sends other agents beacons with this agent's pieces, as planned.
    /// @param beacon fields common to all
    void announcePieces(PeerBeacon beacon);
    /// Calls the handler once after the period.
    void armTimer(asio::steady_timer& timer, Milliseconds period, void (LoaderLoop::*handler)());

    LoaderSettings settings; ///< as read at start; SIGHUP changes nothing
    asio::io_context io; ///< event loop that all members run on
    CallPool pool; ///< HTTP client for the engine, the origin, other agents and entries
    FrontServer front; ///< HTTP server for other agents and for metrics
    PeerSocket peerSocket; ///< UDP socket for beacons
    PeerTable peers; ///< entries whose beacons were received
    StageState state; ///< state of the reducer
    StoreVersion operatorTable; ///< newest version in a beacon of an entry of this data centre
    std::uint64_t fleetStamp { 0 }; ///< stamp of the last fleet view, 0 before the first
    std::map<std::uint64_t, HeldVersion> held; ///< by version; see versionsToDrop()
    std::deque<Upload> uploads; ///< sent one after the other, at uploadLinkShare() of the link
    asio::steady_timer uploadTimer; ///< paces upload slices
    asio::steady_timer reportTimer; ///< polls the engine's report
    asio::steady_timer beaconTimer;
    asio::steady_timer fleetPollTimer; ///< polls an entry for the fleet view
    asio::signal_set signals; ///< SIGTERM, SIGINT, SIGHUP
    Incarnation incarnation; ///< start of the process, Unix ms
    std::string entry; ///< control address of the entry to poll for the fleet view, empty before the first
    std::optional<EngineReported> lastReported; ///< last report that all home entries were sent
    bool statesSlowdown { false }; ///< the last report of the engine came with a slowdown that varies
    std::uint32_t reportsSent { 0 }; ///< beacons with a report since start
    std::vector<HostId> homes; ///< entries that the last report went to
    std::uint32_t reportSequence { 0 }; ///< reports read, and announcements of load orders, since start
    Milliseconds reportReadAt { 0 }; ///< when the last one was read
    bool fleetViewRequested { false }; ///< a poll of an entry is in flight
    bool reportRequested { false }; ///< a poll of the engine is in flight
};

} // namespace hickory
