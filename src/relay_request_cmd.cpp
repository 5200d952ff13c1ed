#include "begun_request_func.h"
#include "cold_start_cmd.h"
#include "crash_func.h"
#include "home_region_func.h"
#include "queue_share_func.h"
#include "relay_admit_func.h"
#include "relay_budget_func.h"
#include "relay_cmd.h"
#include "relay_place_func.h"
#include "table/relay_limits.h"

#include <algorithm>
#include <utility>

namespace hickory {

namespace {

    constexpr std::uint16_t statusUnauthorized = 401;
    constexpr std::uint16_t statusNotFound = 404;
    constexpr std::uint16_t statusUnavailable = 503;
    constexpr std::uint16_t statusTimeout = 504;

    /// @return the service of a share of the route, drawn by weight
    ServiceId drawService(const RelayRoute& route, std::mt19937_64& random)
    {
        double total = 0;
        for (const RouteShare& share : route.shares)
            total += share.weight;
        double remaining = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(random);
        for (const RouteShare& share : route.shares) {
            remaining -= share.weight;
            if (remaining <= 0)
                return share.service;
        }
        return route.shares.back().service;
    }

    /// Refuses a request that was not admitted into the state.
    /// @param configAge time since the configuration was confirmed, for the log
    void refuseUnadmitted(CallId call, const RequestMetadata& metadata, std::uint16_t status, const char* reason,
        Milliseconds configAge, RelayEffects& effects)
    {
        constexpr Milliseconds retryAfter { 400 };
        effects.emplace_back(RefuseCall { .call = call,
            .status = status,
            .retryAfter = status == statusUnavailable ? retryAfter : Milliseconds {},
            .reason = reason });
        effects.emplace_back(LogLine { .level = LogLevel::Info,
            .event = "refuse",
            .fields = { { "request", metadata.attemptId }, { "status", std::to_string(status) }, { "reason", reason },
                { "config_age_ms", std::to_string(configAge.value) }, { "host", metadata.host } } });
        effects.emplace_back(
            MetricSample { .name = "refused_total", .labels = "reason=\"" + std::string(reason) + "\"" });
    }

    /// Finds the route and the workspace of a request, or refuses it. An unknown route or key is final (404, 401) only
    /// if the configuration is fresh; it may be in a newer one otherwise.
    /// @return whether the request may proceed
    bool authorize(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects)
    {
        const Milliseconds age = now - state.configConfirmedAt;
        const auto refuse = [&](std::uint16_t status, const char* reason) {
            refuseUnadmitted(request.call, request.metadata, status, reason, age, effects);
            return false;
        };
        if (!state.config)
            return refuse(statusUnavailable, "no-config");
        request.config = state.config;
        request.route = findRoute(*request.config, request.metadata.host, request.metadata.target);
        if (!request.route)
            return age < maxConfigAgeForDenial ? refuse(statusNotFound, "no-route")
                                               : refuse(statusUnavailable, "stale-config");
        request.urgency = computeUrgency(std::nullopt, request.route->rank);
        if (request.route->keyless || !request.config->needsKeys)
            return true;
        if (age > state.options.keyConfigMaxAge)
            return refuse(statusUnavailable, "stale-config");
        const auto key = request.config->keys.find(request.metadata.key);
        if (key == request.config->keys.end())
            return age < maxConfigAgeForDenial ? refuse(statusUnauthorized, "unknown-key")
                                               : refuse(statusUnavailable, "stale-config");
        const RelayWorkspace& workspace = request.config->workspaces.at(key->second);
        request.workspace = workspace.name;
        request.urgency = computeUrgency(workspace.rank, request.route->rank);
        return true;
    }

    /// Queues a request that no upstream can run until engines have loaded weights, or refuses it.
    void awaitWeights(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects)
    {
        if (const char* reason = shutOutReason(shutOutCause(state, request.service, request.allowed))) {
            refuseRequest(state, request, statusUnavailable, reason, now, effects);
            return;
        }
        RelayServiceState& service = state.services[request.service];
        const Milliseconds since = service.withoutWeightsSince.try_emplace(request.allowed, now).first->second;
        if (!mayAwaitWeights(state, request, now)) {
            refuseRequest(state, request, statusUnavailable, "no-upstream", now, effects);
            return;
        }
        LogLine line = requestLogLine("hold", request, now);
        line.fields.emplace_back("reason", "weights");
        line.fields.emplace_back("without_weights_ms", std::to_string((now - since).value));
        line.fields.emplace_back("queued", std::to_string(service.queue.size()));
        effects.emplace_back(std::move(line));
        enqueueRequest(state, request, now);
    }

} // namespace

LogLine requestLogLine(const char* event, const RelayRequest& request, Milliseconds now)
{
    return { .event = event,
        .fields = { { "request", request.metadata.attemptId }, { "route", request.route->name },
            { "service", request.service.value }, { "rank", std::to_string(request.route->rank) },
            { "urgency", std::to_string(request.urgency) },
            { "age_ms", std::to_string((now - request.arrivedAt).value) } } };
}

void admitRequest(RelayState& state, const CallArrived& event, Milliseconds now, RelayEffects& effects)
{
    RelayRequest request {
        .call = event.call, .metadata = event.metadata, .arrivedAt = event.firstByteAt, .admittedAt = now
    };
    if (!authorize(state, request, now, effects))
        return;
    const RelayRoute& route = *request.route;
    request.allowed = allowedRegions(request, state.config.get());
    state.homesInUse = state.homesInUse || request.allowed;
    request.service = drawService(route, state.random);
    request.traits = traitsOf(request.metadata);
    request.objectiveAt = request.arrivedAt + route.objective;
    request.timeoutAt = request.arrivedAt + route.timeout;
    request.deadlineAt = request.timeoutAt;
    if (request.metadata.timeout.value > 0)
        request.deadlineAt = std::min(request.deadlineAt, request.arrivedAt + request.metadata.timeout);
    if (state.drainEndsAt)
        request.deadlineAt = std::min(request.deadlineAt, *state.drainEndsAt);
    request.leavesAt = route.patience.value > 0 ? request.arrivedAt + route.patience : request.deadlineAt;
    request.lastEventId = request.metadata.resumeAfter;
    RelayRequest& stored = state.requests.emplace(request.call, std::move(request)).first->second;
    if (findQuarantine(state.crashes, stored.traits, now)) {
        refuseRequest(state, stored, statusUnavailable, "quarantined", now, effects);
        return;
    }
    if (!mayBegin(state, stored, now)) {
        refuseRequest(state, stored, statusUnavailable, "stopping", now, effects);
        return;
    }
    const bool held = !mayTry(state, stored, now);
    if (!held && isFirstInQueue(state, stored)) {
        if (const auto upstream = chooseUpstream(state, stored, now, true)) {
            sendRequest(state, stored, *upstream, now, effects);
            return;
        }
    }
    countHeldByCold(state, stored, now, effects);
    if (!chooseUpstream(state, stored, now, false)) {
        awaitWeights(state, stored, now, effects);
        return;
    }
    if (state.drainEndsAt) {
        // Another entry can take it at once.
        refuseRequest(state, stored, statusUnavailable, "stopping", now, effects);
        return;
    }
    if (!mayQueue(state, stored, now)) {
        refuseRequest(state, stored, statusUnavailable, "overload", now, effects);
        return;
    }
    if (held) {
        LogLine line = requestLogLine("hold", stored, now);
        line.fields.emplace_back("traits", traitsText(stored.traits));
        effects.emplace_back(std::move(line));
    }
    enqueueRequest(state, stored, now);
    dispatchWaiting(state, stored.service, now, effects);
}

void enqueueRequest(RelayState& state, RelayRequest& request, Milliseconds now)
{
    request.queued = makeQueueKey(request, state.options.queuePolicy, now);
    RelayServiceState& service = state.services[request.service];
    service.queue[*request.queued] = request.call;
    ++service.queuedByRegions[request.allowed];
}

void removeFromQueue(RelayState& state, RelayRequest& request)
{
    if (!request.queued)
        return;
    RelayServiceState& service = state.services[request.service];
    service.queue.erase(*request.queued);
    request.queued.reset();
    const auto counted = service.queuedByRegions.find(request.allowed);
    if (--counted->second == 0)
        service.queuedByRegions.erase(counted);
}

namespace {

    /// @return upstreams that a request was sent to and taken back from, separated by commas
    std::string takenBackText(const RelayRequest& request)
    {
        std::string text;
        for (const UpstreamId& upstream : request.excludedUpstreams)
            text += (text.empty() ? "" : ",") + upstream.value;
        return text;
    }

    /// @return where a request waits, for the metric of callers that left
    const char* placeName(const RelayRequest& request)
    {
        if (!request.active)
            return "queue";
        return request.active->headReceived ? "begun" : "unbegun";
    }

    /// @return whether a queued request is ended because it could not be answered in time
    bool isTooLate(const RelayState& state, const RelayRequest& request, Milliseconds now)
    {
        if (!request.queued || !mayEnd(request, EndCause::Lateness) || !cannotMeetDeadline(request, now))
            return false;
        return !request.active
            || (!mayStillBegin(state, request, now) && request.leavesAt < request.deadlineAt
                && cannotBeginInTime(request, now));
    }

} // namespace

void handleCallerDisconnected(
    RelayState& state, const RelayCallerDisconnected& event, Milliseconds now, RelayEffects& effects)
{
    const auto found = state.requests.find(event.call);
    if (found == state.requests.end())
        return;
    RelayRequest& request = found->second;
    LogLine line = requestLogLine("caller-left", request, now);
    line.fields.emplace_back("sends", std::to_string(request.sends));
    line.fields.emplace_back("upstream", request.active ? request.active->upstream.value : std::string {});
    line.fields.emplace_back("begun", request.active && request.active->headReceived ? "true" : "false");
    line.fields.emplace_back("taken_back_from", takenBackText(request));
    effects.emplace_back(std::move(line));
    effects.emplace_back(MetricSample { .name = "callers_left_total",
        .labels = std::string("service=\"") + request.service.value + "\",at=\"" + placeName(request) + "\"" });
    removeFromQueue(state, request);
    releaseSend(state, request, true, effects);
    releaseBackup(state, request, true, effects);
    const ServiceId service = request.service;
    state.requests.erase(found);
    dispatchWaiting(state, service, now, effects);
}

void refuseRequest(RelayState& state, RelayRequest& request, std::uint16_t status, const char* reason, Milliseconds now,
    RelayEffects& effects)
{
    removeFromQueue(state, request);
    releaseSend(state, request, true, effects);
    releaseBackup(state, request, true, effects);
    const bool notRun = status == statusUnavailable;
    const Quarantine* quarantine = findQuarantine(state.crashes, request.traits, now);
    const bool unservable = quarantine || !chooseUpstream(state, request, now, false);
    const Milliseconds retryAfter = notRun ? retryAfterDelay(state, request, unservable, now) : Milliseconds {};
    LogLine line = requestLogLine("refuse", request, now);
    line.fields.emplace_back("status", std::to_string(status));
    line.fields.emplace_back("reason", reason);
    line.fields.emplace_back("retry_after_ms", std::to_string(retryAfter.value));
    line.fields.emplace_back("sends", std::to_string(request.sends));
    line.fields.emplace_back("queued", std::to_string(state.services[request.service].queue.size()));
    if (quarantine)
        line.fields.emplace_back("trait", traitsText({ *quarantine->traits.begin() }));
    effects.emplace_back(std::move(line));
    effects.emplace_back(MetricSample { .name = "refused_total",
        .labels = "reason=\"" + std::string(reason) + "\",service=\"" + request.service.value + "\"" });
    if (request.headForwarded)
        effects.emplace_back(AbortResponse { .call = request.call, .reason = reason });
    else
        effects.emplace_back(
            RefuseCall { .call = request.call, .status = status, .retryAfter = retryAfter, .reason = reason });
    state.requests.erase(request.call);
}

void dispatchWaiting(RelayState& state, const ServiceId& service, Milliseconds now, RelayEffects& effects)
{
    auto& queue = state.services[service].queue;
    NoRoom noRoom;
    for (auto next = queue.begin(); next != queue.end();) {
        RelayRequest& request = state.requests.at(next->second);
        ++next; // the request may leave the queue
        if (request.active) {
            dispatchFromSilent(state, request, now, effects);
            continue;
        }
        RetryWindow& retries = state.services[service].retries;
        if (!mayTry(state, request, now) || now < request.waitsUntil
            || (request.owesRetry && !mayRetry(retries, state.options, state.entryCount, now)))
            continue;
        if (isWithoutRoom(noRoom, request.allowed))
            continue;
        const auto upstream = chooseUpstream(state, request, now, true);
        const bool mayRunNowhere = request.mayHaveRun && !chooseUpstream(state, request, now, false);
        if (!upstream && (hasBegun(request) || mayRunNowhere))
            continue; // it waits as long as it has time, and others need not wait for it
        if (!upstream) {
            recordNoRoom(noRoom, request);
            if (!state.homesInUse || areAllWithoutRoom(noRoom, state.services[service]))
                return;
            continue;
        }
        if (mayEnd(request, EndCause::Stopping) && !request.mayHaveRun && !mayBegin(state, request, now)) {
            refuseRequest(state, request, statusUnavailable, "stopping", now, effects);
            continue;
        }
        if (std::exchange(request.owesRetry, false))
            takeRetry(retries, state.options, state.entryCount, now);
        removeFromQueue(state, request);
        sendRequest(state, request, *upstream, now, effects);
    }
}

void dispatchAllWaiting(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    std::vector<ServiceId> services;
    for (const auto& [service, view] : state.services)
        if (!view.queue.empty())
            services.push_back(service);
    for (const ServiceId& service : services)
        dispatchWaiting(state, service, now, effects);
}

void expireRequests(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    std::vector<CallId> expired;
    std::vector<CallId> unservable;
    std::vector<CallId> stopping;
    for (auto& [call, request] : state.requests) {
        if (now >= request.deadlineAt)
            expired.push_back(call);
        else if (isTooLate(state, request, now))
            unservable.push_back(call);
        else if (request.queued && !request.active && mayEnd(request, EndCause::Stopping) && !request.mayHaveRun
            && !mayBegin(state, request, now))
            stopping.push_back(call);
        else if (request.queued && !request.queued->late
            && makeQueueKey(request, state.options.queuePolicy, now).late) {
            removeFromQueue(state, request);
            enqueueRequest(state, request, now);
        }
    }
    for (const CallId call : expired) {
        RelayRequest& request = state.requests.at(call);
        const bool notRun = !request.mayHaveRun && !request.active;
        refuseRequest(state, request, notRun ? statusUnavailable : statusTimeout, notRun ? "no-time-left" : "timeout",
            now, effects);
    }
    // They need not wait for an upstream to be refused: another entry can take them at once.
    for (const CallId call : stopping)
        refuseRequest(state, state.requests.at(call), statusUnavailable, "stopping", now, effects);
    for (const CallId call : unservable) {
        RelayRequest& request = state.requests.at(call);
        const bool notRun = !request.mayHaveRun && !request.active;
        refuseRequest(state, request, notRun ? statusUnavailable : statusTimeout, "no-time-left", now, effects);
    }
}

} // namespace hickory
