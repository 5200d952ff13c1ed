#pragma once

#include "relay_type.h"

#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace hickory {

/// How a relay chooses an upstream.
enum class RelayRoutePolicy : std::uint8_t {
    PredictedLatency, ///< least predicted time to the first token, with room
    LeastRequests, ///< baseline: least requests of this entry, with room
    Random, ///< baseline: uniform among those with room
};

/// How a relay orders requests that wait.
enum class RelayQueuePolicy : std::uint8_t {
    Urgency, ///< those that can be on time first, then by urgency
    Fifo, ///< baseline: in order of arrival, all with the same urgency
};

/// Settings of the relay's decisions.
struct RelayOptions {
    DataCentreId dataCentre; ///< data centre of this host
    Milliseconds keyConfigMaxAge { 4400 }; ///< requests with a key are refused on a configuration confirmed longer ago
    Milliseconds weightsGracePeriod { 6000 }; ///< after this time declared weights are required of an engine
    double retryRatio { 0.2 }; ///< repeats allowed for each request, over all entries
    double retryExtra { 106 }; ///< repeats allowed besides, over all entries
    Milliseconds retryWindow { 10000 }; ///< over which repeats are counted
    RelayRoutePolicy routePolicy { RelayRoutePolicy::PredictedLatency }; ///< choice of upstreams
    RelayQueuePolicy queuePolicy { RelayQueuePolicy::Urgency }; ///< of requests that wait
    std::uint64_t seed { 1 }; ///< of random choices
};

/// Requests and repeats of one service in the last window, by buckets of time.
struct RetryWindow {
    struct Bucket {
        Milliseconds start; ///< of the bucket
        std::uint32_t firstSends { 0 }; ///< requests sent for the first time
        std::uint32_t retries { 0 }; ///< sent once more
    };
    std::deque<Bucket> buckets; ///< oldest first
};

/// A sending under way.
struct ActiveSend {
    SendId send; ///< names it
    UpstreamId upstream; ///< where
    Milliseconds sentAt; ///< when
    Milliseconds lastProgressAt; ///< last sign of progress
    bool headReceived { false }; ///< the answer began
    std::uint16_t status { 0 }; ///< of the answer
    bool sealed { false }; ///< the answer carries the proof of its upstream
    bool prefilling { true }; ///< no event of a stream came yet: the prompt still has to be read
};

/// Order in which requests wait: those that can still be on time first, then by urgency, then the newest.
struct QueueKey {
    bool late { false }; ///< cannot be on time any more
    std::uint8_t urgency { 0 }; ///< 0 is first
    Milliseconds timeOrder; ///< negative time of the objective: the newest still has the most time
    std::uint64_t call { 0 }; ///< breaks ties in order of arrival

    auto operator<=>(const QueueKey&) const = default;
};

/// A request without a complete answer.
struct RelayRequest {
    CallId call; ///< names it
    RequestMetadata metadata; ///< decoded
    std::shared_ptr<const RelayConfig> config; ///< owns route
    const RelayRoute* route { nullptr }; ///< selected at arrival
    ServiceId service; ///< selected share
    WorkspaceId workspace; ///< holder of the key, empty on open routes
    std::uint8_t urgency { 0 }; ///< by workspace and route, 0 is first
    Milliseconds arrivedAt; ///< first byte
    Milliseconds objectiveAt; ///< on time until then
    Milliseconds timeoutAt; ///< the route's limit
    Milliseconds deadlineAt; ///< the caller's limit or the route's, whichever is first
    std::uint32_t sends { 0 }; ///< sendings so far
    std::uint32_t connectFailures { 0 }; ///< sendings of which no byte left
    std::set<UpstreamId> excludedUpstreams; ///< upstreams that failed it
    std::optional<ActiveSend> active; ///< sending under way
    std::optional<QueueKey> queued; ///< place in the queue
    bool headForwarded { false }; ///< the caller has the head of an answer
    bool mayHaveRun { false }; ///< some sending may have run
    std::string lastEventId; ///< last event passed on
    std::uint32_t events { 0 }; ///< progress reports so far
    Milliseconds firstEventAt { 0 }; ///< of a stream, 0 before
};

/// What an entry believes about one upstream.
struct RelayUpstream {
    UpstreamEntry entry; ///< as listed
    std::uint64_t key { 0 }; ///< loadKey() of its id
    bool listed { true }; ///< still in the list; removed views wait for their last sending
    std::uint32_t sent { 0 }; ///< our requests under way
    std::uint32_t prefillTokens { 0 }; ///< prompt tokens of ours without a first event
    PeerLoad advertised; ///< of these what the entries of the upstream's data centre were told last
    PeerLoad previousAdvertised; ///< and the time before
    std::optional<EngineReport> report; ///< last one of the agent beside it
    Milliseconds reportedAt; ///< when the report came
    Milliseconds lastHeardAt; ///< last bytes of an answer
    Milliseconds longestWait { 0 }; ///< of our requests there that wait for their answer to begin
    Milliseconds ejectedUntil { 0 }; ///< no new work before
    std::uint32_t failures { 0 }; ///< in a row
    bool onProbation { false }; ///< failed and has not answered since: it gets one request at a time
    double errorRate { 0 }; ///< moving average of failed answers
    Milliseconds fullUntil { 0 }; ///< said that it is full
    Milliseconds orderPendingUntil { 0 }; ///< about to load weights
};

/// What was believed of a failing upstream that left the list. A lease that ran out behind a narrow link is back soon.
struct DelistedUpstream {
    std::int64_t processStartedAt { 0 }; ///< start of its process
    std::uint32_t failures { 0 }; ///< in a row
    Milliseconds delistedAt { 0 }; ///< when it left
};

/// Requests under way at upstreams as another process told them.
struct ReportedLoads {
    Milliseconds receivedAt; ///< when it told
    std::unordered_map<std::uint64_t, PeerLoad> loads; ///< by upstream
};

/// Requests of one service that wait, and how fast they are placed.
struct RelayServiceState {
    std::map<QueueKey, CallId> queue; ///< in the order in which they are placed
    RetryWindow retries; ///< repeats lately
    std::deque<Milliseconds> dispatchTimes; ///< placements within rateWindow
};

/// Weights that operators declared: each version and when this process learned of it, oldest first.
using DeclaredWeights = std::map<WeightsVersion, Milliseconds>;

/// All that the relay decides on.
struct RelayState {
    RelayOptions options; ///< from settings
    std::shared_ptr<const RelayConfig> config; ///< newest known, empty at start
    Milliseconds configConfirmedAt { -1000000 }; ///< no newer configuration existed then
    std::unordered_map<CallId, RelayRequest> requests; ///< without a complete answer
    std::map<UpstreamId, RelayUpstream> upstreams; ///< listed, or with work under way
    std::map<UpstreamId, DelistedUpstream> delisted; ///< those that had failed and left the list lately
    std::map<ServiceId, RelayServiceState> services; ///< queues
    std::map<HostId, ReportedLoads> peers; ///< other entries, at upstreams that they share with this one
    std::map<DataCentreId, ReportedLoads> dataCentres; ///< totals of other data centres at their own upstreams
    std::map<ModelId, DeclaredWeights> declared; ///< weights
    std::uint32_t entryCount { 1 }; ///< alive in the fleet
    std::optional<Milliseconds> drainEndsAt; ///< set once the process was told to stop
    std::uint64_t lastSend { 0 }; ///< number of the last sending
    std::mt19937_64 random { 1 }; ///< seeded from the options
};

/// @return the oldest version of a model's weights that a request may still begin on; 0 when any will do
WeightsVersion requiredWeights(const RelayState& state, const ModelId& model, Milliseconds now);

/// @param upstream id
/// @return the short form of the id in messages between entries
std::uint64_t loadKey(const UpstreamId& upstream);

} // namespace hickory
