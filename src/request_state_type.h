#pragma once

#include "admission_queue_type.h"
#include "clock_type.h"
#include "entry_event_type.h"
#include "id_type.h"
#include "status_type.h"
#include "suspect_state_type.h"
#include "upstream_view_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickory {

/// Phase of a request at the entry.
enum class RequestPhase : std::uint8_t {
    ReadingRow, ///< waits for the store to return its call row
    Queued, ///< waits in a queue of its service for an upstream
    Backoff, ///< in no queue; waits for the retry delay
    InFlight, ///< an attempt was dispatched to an agent
    ResolvingRow, ///< an attempt ended without an answer; the call row tells whether it ran
};

/// A caller's request that has not ended.
struct Request {
    RequestArrived call; ///< request as received from the caller
    RankIndex rank; ///< rank under the configuration in force
    RequestPhase phase { RequestPhase::Backoff };
    std::uint64_t sequence { 0 }; ///< position in the order of arrival at this entry
    Milliseconds arrived { 0 };
    Milliseconds deadline { 0 }; ///< time by which the request must end, except while its call row is resolved
    Milliseconds wakeAt { 0 }; ///< time of its entry in RequestState::timers
    Milliseconds queuedAt { 0 }; ///< time at which it last entered a queue
    Milliseconds dispatchedAt { 0 }; ///< time at which the current attempt was dispatched
    Milliseconds rowDeadline { 0 }; ///< time at which reading or resolving its call row is abandoned
    bool repeatable { true }; ///< may be sent again although an earlier attempt may have run
    bool detached { false }; ///< the caller has disconnected, so no part or response is sent to it
    bool charged { false }; ///< its cost was charged to its workspace and is not charged again on a retry
    bool constrained { false }; ///< suspect or pinned to a version; waits in ServicePool::constrained
    bool mayHaveRun { false }; ///< an earlier attempt may have been run by an upstream
    bool firstPart { false }; ///< the first part of the current attempt's answer has arrived
    bool suspect { false }; ///< the current attempt was dispatched as a crash suspect
    bool replay { false }; ///< the call row holds the answer; the attempt only fetches it
    bool connectionLost { false }; ///< connection to the agent of the current attempt is lost; AttemptEnded will follow
    bool lostByCrash { false }; ///< the loss may have been a crash caused by one of the requests in flight there
    Attempt attempt; ///< current or last attempt, 0 before the first
    std::uint32_t upstream { 0 }; ///< index in UpstreamViews::views of the current or last attempt
    HostId host; ///< host of the current or last attempt
    ModelVersion version; ///< model version of the current or last attempt
    std::uint32_t delivered { 0 }; ///< parts delivered to the caller by all ended attempts
    std::uint32_t retries { 0 }; ///< retries so far; a repeated fetch of a recorded answer counts, preemption does not
    std::uint32_t lostAttempts { 0 }; ///< failed attempts that may have run: outcome other than NotRun
    RowVersion rowVersion; ///< last known version of the call row, 0 when it is absent
    std::uint32_t rowFailures { 0 }; ///< failed store operations since the current read or resolution began
    bool rowPending { false }; ///< a store operation on the call row awaits its answer
};

/// Load and smoothed latencies of one rank of a service at this entry. Smoothed values are 0 before the first sample.
struct RankStats {
    std::uint32_t inFlight { 0 }; ///< attempts that were dispatched and have not ended
    std::uint64_t inFlightTokens { 0 }; ///< cost of these attempts, tokens
    double msPerToken { 0 }; ///< smoothed time in flight for each token of cost, ms
    double msPerRequest { 0 }; ///< smoothed time in flight, ms
    double firstPartMs { 0 }; ///< smoothed time from dispatch to the first part, ms
    double firstPartDeviationMs { 0 }; ///< smoothed absolute deviation from firstPartMs, ms
};

/// Upstreams, queues and retry budget of a service.
struct ServicePool {
    UpstreamPool upstreams; ///< upstreams that may be chosen
    std::vector<FairQueue> queues; ///< waiting requests, indexed by rank; 0 is most urgent
    std::map<std::pair<std::uint8_t, std::uint64_t>, RequestId>
        constrained; ///< waiting requests that are suspect or pinned, by rank and order of arrival
    std::vector<RankStats> ranks; ///< indexed by rank, like `queues`
    double retryBalance { 0 }; ///< retry budget: retries that may be sent now
    bool offered { false }; ///< the service and all its dependencies have a ready upstream
};

/// Limits and waiting requests of a workspace at this entry.
struct WorkspaceState {
    double weight { 1.0 }; ///< weight among the workspaces of a rank
    std::uint32_t maxQueued { 0 }; ///< limit of waiting requests
    std::uint32_t queued { 0 }; ///< requests that are waiting
};

/// Requests, queues, upstream views, retry budgets and crash suspicions at an entry.
struct RequestState {
    std::unordered_map<RequestId, Request> requests; ///< all requests that have not ended
    std::set<std::pair<Milliseconds, RequestId>> timers; ///< next timer of each request, earliest first
    std::map<ServiceId, ServicePool> pools; ///< by service of the configuration
    std::unordered_map<WorkspaceId, WorkspaceState> workspaces; ///< by workspace of the configuration
    std::size_t queued { 0 }; ///< waiting requests of all services
    std::uint64_t nextSequence { 1 }; ///< sequence of the next request
    UpstreamViews views; ///< agents that this entry knows
    SuspectTable suspects; ///< requests suspected of crashing upstreams
    Milliseconds nextGauges { 0 }; ///< time at which the gauges are next emitted
};

} // namespace hickory
