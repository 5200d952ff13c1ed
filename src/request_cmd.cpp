#include "request_cmd.h"

#include "admission_func.h"
#include "admission_queue_func.h"
#include "begun_call_func.h"
#include "request_attempt_cmd.h"
#include "request_dispatch_cmd.h"
#include "request_end_cmd.h"
#include "request_log_func.h"
#include "request_row_cmd.h"
#include "retry_cmd.h"
#include "suspect_cmd.h"
#include "upstream_view_cmd.h"
#include "upstream_view_health_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Longest timeout of a request. Call rows are kept far longer.
    constexpr Milliseconds maxTimeout { 600000 };
    /// Interval between emissions of the gauges.
    constexpr Milliseconds gaugesPeriod { 1000 };
    /// Retry-After when this entry has no room for another request.
    constexpr Milliseconds overloadRetryAfter { 1000 };
    /// Time that a partly delivered stream waits before it is aborted if no known upstream has its version. As often,
    /// it is checked whether one does.
    constexpr Milliseconds resumeWait { 3000 };

    void refuseArrival(const RequestArrived& call, const Refusal& refusal, EntryEffects& effects)
    {
        LogLine line { .event = "refuse" };
        line.fields = { { "request", requestIdText(call.request) }, { "service", call.service.value },
            { "rank", call.rank }, { "workspace", call.workspace.value }, { "outcome", "not-run" },
            { "reason", refusal.reason }, { "step", "admission" } };
        effects.emplace_back(std::move(line));
        countMetric(effects, "requests_refused_total", "reason=\"" + refusal.reason + "\",outcome=\"not-run\"");
        effects.emplace_back(FailRequest { .request = call.request,
            .outcome = Outcome::NotRun,
            .status = refusal.status,
            .reason = refusal.reason,
            .retryAfter = refusal.retryAfter,
            .step = "admission",
            .peer = {} });
    }

    /// Makes room for an arriving request by refusing the newest waiting request of the largest flow of a queue. Only
    /// requests that are no more urgent are evicted, the least urgent of a service first, and none of the arriving
    /// request's own rank and workspace.
    /// @return true when a request was evicted
    bool evictForArrival(EntryState& state, const Request& arriving, EntryEffects& effects)
    {
        const std::size_t rank = queueIndex(state, arriving.rank);
        for (auto& [service, pool] : state.requests.pools)
            for (std::size_t other = pool.queues.size(); other-- > rank;) {
                const auto item = newestOfLargestFlow(pool.queues[other]);
                if (!item)
                    continue;
                Request& victim = state.requests.requests.at(item->request);
                if (other == rank && victim.call.workspace == arriving.call.workspace)
                    continue;
                if (!mayEnd(victim, EndCause::Overload))
                    continue;
                failRequest(state, victim,
                    { .outcome = Outcome::NotRun,
                        .reason = "queue-full",
                        .retryAfter = overloadRetryAfter,
                        .step = "admission" },
                    effects);
                return true;
            }
        return false;
    }

    /// @return limit of requests in progress: those in flight and as many as may wait
    std::size_t maxHeldRequests(const EntryState& state)
    {
        std::size_t held = state.settings.maxQueued;
        for (const auto& [service, pool] : state.requests.pools)
            for (const RankStats& stats : pool.ranks)
                held += stats.inFlight;
        return held;
    }

    Request makeRequest(EntryState& state, const RequestArrived& call)
    {
        const Milliseconds requested = call.timeout > Milliseconds {} ? call.timeout : state.settings.defaultTimeout;
        Request request { .call = call };
        request.rank = *state.config.config->findRank(call.rank);
        request.sequence = state.requests.nextSequence++;
        request.arrived = state.now;
        request.queuedAt = state.now;
        request.deadline = state.now + std::min(requested, maxTimeout);
        request.repeatable = !isNonRepeatable(*state.config.config->findService(call.service), call.path);
        return request;
    }

    /// Each request in progress occupies an HTTP worker. A quarter of the workers is kept in reserve, because otherwise
    /// waiting requests of the lowest rank could occupy all of them and urgent requests would not even be read.
    /// @return limit of waiting requests
    std::size_t maxWaiting(const EntryState& state)
    {
        constexpr std::size_t reserveDivisor = 4;
        const std::size_t usable = state.settings.httpWorkers - state.settings.httpWorkers / reserveDivisor;
        const std::size_t inFlight
            = state.requests.requests.size() - std::min(state.requests.requests.size(), state.requests.queued);
        return std::min<std::size_t>(state.settings.maxQueued, usable > inFlight ? usable - inFlight : 0);
    }

    /// Decides whether an arrived request that could not be dispatched at once may wait, and refuses it otherwise.
    void queueOrRefuse(EntryState& state, RequestId id, EntryEffects& effects)
    {
        const auto found = state.requests.requests.find(id);
        if (found == state.requests.requests.end() || found->second.phase != RequestPhase::Queued)
            return;
        Request& request = found->second;
        if (!mayEnd(request, EndCause::Lateness))
            return;
        const ServicePool& pool = state.requests.pools.at(request.call.service);
        // The admission checks must not count the request itself.
        dequeueRequest(state, request);
        request.phase = RequestPhase::Backoff;
        std::optional<Refusal> refusal = checkQueueing(state, pool, request);
        if (!refusal && state.requests.queued >= maxWaiting(state) && !evictForArrival(state, request, effects))
            refusal = Refusal { .status = 503, .reason = "queue-full", .retryAfter = overloadRetryAfter };
        if (refusal) {
            failRequest(state, request,
                { .outcome = Outcome::NotRun,
                    .status = refusal->status,
                    .reason = refusal->reason,
                    .retryAfter = refusal->retryAfter,
                    .step = "admission" },
                effects);
            return;
        }
        enqueueRequest(state, request);
        LogLine line = requestLine("queue", request);
        line.fields.emplace_back("queued", std::to_string(state.requests.queued));
        effects.emplace_back(std::move(line));
    }

    /// Ends a request whose deadline has passed.
    void expireRequest(EntryState& state, Request& request, EntryEffects& effects)
    {
        if (request.phase == RequestPhase::InFlight) {
            abandonAttempt(state, request, "deadline", effects);
            return;
        }
        failRequest(state, request,
            { .outcome = Outcome::NotRun, .status = 504, .reason = "deadline", .step = "queue" }, effects);
    }

    /// Limits how long a partly delivered stream waits when no connected upstream serves its version.
    void limitResumeWait(EntryState& state, Request& request)
    {
        if (request.delivered > 0 && !versionAvailable(state, request))
            setWake(state, request, std::min(state.now + resumeWait, request.deadline));
    }

    /// Handles the timer of a queued request: its wait limit, or the limit set by limitResumeWait().
    void wakeQueued(EntryState& state, Request& request, EntryEffects& effects)
    {
        if (request.attempt.value == 0 && mayEnd(request, EndCause::Lateness)) {
            failRequest(state, request,
                { .outcome = Outcome::NotRun,
                    .status = 503,
                    .reason = "waited-too-long",
                    .retryAfter = overloadRetryAfter,
                    .step = "queue" },
                effects);
            return;
        }
        if (request.delivered == 0 || versionAvailable(state, request)) {
            setWake(state, request, request.deadline);
            return;
        }
        if (versionMayReturn(state, request)) {
            limitResumeWait(state, request);
            return;
        }
        failRequest(state, request,
            { .outcome = Outcome::Unknown, .status = 503, .reason = "version-gone", .step = "resume" }, effects);
    }

    /// Handles the timer of a request.
    void wakeRequest(EntryState& state, Request& request, EntryEffects& effects)
    {
        const RequestId id = request.call.request;
        const bool resolving = request.phase == RequestPhase::ResolvingRow;
        if (!resolving && state.now >= request.deadline) {
            expireRequest(state, request, effects);
            return;
        }
        switch (request.phase) {
        case RequestPhase::ReadingRow:
        case RequestPhase::ResolvingRow:
            wakeRowRequest(state, request, effects);
            break;
        case RequestPhase::Queued:
            wakeQueued(state, request, effects);
            break;
        case RequestPhase::Backoff:
            endBackoff(state, request, effects);
            if (const auto found = state.requests.requests.find(id);
                found != state.requests.requests.end() && found->second.phase == RequestPhase::Queued)
                limitResumeWait(state, found->second);
            break;
        case RequestPhase::InFlight:
            abandonAttempt(state, request, "connection-lost", effects);
            break;
        }
    }

    void emitGauges(EntryState& state, EntryEffects& effects)
    {
        state.requests.nextGauges = state.now + gaugesPeriod;
        const auto gauge = [&](std::string name, std::string labels, double value) {
            effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Gauge,
                .name = std::move(name),
                .labels = std::move(labels),
                .value = value });
        };
        for (const auto& [service, pool] : state.requests.pools) {
            const std::string serviceLabel = "service=\"" + service.value + "\"";
            gauge("upstreams_ready", serviceLabel, pool.upstreams.ready);
            gauge("upstreams_candidates", serviceLabel, pool.upstreams.candidates);
            gauge("retry_balance", serviceLabel, pool.retryBalance);
            for (std::size_t rank = 0; rank < pool.queues.size(); ++rank) {
                const std::string rankLabels = serviceLabel + ",rank=\"" + state.config.config->ranks[rank].name + "\"";
                gauge("queued", rankLabels, static_cast<double>(pool.queues[rank].queued));
                gauge("in_flight", rankLabels, pool.ranks[rank].inFlight);
            }
        }
    }

} // namespace

void applyRequestArrived(EntryState& state, const RequestArrived& event, EntryEffects& effects)
{
    rebuildPools(state, effects);
    if (const auto refusal = checkRequest(state, event)) {
        refuseArrival(event, *refusal, effects);
        return;
    }
    countMetric(effects, "requests_total", "service=\"" + event.service.value + "\",rank=\"" + event.rank + "\"");
    Request& request = state.requests.requests.emplace(event.request, makeRequest(state, event)).first->second;
    if (!request.repeatable) {
        if (state.requests.requests.size() > maxHeldRequests(state)) {
            failRequest(state, request,
                { .outcome = Outcome::NotRun,
                    .reason = "too-many-requests",
                    .retryAfter = overloadRetryAfter,
                    .step = "admission" },
                effects);
            return;
        }
        readCallRow(state, request, effects);
        return;
    }
    enqueueRequest(state, request);
    dispatchQueued(state, event.service, effects);
    queueOrRefuse(state, event.request, effects);
}

void applyCallerDisconnected(EntryState& state, const CallerDisconnected& event, EntryEffects& effects)
{
    const auto found = state.requests.requests.find(event.request);
    if (found == state.requests.requests.end())
        return;
    Request& request = found->second;
    effects.emplace_back(requestLine("caller-gone", request));
    countMetric(effects, "callers_gone_total", "service=\"" + request.call.service.value + "\"");
    const bool busy = request.phase == RequestPhase::InFlight || request.phase == RequestPhase::ResolvingRow;
    if (busy && !request.repeatable) {
        // A non-repeatable call runs on, so that its row holds the outcome when the caller sends it again.
        request.detached = true;
        return;
    }
    const ServiceId service = request.call.service;
    if (request.phase == RequestPhase::InFlight)
        effects.emplace_back(
            CancelAttempt { .host = request.host, .request = request.call.request, .attempt = request.attempt });
    removeRequest(state, request);
    dispatchQueued(state, service, effects);
}

void applyCallRowAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects)
{
    const auto found = state.requests.requests.find(RequestId { answer.token.number });
    if (found == state.requests.requests.end())
        return;
    const bool first = found->second.phase == RequestPhase::ReadingRow && found->second.attempt.value == 0;
    handleRowAnswer(state, found->second, answer, effects);
    if (first)
        queueOrRefuse(state, RequestId { answer.token.number }, effects);
}

void applyMembersToRequests(EntryState& state, EntryEffects& effects)
{
    refreshSubset(state, effects);
    dispatchAllQueued(state, effects);
}

void applySuspicions(EntryState& state, const std::vector<Suspicion>& suspicions, EntryEffects& effects)
{
    if (mergeSuspicions(state, suspicions))
        gossipSuspicions(state, effects);
}

void tickRequests(EntryState& state, EntryEffects& effects)
{
    auto& timers = state.requests.timers;
    while (!timers.empty() && timers.begin()->first <= state.now) {
        const RequestId id = timers.begin()->second;
        timers.erase(timers.begin());
        if (const auto found = state.requests.requests.find(id); found != state.requests.requests.end())
            wakeRequest(state, found->second, effects);
    }
    tickViews(state, effects);
    tickHealth(state, effects);
    expireSuspicions(state);
    dispatchAllQueued(state, effects);
    if (state.now >= state.requests.nextGauges && state.config.config)
        emitGauges(state, effects);
}

std::size_t requestsInProgress(const EntryState& state) { return state.requests.requests.size(); }

} // namespace hickory
