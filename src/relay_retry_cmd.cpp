#include "begun_request_func.h"
#include "crash_func.h"
#include "home_region_func.h"
#include "relay_admit_func.h"
#include "relay_budget_func.h"
#include "relay_cmd.h"
#include "relay_place_func.h"
#include "table/relay_limits.h"

#include <algorithm>
#include <utility>

namespace hickory {

namespace {

    constexpr std::uint16_t statusBadGateway = 502;
    constexpr std::uint16_t statusUnavailable = 503;

    /// @param count how often upstreams turned the request away
    /// @return time until it is sent again
    Milliseconds turnedAwayWait(std::uint32_t count)
    {
        constexpr std::uint32_t maxDoublings = 5;
        return fullBackoff * (std::int64_t { 1 } << std::min(count, maxDoublings));
    }

    /// Queues a request that no upstream can run now although one may have begun it, until one can or its time is up.
    /// @param reason for the log
    /// @param owesRetry it has no place in the retry budget yet
    void queueBegun(RelayState& state, RelayRequest& request, const char* reason, bool owesRetry, Milliseconds now,
        RelayEffects& effects)
    {
        request.owesRetry = owesRetry;
        LogLine line = requestLogLine("hold-begun", request, now);
        line.fields.emplace_back("reason", reason);
        effects.emplace_back(std::move(line));
        enqueueRequest(state, request, now);
    }

} // namespace

void retryElsewhere(RelayState& state, RelayRequest& request, SendFailure failure, const char* reason, Milliseconds now,
    RelayEffects& effects)
{
    const bool notSent = failure == SendFailure::NotSent;
    const bool mayHaveRun = !notSent && failure != SendFailure::NotRun;
    if (mayHaveRun)
        request.mayHaveRun = true;
    const bool repeatable = !mayHaveRun || isRepeatable(request);
    const bool begun = hasBegun(request);
    if (failure == SendFailure::NotRun || (begun && failure == SendFailure::TakenBack))
        --request.sends;
    if (failure == SendFailure::NotRun)
        ++request.turnedAway;
    if (request.backup) {
        request.active = std::exchange(request.backup, std::nullopt);
        LogLine line = requestLogLine("backup-kept", request, now);
        line.fields.emplace_back("reason", reason);
        line.fields.emplace_back("upstream", request.active->upstream.value);
        effects.emplace_back(std::move(line));
        return;
    }
    const bool isTurnedAwayAgain = failure == SendFailure::NotRun && request.turnedAway >= request.route->maxAttempts;
    const bool attemptsLeft = notSent ? begun || request.connectFailures < maxConnectFailures : hasAttemptLeft(request);
    // Its caller can be told that it did not run, and come back to an upstream with room.
    const bool isTurnedAway = !request.mayHaveRun && isTurnedAwayAgain;
    // A trial that did not begin has shown enough.
    const bool trialFailed = failure == SendFailure::CutOff && state.crashes.trial == request.call
        && suspicionHold(state.crashes, request.traits, now);
    const bool quarantined = findQuarantine(state.crashes, request.traits, now) != nullptr;
    // What an upstream has begun waits: the evacuation may end, or the list name another one in its homes.
    const char* shutOut = begun ? nullptr : shutOutReason(shutOutCause(state, request.service, request.allowed));
    if (!begun && !request.mayHaveRun && !mayBegin(state, request, now)) {
        refuseRequest(state, request, statusUnavailable, "stopping", now, effects);
        return;
    }
    if (repeatable && attemptsLeft && !isTurnedAway && now < request.deadlineAt && !quarantined && !trialFailed
        && !shutOut) {
        if (isTurnedAwayAgain && !begun) {
            // Each further send takes a place in the retry budget, which other requests need as well.
            request.waitsUntil = now + turnedAwayWait(request.turnedAway);
            queueBegun(state, request, "turned-away", true, now, effects);
            return;
        }
        const bool hasRetry
            = notSent || takeRetry(state.services[request.service].retries, state.options, state.entryCount, now);
        const bool waits = begun || (failure == SendFailure::NotRun && request.mayHaveRun);
        if (!hasRetry && waits) {
            queueBegun(state, request, "retry-budget", true, now, effects);
            return;
        }
        if (hasRetry) {
            LogLine line = requestLogLine("retry", request, now);
            line.fields.emplace_back("reason", reason);
            line.fields.emplace_back("resume_after", request.lastEventId);
            effects.emplace_back(std::move(line));
            effects.emplace_back(
                MetricSample { .name = "retries_total", .labels = "reason=\"" + std::string(reason) + "\"" });
            const bool held = !mayTry(state, request, now);
            if (const auto upstream = held ? std::nullopt : chooseUpstream(state, request, now, true)) {
                sendRequest(state, request, *upstream, now, effects);
                return;
            }
            if (chooseUpstream(state, request, now, false) || mayAwaitWeights(state, request, now)) {
                enqueueRequest(state, request, now);
                return;
            }
            if (waits) {
                queueBegun(state, request, "no-upstream", false, now, effects);
                return;
            }
        }
    }
    refuseRequest(state, request, request.mayHaveRun ? statusBadGateway : statusUnavailable,
        quarantined   ? "quarantined"
            : shutOut ? shutOut
                      : reason,
        now, effects);
}

} // namespace hickory
