#pragma once

#include "call_pool_io.h"
#include "file_watch_func.h"
#include "front_io.h"
#include "peer_io.h"
#include "peer_state_type.h"
#include "platform_table_io.h"
#include "process_loop_io.h"
#include "relay_reduce_func.h"
#include "settings_type.h"

#include <asio.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace hickory {

/// hickory-entry where it reaches upstreams directly: one Asio thread that turns bytes into events of the relay's
/// reducer and its effects into bytes.
class RelayLoop {
public:
    /// @param settingsPath read again on SIGHUP
    RelayLoop(RelaySettings settings, std::string settingsPath);
    ~RelayLoop();
    RelayLoop(const RelayLoop&) = delete;
    RelayLoop& operator=(const RelayLoop&) = delete;

    /// Runs until the process was told to stop and has finished what it had begun.
    /// @return exit code
    int run();

private:
    struct Call;
    struct UpstreamCall;
    /// What an agent of this data centre told last.
    struct KnownEngine {
        EngineReported report; ///< as told
        Milliseconds receivedAt { 0 }; ///< when
        bool changed { true }; ///< not told to other data centres since
    };

    bool open();
    void dispatch(const RelayEvent& event);
    void apply(const RelayEffect& effect);
    void send(const SendToUpstream& effect);
    void forwardResponse(const ForwardResponse& effect);
    void refuse(const RefuseCall& effect);

    void onRequest(FrontRequest&& request);
    void onLookup(const FrontRequest& request);
    void onControl(const FrontRequest& request);
    void onFleetView(const FrontRequest& request);
    void onCallerGone(CallId call);
    void sendToOtherDataCentres(PeerBeacon beacon, const std::vector<std::string>& remoteTargets, Milliseconds now);
    void onBeacon(const PeerBeacon& beacon, const std::string& ip);
    void onOperatorRows(const std::vector<platform::TableRow>& changed);
    void onUpstreamRows(const std::vector<platform::TableRow>& changed);
    void onConfirmed();
    void publishUpstreams();
    bool followsStore(Milliseconds now) const;
    void fetchPeerTables(const PeerInfo& peer, Milliseconds now);
    void announceOperatorsRevision();
    PeerBeacon makeBeacon() const;
    std::vector<std::string> agentTargets() const;

    void onTick();
    void sendBeacons();
    void sweep();
    void refreshTables();
    void startDrain();
    void continueDrain();
    void reload();
    bool ready() const;
    bool isConfigTrusted() const;
    PeerInfo self() const;
    void armTimer(asio::steady_timer& timer, Milliseconds period, void (RelayLoop::*handler)());

    RelaySettings settings; ///< as read at start or reload
    std::string settingsPath; ///< read again on SIGHUP
    FileWatch settingsFile; ///< which may change without a signal
    asio::io_context io; ///< the loop
    CallPool pool; ///< client of upstreams, store and peers
    FrontServer front; ///< server of callers, checks, lookups and peers
    PeerSocket peerSocket; ///< beacons
    PeerTable peers; ///< other processes
    platform::TableFollower operatorRows; ///< configuration and declared weights
    platform::TableFollower upstreamRows; ///< list of upstreams
    RelayState state; ///< all decisions
    std::unordered_map<CallId, std::shared_ptr<Call>> calls; ///< bytes of requests without a complete answer
    std::map<std::string, UpstreamEntry> upstreams; ///< decoded rows by key
    std::map<std::string, Milliseconds>
        expiredRows; ///< rows that vanished while the store was away, and until when to keep
    Milliseconds relistingUntil { 0 }; ///< the list may still lack live upstreams after an outage
    asio::steady_timer tickTimer; ///< time for the reducer
    asio::steady_timer beaconTimer; ///< beacons
    asio::steady_timer sweepTimer; ///< sweeps
    asio::steady_timer tablesTimer; ///< questions to peers for their copies of the store's tables
    asio::signal_set signals; ///< SIGTERM, SIGINT and SIGHUP
    std::uint16_t readinessPort { 0 }; ///< local ports tell what a request is for
    std::uint16_t lookupPort { 0 }; ///< likewise
    std::uint16_t controlPort { 0 }; ///< likewise
    Incarnation incarnation; ///< start of the process, Unix ms
    std::uint32_t ticks { 0 }; ///< so far
    std::uint64_t operatorsRevision { 0 }; ///< of the newest row that operators wrote
    std::uint64_t announcedRevision { 0 }; ///< of these what peers were told at once
    std::uint32_t beaconsSent { 0 }; ///< sent so far
    std::uint32_t summariesSent { 0 }; ///< sent to other data centres so far
    Milliseconds remoteBeaconAt { 0 }; ///< when other data centres were told last
    bool engineChanged { false }; ///< an engine says something new, which other data centres should know at once
    bool advertisedReady { false }; ///< what they were told
    std::set<DataCentreId> advertisedTo; ///< those that were told of requests at their upstreams
    std::map<std::string, KnownEngine> engines; ///< of agents in this data centre, by address
    Milliseconds drainingSince { 0 }; ///< when SIGTERM came, 0 before
    bool peerFetchPending { false }; ///< a question to a peer is under way
    int exitCode { 0 }; ///< of run()
};

} // namespace hickory
