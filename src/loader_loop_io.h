#pragma once

#include "call_pool_io.h"
#include "fleet_view_func.h"
#include "front_io.h"
#include "peer_io.h"
#include "peer_state_type.h"
#include "platform_decode_func.h"
#include "settings_type.h"
#include "stage_reduce_func.h"

#include <asio.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickory {

constexpr const char* weightsPath = "/v1/weights/"; ///< between agents: VERSION/manifest or VERSION/INDEX
constexpr const char* forOtherDataCentre
    = "?other-place"; ///< appended by the one host that fetches a piece for its data centre

/// hickory-agent where entries reach engines directly: brings weights to the engine on this host, gives pieces to
/// other agents, and tells the entries what the engine reports. It asks entries what it needs to know of the fleet, so
/// that many agents cost the store nothing.
class LoaderLoop {
public:
    explicit LoaderLoop(LoaderSettings settings);
    ~LoaderLoop();
    LoaderLoop(const LoaderLoop&) = delete;
    LoaderLoop& operator=(const LoaderLoop&) = delete;

    /// Runs until the process was told to stop.
    /// @return exit code
    int run();

private:
    /// Pieces of one version in memory.
    struct HeldVersion {
        std::string manifestText; ///< as the origin gave it, empty until known
        std::vector<std::string> digests; ///< of the pieces
        std::vector<std::string> pieces; ///< bytes, empty when not held
    };
    /// A piece on its way to a peer.
    struct Upload {
        CallId call; ///< to answer
        std::string bytes; ///< of the piece
        std::size_t sent { 0 }; ///< bytes handed to the connection
    };
    struct CheckRun;
    /// What other agents were told of the pieces here.
    struct SentPieces {
        std::vector<PieceSet> pieces; ///< by version
        Milliseconds sentAt { 0 }; ///< when
    };

    void dispatch(const StageEvent& event);
    void apply(const StageEffect& effect);
    void fetchManifest(const RequestManifest& effect);
    void fetchPiece(const RequestPiece& effect);
    void stagePiece(const StagePiece& effect);
    void checkStagedPieces(const CheckStagedPieces& effect);
    void checkNext(const std::shared_ptr<CheckRun>& run);
    void sendLoadOrder(const SendLoadOrder& effect);
    bool keepPiece(WeightsVersion version, std::uint32_t index, const std::string& bytes);

    void onRequest(FrontRequest&& request);
    void onPieceAsked(CallId call, WeightsVersion version, std::uint32_t index, bool otherDataCentre);
    void upload(CallId call, const std::string& bytes, bool first);
    void uploadSlice();
    void onBeacon(const PeerBeacon& beacon, const std::string& ip);
    void askFleet();
    std::string nextEntry();

    void everyReport();
    void everyBeacon();
    void everyQuestion();
    void sendBeacon();
    void tellAgents(PeerBeacon beacon);
    std::vector<std::string> entryTargets() const;
    void armTimer(asio::steady_timer& timer, Milliseconds period, void (LoaderLoop::*handler)());

    LoaderSettings settings; ///< as read at start
    asio::io_context io; ///< the loop
    CallPool pool; ///< client of engine, origin, agents and entries
    FrontServer front; ///< server of other agents
    PeerSocket peerSocket; ///< beacons
    PeerTable peers; ///< entries
    StageState state; ///< all decisions
    std::uint64_t operatorsRevision { 0 }; ///< newest that an entry of this data centre told
    std::uint64_t fleetStamp { 0 }; ///< of the view of the fleet that is known, 0 before
    std::map<std::uint64_t, HeldVersion> held; ///< by version; the newest two are kept
    std::deque<Upload> uploads; ///< sent one after the other at a share of the link
    asio::steady_timer uploadTimer; ///< paces slices
    asio::steady_timer reportTimer; ///< reads the engine's report
    asio::steady_timer beaconTimer; ///< beacons
    asio::steady_timer questionTimer; ///< asks an entry for the view of the fleet
    asio::signal_set signals; ///< SIGTERM, SIGINT, SIGHUP
    Incarnation incarnation; ///< start of the process, Unix ms
    std::string entry; ///< control address of the entry that is asked for the view of the fleet
    SentPieces sentNear; ///< agents of this data centre
    SentPieces sentFar; ///< agents of the others
    bool askingFleet { false }; ///< a question is under way
    bool askingReport { false }; ///< a question is under way
};

} // namespace hickory
