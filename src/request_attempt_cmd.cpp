#include "request_attempt_cmd.h"

#include "admission_func.h"
#include "request_cmd.h"
#include "request_dispatch_cmd.h"
#include "request_end_cmd.h"
#include "request_log_func.h"
#include "request_row_cmd.h"
#include "retry_cmd.h"
#include "suspect_cmd.h"
#include "upstream_view_cmd.h"
#include "upstream_view_health_cmd.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickory {

namespace {

    /// Weight of the newest sample in the smoothed latencies of a rank.
    constexpr double timeSmoothing = 0.1;
    /// Attempts remembered as ended as Unknown, for the case that the loss of the connection is reported later.
    constexpr std::size_t maxUnknownEnds = 256;
    /// Retry-After when an agent refused the request or another attempt of the call is running.
    constexpr Milliseconds refusalRetryAfter { 1000 };

    void smooth(double& value, double sample) { value = value > 0 ? value + timeSmoothing * (sample - value) : sample; }

    /// Adds the time in flight of a completed attempt to the latencies of its rank and credits the retry budget.
    void recordServiceTime(EntryState& state, const Request& request)
    {
        const auto pool = state.requests.pools.find(request.call.service);
        if (pool == state.requests.pools.end() || request.replay)
            return;
        RankStats& stats = pool->second.ranks[queueIndex(state, request.rank)];
        const auto time = static_cast<double>(std::max<std::int64_t>(1, (state.now - request.dispatchedAt).value));
        smooth(stats.msPerRequest, time);
        smooth(stats.msPerToken, time / static_cast<double>(std::max<std::uint64_t>(1, request.call.cost.value)));
        creditRetryBudget(state, pool->second);
    }

    /// @return true when the result counts against the health of the upstream
    bool isUpstreamFault(const DispatchResult& result)
    {
        switch (result.kind) {
        case DispatchResultKind::Unknown:
        case DispatchResultKind::Crashed:
            return true;
        case DispatchResultKind::Failed:
            return result.status == 0 || result.status >= 500;
        default:
            return false;
        }
    }

    /// Handles an attempt of which it is not known whether it ran. The call row decides for a non-repeatable request.
    void handleUnknown(EntryState& state, Request& request, std::string reason, EntryEffects& effects)
    {
        if (!request.repeatable) {
            resolveCallRow(state, request, effects);
            return;
        }
        retryOrFail(state, request,
            { .outcome = Outcome::Unknown, .status = 502, .reason = std::move(reason), .step = "dispatch" }, effects);
    }

    /// Handles an attempt that the upstream answered with an error.
    void handleFailed(EntryState& state, Request& request, const DispatchResult& result, EntryEffects& effects)
    {
        const RequestFailure failure { .outcome = Outcome::Ran,
            .status = result.status >= 400 ? result.status : std::uint16_t { 502 },
            .reason = result.reason.empty() ? "upstream-failed" : result.reason,
            .step = "upstream" };
        if (request.repeatable && isUpstreamFault(result))
            retryOrFail(state, request, failure, effects);
        else
            failRequest(state, request, failure, effects);
    }

    /// Handles an attempt that the agent did not start because of what the call row records.
    void handleRecorded(EntryState& state, Request& request, const DispatchResult& result, EntryEffects& effects)
    {
        RequestFailure failure { .outcome = Outcome::Unknown, .status = 503, .step = "call-row" };
        if (result.kind == DispatchResultKind::KeyConflict) {
            failure.outcome = Outcome::NotRun;
            failure.status = 409;
            failure.reason = "key-conflict";
        } else if (result.kind == DispatchResultKind::RecordedRunning) {
            failure.reason = "running";
            failure.retryAfter = refusalRetryAfter;
        } else {
            failure.reason = "recorded-unknown";
        }
        failRequest(state, request, std::move(failure), effects);
    }

    void markSuspect(EntryState& state, const Request& request, EntryEffects& effects)
    {
        if (recordCrash(state, { request.call.service, request.call.requestDigest }, request.host, effects))
            gossipSuspicions(state, effects);
    }

    void handleAttemptEnd(EntryState& state, Request& request, const DispatchResult& result, EntryEffects& effects)
    {
        const bool lostByCrash = std::exchange(request.lostByCrash, false);
        switch (result.kind) {
        case DispatchResultKind::Completed:
            clearSuspicion(state, request, effects);
            [[fallthrough]];
        case DispatchResultKind::RecordedDone:
            finishRequest(state, request, effects);
            break;
        case DispatchResultKind::NotRun:
            retryOrFail(state, request,
                { .outcome = Outcome::NotRun,
                    .status = 503,
                    .reason = result.reason.empty() ? "agent-refused" : result.reason,
                    .retryAfter = refusalRetryAfter,
                    .step = "agent" },
                effects);
            break;
        case DispatchResultKind::Failed:
            handleFailed(state, request, result, effects);
            break;
        case DispatchResultKind::Crashed:
            markSuspect(state, request, effects);
            handleUnknown(state, request, "upstream-crashed", effects);
            break;
        case DispatchResultKind::Unknown:
            if (lostByCrash)
                markSuspect(state, request, effects);
            handleUnknown(state, request, result.reason.empty() ? "no-answer" : result.reason, effects);
            break;
        case DispatchResultKind::Preempted:
            if (request.repeatable)
                requeuePreempted(state, request, effects);
            else
                handleUnknown(state, request, "preempted", effects);
            break;
        case DispatchResultKind::RecordedRunning:
        case DispatchResultKind::RecordedUnknown:
        case DispatchResultKind::KeyConflict:
            handleRecorded(state, request, result, effects);
            break;
        }
    }

    /// Remembers an attempt that ended as Unknown, because the loss of its connection may be reported only afterwards.
    void rememberUnknown(EntryState& state, UpstreamView& view, const Request& request)
    {
        view.unknowns.emplace_back(state.now, std::pair { request.call.service, request.call.requestDigest });
        if (view.unknowns.size() > maxUnknownEnds)
            view.unknowns.pop_front();
    }

    void logLateAnswer(const RequestId& request, Attempt attempt, const HostId& host, EntryEffects& effects)
    {
        effects.emplace_back(LogLine { .event = "late-answer",
            .fields = { { "request", requestIdText(request) }, { "attempt", std::to_string(attempt.value) },
                { "host", host.value }, { "reason", "attempt-is-over" } } });
        countMetric(effects, "late_answers_total", "");
    }

} // namespace

void abandonAttempt(EntryState& state, Request& request, const char* reason, EntryEffects& effects)
{
    effects.emplace_back(
        CancelAttempt { .host = request.host, .request = request.call.request, .attempt = request.attempt });
    UpstreamView& view = state.requests.views.views[request.upstream];
    const ServiceId service = request.call.service;
    releaseAttempt(state, request);
    request.phase = RequestPhase::Backoff;
    recordAttemptEnd(state, view, true, effects);
    if (std::exchange(request.lostByCrash, false))
        markSuspect(state, request, effects);
    handleUnknown(state, request, reason, effects);
    dispatchQueued(state, service, effects);
}

bool versionAvailable(const EntryState& state, const Request& request)
{
    const auto& views = state.requests.views.views;
    return std::any_of(views.begin(), views.end(), [&](const UpstreamView& view) {
        return view.connected && view.status.service == request.call.service && view.status.version == request.version;
    });
}

bool versionMayReturn(const EntryState& state, const Request& request)
{
    const auto& views = state.requests.views.views;
    return std::any_of(views.begin(), views.end(), [&](const UpstreamView& view) {
        const bool wasHeard = !view.status.service.value.empty();
        return !view.connected
            && (!wasHeard || (view.status.service == request.call.service && view.status.version == request.version));
    });
}

void applyFirstPart(EntryState& state, const FirstPart& event, EntryEffects& effects)
{
    const auto found = state.requests.requests.find(event.request);
    if (found == state.requests.requests.end() || found->second.phase != RequestPhase::InFlight
        || found->second.attempt != event.attempt) {
        logLateAnswer(event.request, event.attempt, event.host, effects);
        return;
    }
    Request& request = found->second;
    request.firstPart = true;
    const Milliseconds latency = state.now - request.dispatchedAt;
    recordFirstPart(state.requests.views.views[request.upstream], latency);
    if (const auto pool = state.requests.pools.find(request.call.service); pool != state.requests.pools.end()) {
        RankStats& stats = pool->second.ranks[queueIndex(state, request.rank)];
        const auto sample = static_cast<double>(latency.value);
        stats.firstPartDeviationMs
            += timeSmoothing * (std::abs(sample - stats.firstPartMs) - stats.firstPartDeviationMs);
        smooth(stats.firstPartMs, sample);
    }
    if (request.delivered == 0)
        observeMetric(effects, "first_part_ms",
            "service=\"" + request.call.service.value + "\",rank=\"" + request.call.rank + "\"",
            state.now - request.arrived);
}

void applyAttemptEnded(EntryState& state, const AttemptEnded& event, EntryEffects& effects)
{
    if (!event.result.load.host.empty())
        if (UpstreamView* view = findView(state, event.result.load.host))
            updateViewStatus(state, *view, event.result.load);
    const auto found = state.requests.requests.find(event.request);
    if (found == state.requests.requests.end() || found->second.phase != RequestPhase::InFlight
        || found->second.attempt != event.attempt) {
        logLateAnswer(event.request, event.attempt, event.host, effects);
        return;
    }
    Request& request = found->second;
    UpstreamView& view = state.requests.views.views[request.upstream];
    request.delivered = std::max(request.delivered, event.delivered);
    request.firstPart = false; // superseded by the count of delivered parts
    if (event.result.kind == DispatchResultKind::Completed)
        recordServiceTime(state, request);
    if (event.result.kind == DispatchResultKind::Unknown && !request.connectionLost)
        rememberUnknown(state, view, request);
    const ServiceId service = request.call.service;
    releaseAttempt(state, request);
    request.phase = RequestPhase::Backoff;
    recordAttemptEnd(state, view, isUpstreamFault(event.result), effects);
    handleAttemptEnd(state, request, event.result, effects);
    dispatchQueued(state, service, effects);
}

} // namespace hickory
