#include "begun_request_func.h"
#include "cold_start_cmd.h"
#include "crash_func.h"
#include "home_region_func.h"
#include "relay_budget_func.h"
#include "relay_cmd.h"
#include "relay_place_func.h"
#include "table/cold_start_limits.h"
#include "table/relay_limits.h"
#include "upstream_load_func.h"
#include "upstream_notice_cmd.h"
#include "wire_head_type.h"

#include <algorithm>
#include <utility>

namespace hickory {

namespace {

    constexpr std::uint16_t statusMisdirected = 421;
    constexpr std::uint16_t statusServerError = 500;

    /// @return the request, if the send is in flight or its backup, or nullptr for an event of an earlier send
    RelayRequest* findRequest(RelayState& state, CallId call, SendId send)
    {
        const auto found = state.requests.find(call);
        if (found == state.requests.end())
            return nullptr;
        const auto is = [&](const std::optional<ActiveSend>& known) { return known && known->send == send; };
        return is(found->second.active) || is(found->second.backup) ? &found->second : nullptr;
    }

    bool isBackup(const RelayRequest& request, SendId send) { return request.backup && request.backup->send == send; }

    /// Keeps the send that answered first, as the one in flight, and cancels the other.
    void keepSend(RelayState& state, RelayRequest& request, SendId answered, Milliseconds now, RelayEffects& effects)
    {
        if (!request.backup)
            return;
        if (isBackup(request, answered))
            std::swap(request.active, request.backup);
        LogLine line = requestLogLine("backup-ends", request, now);
        line.fields.emplace_back("kept", request.active->upstream.value);
        line.fields.emplace_back("cancelled", request.backup->upstream.value);
        effects.emplace_back(std::move(line));
        releaseBackup(state, request, true, effects);
    }

    bool isEngineRequest(const RelayRequest& request) { return !request.metadata.model.empty(); }

    /// @return the version that the engine is known to hold, or nothing while any version may be used
    std::optional<WeightsVersion> expectedWeights(
        const RelayState& state, const RelayUpstream& view, const RelayRequest& request, Milliseconds now)
    {
        const HeldModel* held = heldModel(view, request.metadata.model);
        if (!held || requiredWeights(state, request.metadata.model, now).value == 0)
            return std::nullopt;
        return held->version;
    }

    /// Adds the time of a whole success to the mean of its service.
    void recordAnswerTime(RelayServiceState& service, Milliseconds time)
    {
        constexpr double answerWeight = 0.05;
        const auto taken = static_cast<double>(time.value);
        service.meanAnswerMs
            = service.meanAnswerMs == 0 ? taken : service.meanAnswerMs + answerWeight * (taken - service.meanAnswerMs);
    }

    /// Finishes the response to the caller, records its outcome and removes the request.
    /// @pre the response of the send in flight is whole
    void completeRequest(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects)
    {
        const ActiveSend send = *request.active;
        const bool success = isSuccess(send.status);
        recordUpstreamResponse(state, send.upstream, success);
        LogLine line = requestLogLine("answer", request, now);
        line.fields.emplace_back("status", std::to_string(send.status));
        line.fields.emplace_back("upstream", send.upstream.value);
        line.fields.emplace_back("sends", std::to_string(request.sends));
        if (request.firstEventAt.value != 0)
            line.fields.emplace_back(
                "first_event_ms", std::to_string((request.firstEventAt - request.arrivedAt).value));
        line.fields.emplace_back("end", send.closedAt ? "closed" : "framed");
        line.fields.emplace_back("last_event", request.lastEventId);
        line.fields.emplace_back("prompt_tokens", std::to_string(request.metadata.promptTokens));
        line.fields.emplace_back("sent_ms", std::to_string((send.sentAt - request.arrivedAt).value));
        effects.emplace_back(std::move(line));
        effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Observe,
            .name = "answer_ms",
            .labels = "service=\"" + request.service.value + "\",rank=\"" + std::to_string(request.route->rank) + "\"",
            .value = static_cast<double>((now - request.arrivedAt).value) });
        if (send.prefilling && success)
            recordBegun(state, request, now, effects);
        if (success)
            recordAnswerTime(state.services[request.service], now - send.sentAt);
        releaseSend(state, request, false, effects);
        releaseBackup(state, request, true, effects);
        if (!request.headForwarded)
            effects.emplace_back(ForwardResponse { .call = request.call, .send = send.send });
        effects.emplace_back(FinishResponse { .call = request.call, .send = send.send });
        const ServiceId service = request.service;
        state.requests.erase(request.call);
        dispatchWaiting(state, service, now, effects);
    }

    /// @return whether the response of a send, once it is whole, may be given to the caller
    bool isValidAnswer(const RelayRequest& request, const ActiveSend& send)
    {
        // If the caller already has the head of a stream, a response that does not continue it must not complete it.
        const bool continuesStream = !request.headForwarded || send.stream;
        return isSuccess(send.status) ? send.sealed && continuesStream : !request.headForwarded;
    }

    /// An upstream that accepts no connection may have started again once it accepts one. A single time-out may be a
    /// lost packet, and after a standstill of this process the fault is its own.
    void recordNoConnection(
        RelayState& state, const UpstreamId& upstream, ConnectFailure failure, Milliseconds now, RelayEffects& effects)
    {
        constexpr std::uint32_t minUnanswered = 2;
        const auto view = state.upstreams.find(upstream);
        if (view == state.upstreams.end() || failure == ConnectFailure::Local)
            return;
        const bool stoodStill = state.resumedAt && now - *state.resumedAt < coldSettleTime;
        if (failure == ConnectFailure::Unanswered && (stoodStill || ++view->second.unansweredConnects < minUnanswered))
            return;
        assumeCold(state, view->second, ColdCause::Silence, now, effects);
    }

    /// Ends the send in flight: completes the request, retries it or refuses it.
    /// @param end not Unconfirmed
    /// @param failure for NotSent
    void endSend(RelayState& state, RelayRequest& request, SendResult end, ConnectFailure failure, Milliseconds now,
        RelayEffects& effects)
    {
        const UpstreamId upstream = request.active->upstream;
        const std::uint16_t status = request.active->status;
        const bool isComplete = end == SendResult::Complete;
        if (isComplete && isValidAnswer(request, *request.active)) {
            const bool mayRepeat = request.sends < request.route->maxAttempts
                && mayRetry(state.services[request.service].retries, state.options, state.entryCount, now);
            if (status >= statusServerError && request.route->kind == CallKind::Idempotent
                && (request.backup || mayRepeat)) {
                recordUpstreamResponse(state, upstream, false);
                request.excludedUpstreams.insert(upstream);
                releaseSend(state, request, false, effects);
                retryElsewhere(state, request, SendFailure::MayHaveRun, "upstream-error", now, effects);
                return;
            }
            completeRequest(state, request, now, effects);
            return;
        }
        const ServiceId service = request.service;
        const bool notSent = end == SendResult::NotSent;
        if (end == SendResult::Broken)
            recordBrokenSend(state, request, *request.active, now, effects);
        recordUpstreamFailure(state, upstream, notSent ? "connect" : isComplete ? "unsealed" : "broken", now, effects);
        if (notSent)
            recordNoConnection(state, upstream, failure, now, effects);
        request.excludedUpstreams.insert(upstream);
        releaseSend(state, request, false, effects);
        if (notSent) {
            --request.sends;
            ++request.connectFailures;
        }
        retryElsewhere(state, request,
            notSent                         ? SendFailure::NotSent
                : end == SendResult::Broken ? SendFailure::CutOff
                                            : SendFailure::MayHaveRun,
            notSent ? "connect" : "broken", now, effects);
        dispatchWaiting(state, service, now, effects);
    }

    /// Ends the backup of a request, which goes on with its send in flight.
    void endBackup(RelayState& state, RelayRequest& request, SendResult end, ConnectFailure failure, Milliseconds now,
        RelayEffects& effects)
    {
        const UpstreamId upstream = request.backup->upstream;
        const bool notSent = end == SendResult::NotSent;
        if (end == SendResult::Broken)
            recordBrokenSend(state, request, *request.backup, now, effects);
        if (end == SendResult::Complete)
            recordUpstreamResponse(state, upstream, false);
        else
            recordUpstreamFailure(state, upstream, notSent ? "connect" : "broken", now, effects);
        if (notSent)
            recordNoConnection(state, upstream, failure, now, effects);
        request.excludedUpstreams.insert(upstream);
        if (notSent)
            --request.sends;
        releaseBackup(state, request, false, effects);
        dispatchWaiting(state, request.service, now, effects);
    }

    /// Asks an upstream whether it still runs, so that answers that ended with their connections are whole.
    void probeForAnswers(const RelayState& state, const UpstreamId& upstream, RelayEffects& effects)
    {
        const UpstreamEntry& entry = state.upstreams.at(upstream).entry;
        effects.emplace_back(ProbeUpstream { .upstream = upstream,
            .address = entry.address,
            .statusPath = statusPathOf(state, entry.service),
            .timeout = answerProbeTimeout });
    }

    const char* probeResultName(ProbeResult result)
    {
        switch (result) {
        case ProbeResult::Accepted:
            return "accepted";
        case ProbeResult::Refused:
            return "refused";
        case ProbeResult::Unreachable:
            break;
        }
        return "unreachable";
    }

    /// @return requests whose answers from an upstream ended with their connections up to a moment
    std::vector<CallId> unconfirmedAnswers(const RelayState& state, const UpstreamId& upstream, Milliseconds until)
    {
        std::vector<CallId> calls;
        for (const auto& [call, request] : state.requests)
            if (request.active && request.active->upstream == upstream && request.active->closedAt
                && *request.active->closedAt <= until)
                calls.push_back(call);
        return calls;
    }

} // namespace

namespace {

    /// Gives a request to an upstream.
    ActiveSend startSend(
        RelayState& state, RelayRequest& request, const UpstreamId& upstream, Milliseconds now, RelayEffects& effects)
    {
        RelayUpstream& view = state.upstreams.at(upstream);
        RelayServiceState& service = state.services[request.service];
        std::erase_if(service.withoutWeightsSince, [&](const auto& item) {
            return allowsRegion(item.first, regionOf(state.options.regions, view.entry.dataCentre));
        });
        const std::uint32_t earlierSends = request.sends + request.turnedAway;
        if (earlierSends == 0)
            countFirstSend(service.retries, now, state.options.retryWindow);
        service.dispatches.push_back({ .at = now, .dataCentre = view.entry.dataCentre });
        while (!service.dispatches.empty() && now - service.dispatches.front().at > dispatchRateWindow)
            service.dispatches.pop_front();
        ++request.sends;
        const ActiveSend send {
            .send = { ++state.lastSend }, .upstream = upstream, .sentAt = now, .lastProgressAt = now
        };
        if (view.sent == 0)
            view.lastHeardAt = now;
        countSend(state, view, now);
        ++view.sent;
        ++view.unbegun;
        view.prefillTokens += request.metadata.promptTokens;
        LogLine line = requestLogLine("send", request, now);
        line.fields.emplace_back("upstream", upstream.value);
        line.fields.emplace_back("try", std::to_string(earlierSends + 1));
        line.fields.emplace_back("load", std::to_string(upstreamLoad(state, view, now).requests));
        line.fields.emplace_back("slots", std::to_string(view.entry.slots));
        if (const auto age = slowdownAge(view, now); age && statesSlowdown(state, request.service, now)) {
            line.fields.emplace_back("slowdown", std::to_string(expectedSlowdown(view, now)));
            line.fields.emplace_back("load_age_ms", std::to_string(age->value));
        }
        if (const HeldModel* held = heldModel(view, request.metadata.model)) {
            line.fields.emplace_back("weights", std::to_string(held->version.value));
            line.fields.emplace_back(
                "required", std::to_string(requiredWeights(state, request.metadata.model, now).value));
        }
        if (request.active)
            line.fields.emplace_back("beside", request.active->upstream.value);
        if (const UpstreamStanding* standing = findStanding(state, view); standing && standing->requestsPerSecond)
            line.fields.emplace_back("limit", std::to_string(*standing->requestsPerSecond));
        if (suspicionHold(state.crashes, request.traits, now)) {
            state.crashes.trial = request.call;
            line.fields.emplace_back("trial_traits", traitsText(request.traits));
        }
        effects.emplace_back(std::move(line));
        effects.emplace_back(SendToUpstream { .call = request.call,
            .send = send.send,
            .upstream = upstream,
            .address = view.entry.address,
            .timeLeft = request.deadlineAt - now,
            .urgency = isEngineRequest(request) && state.options.queuePolicy == RelayQueuePolicy::Urgency
                ? std::optional(request.urgency)
                : std::nullopt,
            .workspace = request.workspace,
            .expectVersion = expectedWeights(state, view, request, now),
            .resumeAfter = request.lastEventId,
            .expectsStream = request.route->kind == CallKind::Stream,
            .avoidStaleConnection = request.route->kind == CallKind::NonIdempotent,
            .newConnection = earlierSends > 0 });
        return send;
    }

    /// Takes a send, if there is one, off its upstream's load.
    void dropSend(RelayState& state, const RelayRequest& request, std::optional<ActiveSend>& send, bool cancel,
        RelayEffects& effects)
    {
        if (!send)
            return;
        const auto found = state.upstreams.find(send->upstream);
        if (found != state.upstreams.end()) {
            RelayUpstream& view = found->second;
            --view.sent;
            if (!send->headReceived)
                --view.unbegun;
            if (send->prefilling)
                view.prefillTokens -= request.metadata.promptTokens;
            if (!view.listed && view.sent == 0)
                state.upstreams.erase(found);
        }
        if (cancel)
            effects.emplace_back(CancelSend { .call = request.call, .send = send->send });
        send.reset();
    }

} // namespace

void sendRequest(
    RelayState& state, RelayRequest& request, const UpstreamId& upstream, Milliseconds now, RelayEffects& effects)
{
    request.active = startSend(state, request, upstream, now, effects);
}

void sendBackup(
    RelayState& state, RelayRequest& request, const UpstreamId& upstream, Milliseconds now, RelayEffects& effects)
{
    request.backup = startSend(state, request, upstream, now, effects);
}

void releaseSend(RelayState& state, RelayRequest& request, bool cancel, RelayEffects& effects)
{
    if (request.active)
        removeFromQueue(state, request);
    dropSend(state, request, request.active, cancel, effects);
}

void releaseBackup(RelayState& state, RelayRequest& request, bool cancel, RelayEffects& effects)
{
    dropSend(state, request, request.backup, cancel, effects);
}

void applyResponseStarted(RelayState& state, const ResponseStarted& event, Milliseconds now, RelayEffects& effects)
{
    RelayRequest* request = findRequest(state, event.call, event.send);
    if (!request)
        return;
    const bool fromBackup = isBackup(*request, event.send);
    ActiveSend& send = fromBackup ? *request->backup : *request->active;
    const UpstreamId upstream = send.upstream;
    RelayUpstream& view = state.upstreams.at(upstream);
    removeFromQueue(state, *request);
    recordUpstreamAlive(state, upstream, send.sentAt);
    view.lastHeardAt = now;
    view.answeredAt = now;
    view.unansweredConnects = 0;
    if (!send.headReceived)
        --view.unbegun;
    if (std::exchange(view.standsStill, false))
        assumeCold(state, view, ColdCause::Silence, now, effects);
    send.headReceived = true;
    send.status = event.status;
    send.sealed = event.sealed;
    send.stream = event.stream;
    send.lastProgressAt = now;
    // Another process may have answered for the address, or something that is no answer of an upstream.
    if (event.status != statusMisdirected && (event.sealed || event.notRun || event.notice.pause.value > 0))
        recordNotice(state, view, event.notice, now, effects);
    if (event.status != statusMisdirected && (event.sealed || event.notRun))
        recordStatedLoad(state, view, event.notice.load, now);
    // After a pause one request at a time shows whether it takes more. What was sent before does not.
    view.onProbation = send.sentAt < pausedUntil(state, view);
    if (event.notRun || event.status == statusMisdirected) {
        const bool misdirected = event.status == statusMisdirected;
        view.fullUntil = now + fullBackoff;
        if (misdirected)
            request->excludedUpstreams.insert(upstream);
        LogLine line = requestLogLine("not-run", *request, now);
        line.fields.emplace_back("upstream", upstream.value);
        line.fields.emplace_back("status", std::to_string(event.status));
        effects.emplace_back(std::move(line));
        if (fromBackup) {
            --request->sends;
            releaseBackup(state, *request, true, effects);
            return;
        }
        releaseSend(state, *request, true, effects);
        retryElsewhere(
            state, *request, SendFailure::NotRun, misdirected ? "misdirected" : "upstream-full", now, effects);
        return;
    }
    const bool isSound = isSuccess(event.status) && event.sealed;
    if (isSound && !request->headForwarded)
        keepSend(state, *request, event.send, now, effects);
    if (isSound && request->route->kind == CallKind::Stream && event.stream) {
        if (!request->headForwarded)
            effects.emplace_back(ForwardResponse { .call = event.call, .send = event.send });
        request->headForwarded = true;
    }
}

void applyStreamProgressed(RelayState& state, const StreamProgressed& event, Milliseconds now, RelayEffects& effects)
{
    RelayRequest* request = findRequest(state, event.call, event.send);
    if (!request)
        return;
    if (isBackup(*request, event.send)
        && !(request->backup->stream && isSuccess(request->backup->status) && request->backup->sealed))
        return;
    keepSend(state, *request, event.send, now, effects);
    ActiveSend& send = *request->active;
    RelayUpstream& view = state.upstreams.at(send.upstream);
    view.lastHeardAt = now;
    view.answeredAt = now;
    send.lastProgressAt = now;
    recordUpstreamAlive(state, send.upstream, send.sentAt);
    request->resumePointKnown = !event.lastEventId.empty();
    if (request->resumePointKnown)
        request->lastEventId = event.lastEventId;
    if (request->headForwarded && request->route->patience.value > 0)
        request->leavesAt = now + request->route->patience;
    if (request->events++ == 0) {
        request->firstEventAt = now;
        effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Observe,
            .name = "first_event_ms",
            .labels
            = "service=\"" + request->service.value + "\",rank=\"" + std::to_string(request->route->rank) + "\"",
            .value = static_cast<double>((now - request->arrivedAt).value) });
    }
    if (send.prefilling) {
        send.prefilling = false;
        view.prefillTokens -= request->metadata.promptTokens;
        recordBegun(state, *request, now, effects);
    }
}

void applyResponseEnded(RelayState& state, const ResponseEnded& event, Milliseconds now, RelayEffects& effects)
{
    RelayRequest* request = findRequest(state, event.call, event.send);
    if (!request)
        return;
    if (isBackup(*request, event.send)) {
        const bool isAnswer = event.end == SendResult::Complete && isValidAnswer(*request, *request->backup)
            && request->backup->status < statusServerError;
        if (!isAnswer) {
            endBackup(state, *request, event.end, event.failure, now, effects);
            return;
        }
        keepSend(state, *request, event.send, now, effects);
    }
    if (event.end != SendResult::Unconfirmed) {
        endSend(state, *request, event.end, event.failure, now, effects);
        return;
    }
    releaseBackup(state, *request, true, effects);
    const UpstreamId& upstream = request->active->upstream;
    const std::vector<CallId> others = unconfirmedAnswers(state, upstream, now);
    const bool probing = std::any_of(others.begin(), others.end(),
        [&](const CallId call) { return state.requests.at(call).active->closedAt == now; });
    request->active->closedAt = now;
    if (probing)
        return;
    probeForAnswers(state, upstream, effects);
}

void confirmAnswers(RelayState& state, const UpstreamProbed& event, Milliseconds now, RelayEffects& effects)
{
    const bool isSilent
        = event.result == ProbeResult::Unreachable && (event.mustAnswer || now - event.startedAt >= answerProbeTimeout);
    bool asksAgain = false;
    for (const CallId call : unconfirmedAnswers(state, event.upstream, event.startedAt)) {
        const auto found = state.requests.find(call);
        if (found == state.requests.end() || !found->second.active)
            continue;
        if (isSilent && now - *found->second.active->closedAt < maxSoundSilence) {
            asksAgain = !event.mustAnswer;
            continue;
        }
        const bool isComplete = event.result == ProbeResult::Accepted;
        LogLine line = requestLogLine(isComplete ? "answer-confirmed" : "answer-unconfirmed", found->second, now);
        line.fields.emplace_back("upstream", event.upstream.value);
        line.fields.emplace_back("probe", probeResultName(event.result));
        line.fields.emplace_back("last_event", found->second.lastEventId);
        effects.emplace_back(std::move(line));
        if (!isComplete)
            effects.emplace_back(MetricSample { .name = "unconfirmed_answers_total",
                .labels = "probe=\"" + std::string(probeResultName(event.result)) + "\"" });
        endSend(state, found->second, isComplete ? SendResult::Complete : SendResult::Broken, ConnectFailure::Refused,
            now, effects);
    }
    if (asksAgain)
        probeForAnswers(state, event.upstream, effects);
}

} // namespace hickory
