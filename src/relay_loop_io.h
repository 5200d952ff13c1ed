#pragma once

#include "answer_memory_func.h"
#include "beacon_schedule_func.h"
#include "call_pool_io.h"
#include "engine_news_func.h"
#include "file_watch_func.h"
#include "front_io.h"
#include "peer_io.h"
#include "peer_state_type.h"
#include "peer_table_func.h"
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

/// The relay mode of hickory-entry, in which it sends requests to upstreams directly: one Asio thread that decodes
/// bytes into events of the relay's reducer and carries out the reducer's effects.
class RelayLoop {
public:
    /// @param settingsPath file that is read again on SIGHUP or when it changes
    RelayLoop(RelaySettings settings, std::string settingsPath);
    ~RelayLoop();
    RelayLoop(const RelayLoop&) = delete;
    RelayLoop& operator=(const RelayLoop&) = delete;

    /// Runs until the process was told to stop and its drain has ended.
    /// @return exit code
    int run();

private:
    struct Call;
    struct UpstreamCall;

    /// Derives from the settings what callers and answers may hold.
    void applyMemoryLimits();
    /// Opens all listening sockets.
    /// @return whether all could be opened; failures are logged
    bool open();
    /// Applies an event to the state and carries out its effects.
    void dispatch(const RelayEvent& event);
    void apply(const RelayEffect& effect);
    void probe(const ProbeUpstream& effect);
    void send(const SendToUpstream& effect);
    void forwardResponse(const ForwardResponse& effect);
    void refuse(const RefuseCall& effect);
    /// @return whether a send is the one whose response its caller gets
    bool isInFlight(CallId call, SendId send) const;
    /// Removes a call and its sends.
    void forget(CallId call);

    /// Handles a request on any port: a caller's request, a readiness check, a lookup or a control request.
    void onRequest(FrontRequest&& request);
    /// Answers a caller that asks for the addresses of ready entries.
    void onLookup(const FrontRequest& request);
    /// Answers a request for metrics, or of an agent or another entry.
    void onControl(const FrontRequest& request);
    /// Answers an agent that asks for its service's view of the fleet.
    void onFleetView(const FrontRequest& request);
    void onCallerDisconnected(CallId call);
    void onConnectionClosed(const ClosedConnection& closed);
    /// Sends other data centres this one's summary and crash news, if this entry represents it, and the load of this
    /// entry at their upstreams.
    /// @param beacon fields common to all
    /// @param remoteTargets ips of all known entries there
    void sendToOtherDataCentres(PeerBeacon beacon, const std::vector<std::string>& remoteTargets, Milliseconds now);
    void onBeacon(const PeerBeacon& beacon, const std::string& ip);
    void onOperatorRows(const std::vector<platform::TableRow>& changed);
    /// Passes the evacuated data centres to the reducer if the copy of the operators' table names others than before.
    void updateEvacuations();
    void onUpstreamRows(const std::vector<platform::TableRow>& changed);
    /// Called when the store came back from an older copy.
    void onRestored(const char* table, const StoreVersion& from, const StoreVersion& to);
    /// Puts a configuration in force if it replaces the present one.
    /// @param text as operators wrote it
    void useConfig(const RelayConfig& config, const std::string& text, const WrittenEra& writtenIn);
    /// @return the configuration in force, if the store does not hold it any more
    std::optional<LostConfig> lostConfig() const;
    /// Called when the store or a peer confirmed that the configuration is current.
    void onConfirmed();
    /// Fetches the configuration of another entry if it was written later than the one in force.
    void compareConfig(const PeerBeacon& beacon, Milliseconds now);
    /// From now on confirmations of the copy of the store count.
    void endConfigComparison();
    /// Passes the current list of upstreams to the reducer.
    /// @param rewritten upstreams whose rows were written since the last list
    /// @param writtenAfter as in UpstreamsUpdated
    void publishUpstreams(std::set<UpstreamId> rewritten, std::optional<Milliseconds> writtenAfter);
    /// @return whether this entry is one of those that poll the store on behalf of all
    bool pollsStore(Milliseconds now) const;
    /// Requests a peer's copies of the store's tables, unless such a request is pending.
    void fetchPeerTables(const PeerInfo& peer, Milliseconds now);
    /// @param large as in PeerVersions
    void requestPeerTables(const PeerInfo& peer, bool large, Milliseconds now);
    void adoptPeerTables(const PeerInfo& peer, PeerTables tables);
    /// Sends beacons at once after operators changed something, so that peers fetch it without waiting.
    void announceOperatorTable();
    /// Passes reports of engines to the reducer, and on to the entries of this data centre at once if an engine changed
    /// in more than load.
    /// @param fromAgent they came from the agent itself
    void useEngineReports(EngineNews& news, const std::vector<EngineReported>& reports, bool fromAgent);
    /// Sends the entries of this data centre a beacon with the requests in flight and the reports of agents.
    void sendToDataCentre(PeerBeacon beacon);
    /// Sends beacons with crash news at once. If it did so just before, the next regular beacons carry them.
    /// @param learned as in AnnounceCrashNews
    void announceCrashNews(bool learned);
    /// @return a beacon without loads
    PeerBeacon makeBeacon() const;
    /// @return ips of the agents that report to this entry
    std::vector<std::string> agentTargets() const;

    void onTick();
    void sendBeacons();
    /// Removes idle connections, silent peers and expired rows, and reloads settings that changed.
    void sweep();
    /// Starts or stops polling the store, and copies the tables from a peer while the store is not polled or cannot be
    /// reached.
    void refreshTables();
    void startDrain();
    /// Ends the process once the drain is complete or the grace period nearly over.
    void continueDrain();
    void reload();
    /// @return whether callers may be sent here
    bool ready() const;
    /// @return whether the configuration was confirmed recently enough to admit requests with a key
    bool isConfigTrusted() const;
    /// @return this process as described to its peers
    PeerInfo self() const;
    void armTimer(asio::steady_timer& timer, Milliseconds period, void (RelayLoop::*handler)());

    RelaySettings settings; ///< as read at start or on the last reload
    std::string settingsPath; ///< file that settings were read from
    FileWatch settingsFile; ///< detects changes of that file
    AnswerMemory answerMemory; ///< bytes of answers that are not forwarded yet
    asio::io_context io; ///< runs all of the loop on one thread
    CallPool pool; ///< HTTP client for upstreams, the store and peers
    FrontServer front; ///< HTTP server for callers, readiness checks, lookups and peers
    PeerSocket peerSocket; ///< sends and receives beacons
    PeerTable peers; ///< other entries and agents
    platform::TableFollower operatorRows; ///< local copy of the configuration and the declared weights
    platform::TableFollower upstreamRows; ///< local copy of the list of upstreams
    RelayState state; ///< state of the reducer
    std::unordered_map<CallId, std::shared_ptr<Call>> calls; ///< requests without a complete response
    std::map<std::string, UpstreamEntry> upstreams; ///< decoded rows by key
    /// Last report of an upstream, kept for a while after it left the list: a restored store may list it again.
    struct KnownReport {
        UpstreamReportOrder order;
        Milliseconds seenAt { 0 };
    };
    std::map<std::string, KnownReport> upstreamReports; ///< by key of the row
    bool upstreamsRestored { false }; ///< the next changes of the list come from a restored store
    RowHistory configHistory; ///< of the configuration's row
    std::string configText; ///< configuration in force as operators wrote it, empty before the first
    /// Another entry was heard whose configuration is not later, or none was heard in time. Until then the
    /// configuration counts as unconfirmed: a restored store may have lost the one that the fleet has in force.
    bool configCompared { false };
    Milliseconds laterConfigAskedAt { -1000000 }; ///< last request for a later configuration, starts far in the past
    std::map<std::string, Milliseconds> expiredRows; ///< rows that expired in an outage, and when to drop them
    Milliseconds relistingUntil { 0 }; ///< until then the list may lack live upstreams after an outage
    asio::steady_timer tickTimer; ///< calls onTick()
    asio::steady_timer beaconTimer; ///< calls sendBeacons()
    asio::steady_timer sweepTimer; ///< calls sweep(); delays the end of a drain
    asio::steady_timer tablesTimer; ///< calls refreshTables()
    asio::signal_set signals; ///< SIGTERM, SIGINT and SIGHUP
    std::uint16_t readinessPort { 0 }; ///< local port of readiness checks
    std::uint16_t lookupPort { 0 }; ///< local port of lookups
    std::uint16_t controlPort { 0 }; ///< local port of control requests
    Incarnation incarnation; ///< start of the process, Unix ms
    std::uint32_t ticks { 0 }; ///< ticks since start
    StoreVersion operatorTable; ///< newest row that operators wrote
    StoreVersion announcedOperatorTable; ///< operatorTable when announceOperatorTable() last sent it
    std::uint32_t beaconsSent { 0 }; ///< rounds of beacons since start
    std::uint32_t summariesSent { 0 }; ///< summaries sent to other data centres since start
    Milliseconds remoteBeaconAt { 0 }; ///< last beacons to other data centres
    Milliseconds crashNewsAnnouncedAt { 0 }; ///< last call of announceCrashNews() that sent beacons
    bool crashNewsPending { false }; ///< the next regular beacons to other data centres are sent without delay
    bool advertisedReady { false }; ///< readiness last sent to other data centres
    std::set<DataCentreId> advertisedTo; ///< data centres whose entries were last sent loads above zero
    EngineNews engines; ///< of this data centre, and of agents elsewhere that report here
    EngineNews remoteEngines; ///< of other data centres
    BeaconSchedule dataCentreBeacons; ///< to the entries of this data centre
    Milliseconds drainingSince { 0 }; ///< when SIGTERM or SIGINT came, 0 before
    Milliseconds exitsAt { 0 }; ///< when this process ends at the latest, once it drains
    bool exiting { false }; ///< only drainFlushDelay is left
    std::string operatorRowsSource { "store" }; ///< while a copy is adopted: host of the peer that it came from
    bool peerFetchPending { false }; ///< a request for a peer's tables is in flight
    std::uint32_t largeAttempts { 0 }; ///< requests for large rows of operators since the copy of them last changed
    bool largeFetchPending { false }; ///< a request for large rows of operators is in flight, beside such requests
    std::uint32_t staleRounds { 0 }; ///< calls of refreshTables() since the tables are too old, 0 while they are not
    int exitCode { 0 }; ///< result of run()
};

} // namespace hickory
