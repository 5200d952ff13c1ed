#include "relay_admit_func.h"

#include "begun_request_func.h"
#include "home_region_func.h"
#include "queue_share_func.h"
#include "relay_place_func.h"
#include "table/relay_limits.h"
#include "upstream_notice_func.h"

#include <algorithm>
#include <bit>
#include <map>

namespace hickory {

namespace {

    const EngineProfile* engineProfileOf(const RelayRequest& request)
    {
        const auto service = request.config->services.find(request.service);
        return service != request.config->services.end() && service->second.engine && !request.metadata.model.empty()
            ? &*service->second.engine
            : nullptr;
    }

    /// @return least time from dispatching a request to what its objective limits: the first token of an engine, or the
    /// end of a plain response
    Milliseconds minTimeToObjective(const RelayRequest& request)
    {
        const EngineProfile* profile = engineProfileOf(request);
        if (!profile)
            return minPlainServiceTime;
        // A queued request is sent when a slot becomes free: the engine's other slots are taken and a pass is running.
        const EngineLoad load { .requests = profile->slots - 1, .prefillTokens = 0, .slowdown = 1.0 };
        return { static_cast<std::int64_t>(predictFirstToken(*profile, load, request.metadata.promptTokens)) };
    }

    /// @param outputTokens tokens to generate, 0 counts as 1
    /// @return predicted time from dispatching a request to the last byte of its response
    Milliseconds serviceTime(const RelayRequest& request, std::uint32_t outputTokens)
    {
        const EngineProfile* profile = engineProfileOf(request);
        if (!profile)
            return minPlainServiceTime;
        const double passes
            = static_cast<double>(std::max<std::uint32_t>(outputTokens, 1)) / std::max(1U, profile->stride);
        const double passMs = profile->stride * (profile->stepMs + profile->slots * profile->stepPerRequestMs);
        return minTimeToObjective(request) + Milliseconds { static_cast<std::int64_t>(passes * passMs) };
    }

    /// @return predicted time from dispatching a request to the last byte of its response, for the caller's estimate of
    /// the output or else the mean output of the service
    Milliseconds expectedServiceTime(const RelayRequest& request)
    {
        const EngineProfile* profile = engineProfileOf(request);
        const std::uint32_t meanTokens = profile ? profile->meanOutputTokens : 0;
        return serviceTime(
            request, request.metadata.outputTokensHint > 0 ? request.metadata.outputTokensHint : meanTokens);
    }

    /// @return time that the origin needs to send one copy of the weights, 0 when its rate is not known
    Milliseconds copyTime(const RelayConfig& config, const EngineProfile& profile)
    {
        constexpr double bitsPerByte = 8.0;
        constexpr double kilobitsPerMegabit = 1000.0;
        for (const auto& [name, service] : config.services)
            if (!service.originAddress.empty() && service.originMbps > 0)
                return { static_cast<std::int64_t>(static_cast<double>(profile.pieceCount) * profile.pieceBytes
                    * bitsPerByte / (service.originMbps * kilobitsPerMegabit)) };
        return {};
    }

    /// @return whether an upstream may run a request once its state allows it
    bool isCandidate(const RelayState& state, const RelayUpstream& view, const RelayRequest& request)
    {
        return view.listed && !view.entry.leaving && view.entry.service == request.service
            && mayRunIn(state, request.allowed, view.entry.dataCentre);
    }

    /// @return when an engine of the service is expected to have usable weights, or nothing if none is listed or it
    /// takes much longer than it should
    std::optional<Milliseconds> expectedWeightsAt(
        const RelayState& state, const RelayRequest& request, const EngineProfile& profile, Milliseconds now)
    {
        std::map<DataCentreId, std::size_t> hosts;
        bool isLoading = false;
        for (const auto& [id, view] : state.upstreams) {
            if (!isCandidate(state, view, request))
                continue;
            ++hosts[view.entry.dataCentre];
            isLoading = isLoading || now < view.orderPendingUntil || (view.report && view.report->busy);
        }
        if (hosts.empty())
            return std::nullopt;
        const auto service = state.services.find(request.service);
        Milliseconds since = now;
        if (service != state.services.end()) {
            const auto known = service->second.withoutWeightsSince.find(request.allowed);
            since = known == service->second.withoutWeightsSince.end() ? now : known->second;
        }
        const Milliseconds copy = copyTime(*request.config, profile);
        const auto most = std::max_element(
            hosts.begin(), hosts.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        const Milliseconds exchange = exchangeDoublingTime * static_cast<std::int64_t>(std::bit_width(most->second));
        const Milliseconds usual = copy + exchange + profile.loadTime + weightsNewsTime;
        if (now - since > usual * 2)
            return std::nullopt;
        if (isLoading)
            return now + profile.loadTime + weightsNewsTime;
        if (copy.value == 0)
            return std::nullopt;
        return std::max(since + usual, now + weightsNewsTime);
    }

    /// @return the longest delay that the caller of a request follows, with jitter
    Milliseconds latestReturn(RelayState& state, const RelayRequest& request, Milliseconds now)
    {
        // Not request.deadlineAt, which the end of the drain limits.
        Milliseconds callerLeaves = request.timeoutAt;
        if (request.metadata.timeout.value > 0)
            callerLeaves = std::min(callerLeaves, request.arrivedAt + request.metadata.timeout);
        const std::int64_t delay = std::max<std::int64_t>((callerLeaves - now).value / retryAfterDivisor, 1);
        return { delay * 3 / 4 + std::uniform_int_distribution<std::int64_t>(0, delay / 4)(state.random) };
    }

    /// @return the longest time that a request is predicted to take, or nothing if nothing limits it
    std::optional<Milliseconds> longestServiceTime(const RelayRequest& request)
    {
        const bool limited = engineProfileOf(request) && request.metadata.maxOutputTokens > 0;
        if (limited)
            return serviceTime(request, request.metadata.maxOutputTokens);
        // The objective of a stream limits only its first event. A plain request may take several times its mean.
        if (request.route->kind == CallKind::Stream)
            return std::nullopt;
        return request.route->objective * 2;
    }

} // namespace

std::uint8_t computeUrgency(std::optional<std::uint8_t> workspaceRank, std::uint8_t routeRank)
{
    // Engines know ten levels of urgency: three ranks of routes within each rank of workspaces.
    constexpr std::uint8_t routeRanks = 3;
    constexpr std::uint8_t leastUrgent = 9;
    const unsigned within = std::min<unsigned>(routeRank, routeRanks - 1);
    const unsigned urgency = workspaceRank.value_or(1) * routeRanks + within;
    return static_cast<std::uint8_t>(std::min<unsigned>(urgency, leastUrgent));
}

QueueKey makeQueueKey(const RelayRequest& request, RelayQueuePolicy policy, Milliseconds now)
{
    if (policy == RelayQueuePolicy::Fifo)
        return { .timeOrder = request.arrivedAt, .call = request.call.value };
    // What an upstream may still run goes first: its caller may leave soon, and the upstream would work for nobody.
    if (request.mayHaveRun || request.active)
        return { .fresh = false, .timeOrder = request.leavesAt, .call = request.call.value };
    return { .late = now + minTimeToObjective(request) > request.objectiveAt,
        .urgency = request.urgency,
        .timeOrder = Milliseconds { -request.objectiveAt.value },
        .call = request.call.value };
}

Milliseconds predictQueueWait(const RelayState& state, const RelayRequest& request, Milliseconds now)
{
    return waitBehind(state, request, makeQueueKey(request, state.options.queuePolicy, now), now);
}

bool mayQueue(const RelayState& state, const RelayRequest& request, Milliseconds now)
{
    if (queuedAgainst(state, request) >= maxQueuedPerService)
        return false;
    const Milliseconds left = request.deadlineAt - now - expectedServiceTime(request);
    const Milliseconds wait = pauseLeft(state, request, now) + predictQueueWait(state, request, now);
    return left.value > 0 && static_cast<double>(wait.value) <= maxWaitShare * static_cast<double>(left.value);
}

bool mayAwaitWeights(const RelayState& state, const RelayRequest& request, Milliseconds now)
{
    const EngineProfile* profile = engineProfileOf(request);
    if (!profile || state.drainEndsAt)
        return false;
    const std::optional<Milliseconds> at = expectedWeightsAt(state, request, *profile, now);
    if (!at || cannotMeetDeadline(request, *at))
        return false;
    std::size_t slots = 0;
    for (const auto& [id, view] : state.upstreams)
        slots += isCandidate(state, view, request) ? view.entry.slots : 0;
    return queuedAgainst(state, request) < slots / 2 / std::max<std::size_t>(state.entryCount, 1);
}

bool cannotMeetDeadline(const RelayRequest& request, Milliseconds now)
{
    return now + expectedServiceTime(request) > request.deadlineAt || cannotBeginInTime(request, now);
}

bool cannotBeginInTime(const RelayRequest& request, Milliseconds now)
{
    return now + minTimeToObjective(request) > request.leavesAt;
}

bool mayBegin(const RelayState& state, const RelayRequest& request, Milliseconds now)
{
    if (!state.drainEndsAt)
        return true;
    const Milliseconds callerLeaves = request.arrivedAt + request.metadata.timeout;
    const bool endsByItself = request.timeoutAt < *state.drainEndsAt
        || (request.metadata.timeout.value > 0 && callerLeaves < *state.drainEndsAt);
    if (endsByItself)
        return true;
    if (request.admittedAt > state.drainBeganAt + drainPredictionPeriod)
        return false;
    const std::optional<Milliseconds> longest = longestServiceTime(request);
    return isRepeatable(request) && longest && now + *longest * drainTimeFactor + maxSoundSilence < *state.drainEndsAt;
}

Milliseconds retryAfterDelay(RelayState& state, const RelayRequest& request, bool noUpstream, Milliseconds now)
{
    if (state.drainEndsAt)
        return state.anyOtherReady ? drainRetryAfter : latestReturn(state, request, now);
    const std::int64_t maxDelay = std::max<std::int64_t>((request.deadlineAt - now).value / retryAfterDivisor, 1);
    const std::int64_t pause = noUpstream
        ? (firstPauseEnd(state, request.service, request.allowed, now).value_or(now) - now).value
        : pauseLeft(state, request, now).value;
    const std::int64_t wait = noUpstream
        ? (pause > 0 ? std::min(pause, maxDelay) : maxDelay)
        : std::min(std::max(predictQueueWait(state, request, now), minRetryAfter).value, maxDelay);
    const std::int64_t jitter = std::uniform_int_distribution<std::int64_t>(0, wait / 4)(state.random);
    // Whoever returns before the pause ends is refused again.
    if (pause > 0 && pause < maxDelay)
        return { std::min(std::max(wait, pause) + jitter, maxDelay) };
    return { wait * 3 / 4 + jitter };
}

} // namespace hickory
