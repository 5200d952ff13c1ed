#include "begun_request_func.h"
#include "crash_func.h"
#include "relay_admit_func.h"
#include "relay_budget_func.h"
#include "relay_cmd.h"
#include "relay_place_func.h"
#include "table/relay_limits.h"

#include <algorithm>
#include <utility>

namespace hickory {

namespace {

    bool isEngineRequest(const RelayRequest& request) { return !request.metadata.model.empty(); }

    /// Updates for each upstream how long its requests have waited for a response.
    void updateLongestWaits(RelayState& state, Milliseconds now)
    {
        for (auto& [id, view] : state.upstreams)
            view.longestWait = {};
        const auto count = [&](const std::optional<ActiveSend>& send) {
            const auto view
                = send && !send->headReceived ? state.upstreams.find(send->upstream) : state.upstreams.end();
            if (view != state.upstreams.end())
                view->second.longestWait = std::max(view->second.longestWait, now - send->sentAt);
        };
        for (const auto& [call, request] : state.requests) {
            count(request.active);
            count(request.backup);
        }
    }

    /// @return the send of a request that was started last
    const ActiveSend& lastSend(const RelayRequest& request)
    {
        return request.backup ? *request.backup : *request.active;
    }

    /// @return how long a request may wait at a plain upstream before it gets a backup
    Milliseconds plainSilenceTimeout(const RelayState& state, const RelayRequest& request)
    {
        const auto service = state.services.find(request.service);
        const double meanAnswerMs = service == state.services.end() ? 0 : service->second.meanAnswerMs;
        return std::max({ minPlainSilenceTimeout, request.route->objective * plainSilenceObjectiveFactor,
            Milliseconds { static_cast<std::int64_t>(meanAnswerMs * plainSilenceAnswerFactor) } });
    }

    /// @return whether the last send of a request waits for longer than a sound upstream lets it wait
    bool isTooSilent(const RelayState& state, const RelayRequest& request, Milliseconds now)
    {
        const ActiveSend& send = lastSend(request);
        const auto view = state.upstreams.find(send.upstream);
        if (view == state.upstreams.end())
            return false;
        const bool engine = isEngineRequest(request);
        // An engine that answers its agent reads the prompts that came before.
        const bool reads = engine && !send.headReceived && reportedLately(view->second, now);
        const Milliseconds limit = !engine ? plainSilenceTimeout(state, request)
            : reads                        ? maxSoundSilence
            : view->second.standsStill     ? engineStallTimeout
                                           : engineSilenceTimeout;
        return now - send.lastProgressAt > limit && (!engine || now - view->second.lastHeardAt > limit);
    }

    /// Sends an upstream no more requests until it answers a status request.
    void suspect(RelayState& state, const UpstreamId& upstream, Milliseconds now, RelayEffects& effects)
    {
        recordUpstreamFailure(state, upstream, "silent", now, effects);
        state.upstreams.at(upstream).standsStill = true;
    }

    /// Sends a request that stays at a silent upstream to another one as well, if one can begin at once.
    void startBackup(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects)
    {
        const UpstreamId silent = request.active->upstream;
        const auto upstream = chooseBeside(state, request, now);
        if (!upstream || !takeRetry(state.services[request.service].retries, state.options, state.entryCount, now))
            return;
        request.mayHaveRun = true;
        request.excludedUpstreams.insert(silent);
        LogLine line = requestLogLine("backup", request, now);
        line.fields.emplace_back("silent", silent.value);
        line.fields.emplace_back("silent_ms", std::to_string((now - request.active->lastProgressAt).value));
        line.fields.emplace_back("resume_after", request.lastEventId);
        effects.emplace_back(std::move(line));
        effects.emplace_back(
            MetricSample { .name = "backups_total", .labels = "service=\"" + request.service.value + "\"" });
        suspect(state, silent, now, effects);
        sendBackup(state, request, *upstream, now, effects);
    }

    /// Sends a request that lies unbegun at a silent engine to another one instead, if one can begin it at once and in
    /// time.
    /// @return whether it did
    bool moveFromSilent(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects)
    {
        const bool isLate = mayEnd(request, EndCause::Lateness) && cannotMeetDeadline(request, now);
        if (isLate || !chooseBeside(state, request, now))
            return false;
        request.excludedUpstreams.insert(request.active->upstream);
        releaseSend(state, request, true, effects);
        retryElsewhere(state, request, SendFailure::TakenBack, "silent", now, effects);
        return true;
    }

    /// @pre isTooSilent()
    void handleSilence(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects)
    {
        const UpstreamId upstream = lastSend(request).upstream;
        const bool staysThere = !mayTakeBack(request, lastSend(request));
        if (request.backup) {
            if (staysThere)
                return;
            suspect(state, upstream, now, effects);
            request.excludedUpstreams.insert(upstream);
            releaseBackup(state, request, true, effects);
            return;
        }
        if (staysThere) {
            startBackup(state, request, now, effects);
            return;
        }
        if (!request.queued)
            suspect(state, upstream, now, effects);
        if (moveFromSilent(state, request, now, effects) || request.queued)
            return;
        // The engine may be sound and about to begin it.
        LogLine line = requestLogLine("hold", request, now);
        line.fields.emplace_back("reason", "silent");
        line.fields.emplace_back("upstream", upstream.value);
        line.fields.emplace_back("silent_ms", std::to_string((now - request.active->lastProgressAt).value));
        effects.emplace_back(std::move(line));
        enqueueRequest(state, request, now);
    }

    /// @return whether a stream that its caller has in part may leave an engine that has not begun it although its
    /// attempts are used up: it uses up none there. The engine must have been silent for longer than a sound one, else
    /// it may be about to begin, behind a slow link, and then one more engine would run the stream than its route
    /// allows.
    bool mayLeaveUnbegun(const RelayState& state, const RelayRequest& request, Milliseconds now)
    {
        return request.headForwarded && mayTakeBack(request, *request.active) && !mayStillBegin(state, request, now);
    }

    /// @return whether a request may be sent elsewhere because its upstream is silent
    bool isHeldUp(const RelayState& state, const RelayRequest& request, Milliseconds now)
    {
        // An answer that ended, or a plain one whose head is here, is about to be whole.
        const bool isAnswered = request.active
            && (request.active->closedAt || (!isEngineRequest(request) && request.active->headReceived));
        return request.active && !isAnswered && isRepeatable(request)
            && (request.backup || hasAttemptLeft(request) || mayLeaveUnbegun(state, request, now))
            && isTooSilent(state, request, now);
    }

    /// @return whether a send waits unbegun at an engine whose weights are too old to start on
    bool isOutdated(
        const RelayState& state, const RelayRequest& request, const std::optional<ActiveSend>& send, Milliseconds now)
    {
        if (!send || send->headReceived || !isEngineRequest(request))
            return false;
        const auto view = state.upstreams.find(send->upstream);
        const HeldModel* held
            = view == state.upstreams.end() ? nullptr : heldModel(view->second, request.metadata.model);
        return held && held->version < requiredWeights(state, request.metadata.model, now - outdatedSendGrace);
    }

} // namespace

std::optional<UpstreamId> chooseBeside(const RelayState& state, RelayRequest& request, Milliseconds now)
{
    if (!mayTry(state, request, now) || findQuarantine(state.crashes, request.traits, now))
        return std::nullopt;
    const bool couldHaveRun = std::exchange(request.mayHaveRun, true);
    const bool wasExcluded = !request.excludedUpstreams.insert(request.active->upstream).second;
    const auto upstream = chooseUpstream(state, request, now, true);
    request.mayHaveRun = couldHaveRun;
    if (!wasExcluded)
        request.excludedUpstreams.erase(request.active->upstream);
    return upstream;
}

void cancelSilentSends(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    updateLongestWaits(state, now);
    std::vector<CallId> silent;
    for (auto& [call, request] : state.requests) {
        if (isHeldUp(state, request, now))
            silent.push_back(call);
        else if (request.active)
            removeFromQueue(state, request);
    }
    for (const CallId call : silent) {
        const auto found = state.requests.find(call);
        if (found == state.requests.end() || !found->second.active)
            continue;
        RelayRequest& request = found->second;
        if (mayRetry(state.services[request.service].retries, state.options, state.entryCount, now))
            handleSilence(state, request, now, effects);
    }
}

void dispatchFromSilent(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects)
{
    if (isHeldUp(state, request, now)
        && mayRetry(state.services[request.service].retries, state.options, state.entryCount, now))
        moveFromSilent(state, request, now, effects);
}

bool mayStillBegin(const RelayState& state, const RelayRequest& request, Milliseconds now)
{
    if (!request.active)
        return false;
    const auto view = state.upstreams.find(request.active->upstream);
    const Milliseconds heardAt = view == state.upstreams.end() ? Milliseconds {} : view->second.lastHeardAt;
    return now - std::max(heardAt, request.active->lastProgressAt) <= maxSoundSilence;
}

void cancelOutdatedSends(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    std::vector<CallId> outdated;
    for (const auto& [call, request] : state.requests)
        if (isOutdated(state, request, request.active, now) || isOutdated(state, request, request.backup, now))
            outdated.push_back(call);
    for (const CallId call : outdated) {
        RelayRequest& request = state.requests.at(call);
        if (isOutdated(state, request, request.backup, now))
            releaseBackup(state, request, true, effects);
        if (!isOutdated(state, request, request.active, now))
            continue;
        releaseSend(state, request, true, effects);
        retryElsewhere(state, request, SendFailure::TakenBack, "outdated-weights", now, effects);
    }
}

} // namespace hickory
