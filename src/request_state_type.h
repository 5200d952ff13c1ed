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

/// Where a request is. It is in exactly one of these.
enum class RequestPhase : std::uint8_t {
    ReadingRow, ///< waits for the first or a repeated read of its call row
    Queued, ///< waits in a queue of its service
    Backoff, ///< waits before it is queued again
    InFlight, ///< an agent has an attempt
    ResolvingRow, ///< an attempt ended without an answer; the call row decides what is reported
};

/// One caller's request that has not ended.
struct Request {
    RequestArrived call; ///< as it arrived
    RankIndex rank; ///< rank in the present configuration
    RequestPhase phase { RequestPhase::Backoff }; ///< where it is
    std::uint64_t sequence { 0 }; ///< order of arrival at this entry
    Milliseconds arrived { 0 }; ///< time of arrival
    Milliseconds deadline { 0 }; ///< time by which it must have ended
    Milliseconds wakeAt { 0 }; ///< its entry in RequestState::timers
    Milliseconds queuedAt { 0 }; ///< when it was last queued
    Milliseconds dispatchedAt { 0 }; ///< when the present attempt was sent
    Milliseconds resolveBy { 0 }; ///< when the call row is given up
    bool repeatable { true }; ///< may be sent again after an unknown outcome
    bool detached { false }; ///< its caller is gone; nothing may be sent to it
    bool charged { false }; ///< its cost was charged to its workspace
    bool constrained { false }; ///< suspect or pinned; waits outside the fair queue
    bool mayHaveRun { false }; ///< an earlier attempt may have run
    bool firstPart { false }; ///< the present attempt's first part arrived
    bool suspect { false }; ///< the present attempt was dispatched as a suspect
    bool replay { false }; ///< the row holds the answer; the attempt only fetches it
    bool connectionLost { false }; ///< the agent of the present attempt is gone; its end is about to be told
    bool lostByCrash { false }; ///< the agent may have died of one of its requests
    Attempt attempt; ///< present or last attempt, 0 before the first
    std::uint32_t upstream { 0 }; ///< index of the view that has the present attempt
    HostId host; ///< host of the present or last attempt
    ModelVersion version; ///< version of the present or last attempt
    std::uint32_t delivered { 0 }; ///< parts given to the caller over all ended attempts
    std::uint32_t retries { 0 }; ///< retries after attempts that may have run or were refused
    std::uint32_t lostAttempts { 0 }; ///< attempts that ended after an upstream may have been given the request
    RowVersion rowVersion; ///< version of the call row that was last seen
    std::uint32_t rowTries { 0 }; ///< failed operations on the row in the present read or resolution
    bool rowPending { false }; ///< an operation on the row has not been answered
};

/// Load of one service and rank at this entry.
struct RankStats {
    std::uint32_t inFlight { 0 }; ///< attempts at agents
    std::uint64_t inFlightTokens { 0 }; ///< their cost
    double msPerToken { 0 }; ///< smoothed time in flight for each token of cost, 0 before the first sample
    double msPerRequest { 0 }; ///< smoothed time in flight
    double firstPartMs { 0 }; ///< smoothed time from dispatch to the first part
    double firstPartDeviationMs { 0 }; ///< smoothed deviation from it
};

/// One service: its upstreams, queues and budget.
struct ServicePool {
    UpstreamPool upstreams; ///< candidates by distance
    std::vector<FairQueue> queues; ///< by rank
    std::map<std::pair<std::uint8_t, std::uint64_t>, RequestId> constrained; ///< suspects and pinned, by rank and order
    std::vector<RankStats> ranks; ///< by rank
    double retryBalance { 0 }; ///< retries that may be sent now
    bool offered { false }; ///< it and all that it depends on have a ready upstream
};

/// One workspace: its limits and its waiting requests at this entry.
struct WorkspaceShare {
    double weight { 1.0 }; ///< share within a rank
    std::uint32_t maxQueued { 0 }; ///< requests that may wait
    std::uint32_t queued { 0 }; ///< requests that wait
};

/// Requests, queues, upstream views, retry budgets and crash suspicions at an entry.
struct RequestState {
    std::unordered_map<RequestId, Request> requests; ///< all that have not ended
    std::set<std::pair<Milliseconds, RequestId>> timers; ///< next wake of each request
    std::map<ServiceId, ServicePool> pools; ///< one for each service of the configuration
    std::unordered_map<WorkspaceId, WorkspaceShare> workspaces; ///< one for each workspace of the configuration
    std::size_t queued { 0 }; ///< requests that wait in all
    std::uint64_t nextSequence { 1 }; ///< next order of arrival
    UpstreamViews views; ///< agents known to this entry
    SuspectTable suspects; ///< crash suspicions
    Milliseconds nextGauges { 0 }; ///< when gauges are next written
};

} // namespace hickory
