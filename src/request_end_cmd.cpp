#include "request_end_cmd.h"

#include "admission_func.h"
#include "admission_queue_func.h"
#include "outcome_func.h"
#include "request_log_func.h"
#include "route_room_cmd.h"

#include <algorithm>

namespace hickory {

void setWake(EntryState& state, Request& request, Milliseconds at)
{
    state.requests.timers.erase({ request.wakeAt, request.call.request });
    // Resolving a call row may go on past the deadline, because the outcome must be reported.
    request.wakeAt = request.phase == RequestPhase::ResolvingRow ? at : std::min(at, request.deadline);
    state.requests.timers.emplace(request.wakeAt, request.call.request);
}

void releaseAttempt(EntryState& state, Request& request)
{
    if (request.phase != RequestPhase::InFlight)
        return;
    request.connectionLost = false;
    UpstreamView& view = state.requests.views.views[request.upstream];
    const std::size_t rank = request.rank.value;
    if (view.requests.erase(request.call.request) > 0) {
        --view.ownTotal;
        if (rank < view.own.size() && view.own[rank] > 0)
            --view.own[rank];
        if (request.suspect && view.suspects > 0)
            --view.suspects;
    }
    const auto pool = state.requests.pools.find(request.call.service);
    if (pool == state.requests.pools.end())
        return;
    std::uint32_t& tierLoad = pool->second.upstreams.inFlight[view.tier];
    tierLoad -= std::min(tierLoad, 1U);
    RankStats& stats = pool->second.ranks[queueIndex(state, request.rank)];
    stats.inFlight -= std::min(stats.inFlight, 1U);
    stats.inFlightTokens -= std::min(stats.inFlightTokens, request.call.cost.value);
    refreshRoom(state, request.upstream);
}

void dequeueRequest(EntryState& state, Request& request)
{
    if (request.phase != RequestPhase::Queued)
        return;
    --state.requests.queued;
    if (const auto share = state.requests.workspaces.find(request.call.workspace);
        share != state.requests.workspaces.end() && share->second.queued > 0)
        --share->second.queued;
    const auto pool = state.requests.pools.find(request.call.service);
    if (pool == state.requests.pools.end())
        return;
    const std::size_t index = queueIndex(state, request.rank);
    if (request.constrained)
        pool->second.constrained.erase({ static_cast<std::uint8_t>(index), request.sequence });
    else
        removeItem(pool->second.queues[index], flowKey(state, request.call.workspace), request.sequence);
}

void removeRequest(EntryState& state, Request& request)
{
    releaseAttempt(state, request);
    dequeueRequest(state, request);
    state.requests.timers.erase({ request.wakeAt, request.call.request });
    const RequestId id = request.call.request;
    state.requests.requests.erase(id);
}

void finishRequest(EntryState& state, Request& request, EntryEffects& effects)
{
    const std::string labels = "service=\"" + request.call.service.value + "\",rank=\"" + request.call.rank + "\"";
    countMetric(effects, "requests_finished_total", labels);
    observeMetric(effects, "request_ms", labels, state.now - request.arrived);
    LogLine line = requestLine("finish", request);
    line.fields.emplace_back("host", request.host.value);
    line.fields.emplace_back("attempt", std::to_string(request.attempt.value));
    effects.emplace_back(std::move(line));
    if (!request.detached)
        effects.emplace_back(FinishRequest { .request = request.call.request });
    removeRequest(state, request);
}

void failRequest(EntryState& state, Request& request, RequestFailure failure, EntryEffects& effects)
{
    if (failure.outcome == Outcome::NotRun && request.mayHaveRun)
        failure.outcome = Outcome::Unknown;
    const bool broken = request.delivered > 0 || request.firstPart;
    LogLine line = requestLine(broken ? "break" : "refuse", request);
    line.fields.emplace_back("outcome", outcomeName(failure.outcome));
    line.fields.emplace_back("reason", failure.reason);
    line.fields.emplace_back("step", failure.step);
    line.fields.emplace_back("host", request.host.value);
    effects.emplace_back(std::move(line));
    countMetric(effects, broken ? "requests_broken_total" : "requests_refused_total",
        "service=\"" + request.call.service.value + "\",rank=\"" + request.call.rank + "\",reason=\"" + failure.reason
            + "\",outcome=\"" + outcomeName(failure.outcome) + "\"");
    if (request.detached) {
        // The caller has disconnected: nothing to report.
    } else if (broken) {
        effects.emplace_back(AbortRequest { .request = request.call.request, .reason = failure.reason });
    } else {
        effects.emplace_back(FailRequest { .request = request.call.request,
            .outcome = failure.outcome,
            .status = failure.status,
            .reason = std::move(failure.reason),
            .retryAfter = failure.retryAfter,
            .step = std::move(failure.step),
            .peer = request.host });
    }
    removeRequest(state, request);
}

} // namespace hickory
