#pragma once

#include "cold_start_type.h"
#include "crash_state_type.h"
#include "relay_type.h"

#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace hickory {

/// How the relay chooses among the upstreams that have room for a request.
enum class RelayRoutePolicy : std::uint8_t {
    PredictedLatency, ///< shortest predicted time to the first token
    LeastRequests, ///< fewest requests of this entry in flight; a baseline for comparison
    Random, ///< uniformly distributed; a baseline for comparison
};

/// How the relay orders queued requests.
enum class RelayQueuePolicy : std::uint8_t {
    Urgency, ///< those that can still meet their objective first, then by urgency
    Fifo, ///< in order of arrival, sent without urgency; a baseline for comparison
};

/// Settings that the relay's decisions depend on. The process replaces all defaults below but the two policies by
/// values from its settings; the other policies are baselines for comparison in tests.
struct RelayOptions {
    HostId host; ///< this host
    DataCentreId dataCentre; ///< data centre of this host; upstreams elsewhere must gain enough time to be chosen
    Milliseconds keyConfigMaxAge { 4400 }; ///< requests with a key need a configuration confirmed within it
    Milliseconds weightsGracePeriod { 6000 }; ///< older weights may be used this long after newer ones were declared
    double retryRatio { 0.2 }; ///< retries allowed for each first send within the window, over all entries
    double retryExtra { 106 }; ///< retries allowed within the window regardless of load, over all entries
    Milliseconds retryWindow { 10000 }; ///< time over which first sends and retries are counted
    RelayRoutePolicy routePolicy { RelayRoutePolicy::PredictedLatency }; ///< how an upstream is chosen
    RelayQueuePolicy queuePolicy { RelayQueuePolicy::Urgency }; ///< order of each service's queue
    std::map<DataCentreId, RegionId> regions; ///< region of each data centre
    Milliseconds maxEvacuationDelay { 5000 }; ///< an evacuated data centre gets nothing new after this time
    /// The settings name the delay, so that operators of this deployment may evacuate data centres.
    bool evacuationsConfigured { false };
    double coldOverage { 1.0 }; ///< a cold upstream bears this multiple of its rate in any one second
    double coldSlack { 0 }; ///< requests that it bears in addition
    std::uint64_t seed { 1 }; ///< seed of the random choices
};

/// First sends and retries of one service within the retry window, counted in buckets of time.
struct RetryWindow {
    struct Bucket {
        Milliseconds start; ///< start of the bucket, which lasts retryBucketLength or until the next send
        std::uint32_t firstSends { 0 }; ///< requests that were sent for the first time
        std::uint32_t retries { 0 }; ///< requests sent again
    };
    std::deque<Bucket> buckets; ///< oldest first
};

/// A send in flight.
struct ActiveSend {
    SendId send; ///< identifies it in events
    UpstreamId upstream; ///< upstream that it went to
    Milliseconds sentAt; ///< when the decision was made; the connection may still have to be opened
    Milliseconds lastProgressAt; ///< when it was sent, or its last event or head arrived
    bool headReceived { false }; ///< the head of the response arrived
    std::uint16_t status { 0 }; ///< HTTP status of the response, 0 before its head
    bool sealed { false }; ///< the response carries the seal header
    bool stream { false }; ///< the body of the response is a stream of events
    /// The response ended with its connection at this moment; whether the upstream still ran is not known yet, or was
    /// confirmed. Empty for a response with a length or chunks.
    std::optional<Milliseconds> closedAt;
    bool prefilling { true }; ///< no event of a stream came yet: the prompt still counts as unread
};

/// Sort key of a service's queue. Under RelayQueuePolicy::Urgency, requests that an upstream may still run come first,
/// by the time at which their callers leave, then those that can still meet their objective, then the most urgent, then
/// those with the latest objectiveAt; under Fifo, the oldest arrival comes first.
struct QueueKey {
    bool fresh { true }; ///< no upstream may still run it
    bool late { false }; ///< can no longer meet its objective
    std::uint8_t urgency { 0 }; ///< 0 is first
    Milliseconds timeOrder; ///< smaller is first: -objectiveAt, or arrivedAt under RelayQueuePolicy::Fifo
    std::uint64_t call { 0 }; ///< number of the request; breaks ties in order of arrival

    auto operator<=>(const QueueKey&) const = default;
};

/// Regions in which a request may be served, sorted by name; nothing for anywhere, an empty list for nowhere.
using AllowedRegions = std::optional<std::vector<RegionId>>;

/// A request without a complete response.
struct RelayRequest {
    CallId call;
    RequestMetadata metadata;
    std::shared_ptr<const RelayConfig> config; ///< configuration at arrival; owns route
    const RelayRoute* route { nullptr }; ///< route that matched at arrival
    ServiceId service; ///< service of the drawn route share
    WorkspaceId workspace; ///< owner of the API key, empty on routes without keys
    AllowedRegions allowed; ///< from the homes of its route and workspace, at arrival and now
    std::uint8_t urgency { 0 }; ///< from the ranks of workspace and route, 0 is first
    RequestTraits traits; ///< what it may have in common with requests that crash upstreams
    Milliseconds arrivedAt; ///< when its first byte was read
    Milliseconds admittedAt; ///< when this process decided what to do with it
    Milliseconds objectiveAt; ///< a whole response, or the first event of a stream, is on time until then
    Milliseconds timeoutAt; ///< arrival plus the timeout of its route
    Milliseconds deadlineAt; ///< the earliest of timeoutAt, the caller's timeout and the end of a drain
    std::uint32_t sends { 0 }; ///< sends that an upstream may have run
    std::uint32_t turnedAway { 0 }; ///< sends that an upstream states it did not run
    Milliseconds waitsUntil { 0 }; ///< stays in the queue until then, after it was turned away
    std::uint32_t connectFailures { 0 }; ///< sends of which no byte left this process
    /// Upstreams that failed or misdirected it, or were silent with it; not chosen again.
    std::set<UpstreamId> excludedUpstreams;
    std::optional<ActiveSend> active; ///< send in flight
    /// A further send to another upstream, beside one that is silent or late. Whichever answers first is kept.
    std::optional<ActiveSend> backup;
    std::optional<QueueKey> queued; ///< its key while it is in the queue
    bool headForwarded { false }; ///< the caller received the head of a response
    bool mayHaveRun { false }; ///< an upstream may have run it
    bool owesRetry { false }; ///< queued without a place in the retry budget, which it takes when it is sent
    std::string lastEventId; ///< id of the last event forwarded, at first that of the caller
    /// Another engine can go on after lastEventId: no event was forwarded, or they have ids.
    bool resumePointKnown { true };
    std::uint32_t events { 0 }; ///< StreamProgressed events so far
    Milliseconds leavesAt { 0 }; ///< when the caller leaves if no event reaches it before
    Milliseconds firstEventAt { 0 }; ///< when the first event of a stream arrived, 0 before
};

/// What an entry knows about one upstream.
struct RelayUpstream {
    UpstreamEntry entry; ///< as last listed
    std::uint64_t key { 0 }; ///< loadKey() of its id
    UpstreamProcessId process; ///< upstreamProcessId() of its entry
    bool listed { true }; ///< false once it left the list; the record is kept until the last send to it ended
    std::uint32_t sent { 0 }; ///< requests of this entry in flight
    std::uint32_t unbegun { 0 }; ///< of these, those without a response head
    std::uint32_t prefillTokens { 0 }; ///< prompt tokens of those without a first event
    PeerLoad advertised; ///< sent and prefillTokens as last reported to the upstream's data centre
    PeerLoad previousAdvertised; ///< as reported the time before
    std::optional<EngineReport> report; ///< last report of the agent on its host
    Milliseconds reportedAt; ///< when the report arrived
    Milliseconds answeredAt { -1000000 }; ///< last head or event of a response; starts far in the past
    Milliseconds lastHeardAt; ///< last head or event of a response, or the last send while none was in flight
    Milliseconds longestWait { 0 }; ///< longest time that a send in flight has waited for its head
    Milliseconds ejectedUntil { 0 }; ///< gets no new work before
    std::uint32_t failures { 0 }; ///< ejections since the last success
    std::uint32_t unansweredConnects { 0 }; ///< connections in a row that were not answered in time
    /// Failed, or asked for a pause, and has not answered otherwise since: gets maxProbationRequests at a time.
    bool onProbation { false };
    /// It was silent while requests waited there, so it or its host may have stopped: what is sent now would lie there.
    /// Gets no requests until it has answered a status request.
    bool standsStill { false };
    bool probing { false }; ///< a status request that decides on standsStill is in flight
    Milliseconds probedAt { -1000000 }; ///< when it last answered such a request; starts far in the past
    double errorRate { 0 }; ///< moving average of failures, 0 to 1
    Milliseconds fullUntil { 0 }; ///< gets no new work before: it refused a request without running it
    Milliseconds orderPendingUntil { 0 }; ///< gets no new work before: it is about to receive a load order
    bool clearing { false }; ///< as last reported: its load waits only for the requests that still run there
    std::optional<StatedLoad> statedLoad; ///< load that it last stated in an answer to this entry
    Milliseconds statedLoadAt { 0 }; ///< when that answer arrived
    std::uint32_t statedByOthers { 0 }; ///< running and waiting requests of statedLoad that were not this entry's
    std::optional<ColdStart> cold; ///< empty if it is known to be warm
    std::uint32_t ringIndex { 0 }; ///< its number among ringCount, if it is in this data centre
    std::uint32_t ringCount { 0 }; ///< listed upstreams of its service in this data centre
};

/// Health of a failing upstream that left the list. It is kept because a lease that expired on a congested link is
/// soon renewed, and the upstream should then still be on probation.
struct DelistedUpstream {
    std::int64_t processStartedAt { 0 }; ///< start of its process, Unix ms; a restarted one begins without failures
    std::uint32_t failures { 0 }; ///< ejections since the last success
    bool standsStill { false }; ///< as in RelayUpstream
    Milliseconds delistedAt { 0 }; ///< when it left the list
};

/// Requests in flight at upstreams as another process reported them.
struct ReportedLoads {
    Milliseconds receivedAt; ///< when the report arrived; older ones than reportMaxAge are ignored
    std::unordered_map<std::uint64_t, PeerLoad> loads; ///< by loadKey() of the upstream
};

/// Queue of one service, and how fast it is served.
struct RelayServiceState {
    std::map<QueueKey, CallId> queue; ///< waiting requests in the order in which they are dispatched
    RetryWindow retries; ///< counts for the retry budget
    /// A send to an upstream of the service.
    struct Dispatch {
        Milliseconds at; ///< when the decision was made
        DataCentreId dataCentre; ///< of the upstream
    };
    std::deque<Dispatch> dispatches; ///< sends within dispatchRateWindow, oldest first
    double meanAnswerMs { 0 }; ///< moving average of the time from a send to its whole success, 0 before the first
    /// By the regions that requests may use: the first request since the last send there for which no engine had usable
    /// weights.
    std::map<AllowedRegions, Milliseconds> withoutWeightsSince;
    std::map<AllowedRegions, std::size_t> queuedByRegions; ///< waiting requests by the regions that they may use
    /// When an upstream of it last stated a slowdown in an answer to this entry; starts far in the past.
    Milliseconds slowdownStatedAt { -1000000 };
};

/// What an entry knows about one declared version of a model's weights.
struct DeclaredVersion {
    /// Latest moment at which it is known not to have been declared yet. Unlike the moment at which this process
    /// learned of it, that is never after the declaration. Empty when it may have been declared long ago.
    std::optional<Milliseconds> notBefore;
    bool read { false }; ///< this entry's own copy held it
    /// The part of notBefore that this entry knows itself. Its copy held the previous version that was read then, so it
    /// holds for versions between the two as well.
    std::optional<Milliseconds> readNotBefore;
};

/// Declared versions of one model's weights, oldest first.
using DeclaredWeights = std::map<WeightsVersion, DeclaredVersion>;

/// Place of this entry among the live entries of its data centre, by which it chooses its nearest upstreams.
struct RingPosition {
    std::uint32_t position { 0 }; ///< in use
    std::uint32_t counted { 0 }; ///< as last counted
    Milliseconds changedAt { 0 }; ///< when the count last changed; the position follows once it has lasted
    std::optional<Milliseconds> firstAt; ///< first count; empty before
};

/// All state of the relay's reducer.
struct RelayState {
    RelayOptions options; ///< from the settings
    std::shared_ptr<const RelayConfig> config; ///< newest configuration, null until one was read
    WrittenEra configWrittenIn; ///< era of the store in which it was written
    Milliseconds configConfirmedAt { -1000000 }; ///< no newer configuration existed then; starts far in the past
    std::unordered_map<CallId, RelayRequest> requests; ///< without a complete response
    std::map<UpstreamId, RelayUpstream> upstreams; ///< listed, or with sends in flight
    std::map<UpstreamId, DelistedUpstream> delisted; ///< left the list while on probation
    std::map<ServiceId, RelayServiceState> services; ///< queue and retry counts of each service, by name
    std::map<HostId, ReportedLoads> peers; ///< loads reported by other entries
    std::map<DataCentreId, ReportedLoads> dataCentres; ///< totals of other data centres at their own upstreams
    std::map<ModelId, DeclaredWeights> declared; ///< declared weights by model
    CrashState crashes; ///< crashes of upstreams and the requests behind them
    UpstreamStandings standings; ///< what upstreams said of themselves
    UpstreamPauses pauses; ///< those that have not ended, and some that have
    std::set<DataCentreId> evacuated; ///< data centres whose upstreams get nothing new
    std::map<DataCentreId, Milliseconds> evacuatedSince; ///< when this entry learned that each of these is evacuated
    std::optional<Milliseconds> resumedAt; ///< when this process last continued after a standstill, if it ever did
    /// The copy of the operators' table has not been confirmed since resumedAt: evacuations and homes may be out of
    /// date.
    bool tableUnconfirmed { false };
    bool homesInUse { false }; ///< the configuration in force or a request has homes
    std::map<UpstreamId, DelistedCold> delistedCold; ///< upstreams with cold starts that left the list lately
    ColdSharers coldSharers; ///< entries that share the limits of cold upstreams
    std::uint32_t coldCount { 0 }; ///< listed upstreams that are cold, as last published
    bool upstreamsListed { false }; ///< a list of upstreams was read that was not empty
    std::uint32_t entryCount { 1 }; ///< live entries of the fleet, this one included
    bool anyOtherReady { true }; ///< as in EntryCountUpdated
    std::uint32_t entryPosition { 0 }; ///< as in EntryCountUpdated
    RingPosition ringPosition; ///< from EntryCountUpdated::positionHere
    /// Most live entries lately: one that was not heard for a moment still sends.
    std::uint32_t highestEntryCount { 1 };
    Milliseconds highestEntryCountAt { -1000000 }; ///< when that many were last counted; starts far in the past
    Milliseconds drainBeganAt { 0 }; ///< when the process was told to stop, 0 before
    std::optional<Milliseconds> drainEndsAt; ///< end of the drain, empty unless the process was told to stop
    std::uint64_t lastSend { 0 }; ///< number of the last send
    std::mt19937_64 random { 1 }; ///< seeded from the options
};

/// @param now may lie in the future or the past, for a request that starts then
/// @return the oldest version of a model's weights that a request may start on, 0 when any version may be used
WeightsVersion requiredWeights(const RelayState& state, const ModelId& model, Milliseconds now);

/// @return hash of an upstream's id that identifies it in messages between entries
std::uint64_t loadKey(const UpstreamId& upstream);

} // namespace hickory
