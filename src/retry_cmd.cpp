#include "retry_cmd.h"

#include "begun_call_func.h"
#include "request_dispatch_cmd.h"
#include "request_log_func.h"
#include "request_row_cmd.h"
#include "suspect_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Maximum retry balance of a service. It bounds the extra load that retries cause after a period without failures.
    constexpr double maxRetryBalance = 50;
    /// Backoff of the first retry. It doubles with each retry of the request; the upper half is random.
    constexpr Milliseconds minBackoff { 20 };
    /// Upper limit of the backoff.
    constexpr Milliseconds maxBackoff { 1000 };

    /// Time from the last crash to the next dispatch of a suspect request. In this time the suspicion reaches the other
    /// entries, and connection losses with a common cause are recognised before they are blamed on the request again.
    constexpr Milliseconds suspectRetryDelay { 250 };

    /// @return exponential backoff with jitter for the next retry
    Milliseconds backoff(EntryState& state, const Request& request)
    {
        const std::uint32_t doublings = std::min(request.retries, 6U);
        const Milliseconds fullDelay = std::min(maxBackoff, minBackoff * (std::int64_t { 1 } << doublings));
        return fullDelay / 2
            + Milliseconds { static_cast<std::int64_t>(
                state.random() % static_cast<std::uint64_t>(fullDelay.value / 2 + 1)) };
    }

    /// @return reason why the request must not be retried, or nullptr when it may be
    const char* retryRefusalReason(const EntryState& state, const Request& request, const RequestFailure& failure)
    {
        const ServiceConfig* service
            = state.config.config ? state.config.config->findService(request.call.service) : nullptr;
        const auto ends = [&](EndCause cause) {
            return mayEnd(request, failure.outcome == Outcome::NotRun ? cause : EndCause::UpstreamDead);
        };
        if (!service && ends(EndCause::Configuration))
            return "service-removed";
        if (request.detached)
            return "caller-gone";
        if (state.now >= request.deadline)
            return "deadline";
        if (failure.outcome != Outcome::NotRun && !request.repeatable)
            return "not-repeatable";
        const bool partlyDelivered = request.delivered > 0;
        const bool resumable = !service || service->kind == ServiceKind::Engine;
        if (partlyDelivered && (!resumable || !request.repeatable))
            return "cannot-resume";
        if (request.firstPart && !partlyDelivered)
            return "delivered-count-unknown";
        // Giving up breaks a begun answer for the caller, so only attempts that an upstream may have run count for it.
        // Refusals cause no work at an upstream; the backoff and the deadline bound them.
        if ((hasBegun(request) ? request.lostAttempts : request.retries + 1) >= maxAttempts)
            return "attempts";
        if (service && quarantineRemaining(state, *service, request.call.requestDigest) > Milliseconds {}
            && ends(EndCause::Quarantine))
            return "quarantined";
        return nullptr;
    }

    void logRetry(const Request& request, const RequestFailure& failure, const char* verdict, Milliseconds delay,
        EntryEffects& effects)
    {
        LogLine line = requestLine("retry", request);
        line.fields.emplace_back("attempt", std::to_string(request.attempt.value));
        line.fields.emplace_back("host", request.host.value);
        line.fields.emplace_back("cause", failure.reason);
        line.fields.emplace_back("verdict", verdict);
        line.fields.emplace_back("delivered", std::to_string(request.delivered));
        line.fields.emplace_back("delay_ms", std::to_string(delay.value));
        effects.emplace_back(std::move(line));
        countMetric(effects, "retries_total",
            "service=\"" + request.call.service.value + "\",verdict=\"" + std::string(verdict) + "\"");
    }

} // namespace

void creditRetryBudget(EntryState& state, ServicePool& pool)
{
    pool.retryBalance = std::min(maxRetryBalance, pool.retryBalance + state.settings.retryBudget);
}

void retryOrFail(EntryState& state, Request& request, RequestFailure failure, EntryEffects& effects)
{
    request.phase = RequestPhase::Backoff;
    if (failure.outcome != Outcome::NotRun) {
        request.mayHaveRun = true;
        ++request.lostAttempts;
    }
    const char* refusalReason = retryRefusalReason(state, request, failure);
    const auto pool = state.requests.pools.find(request.call.service);
    // A resumed stream continues after the parts already delivered, and a recorded answer is only fetched. Neither adds
    // load, so they cost no retry budget.
    const bool resumes = request.delivered > 0 || request.replay;
    if (!refusalReason && !resumes && (pool == state.requests.pools.end() || pool->second.retryBalance < 1))
        refusalReason = "budget";
    if (refusalReason) {
        logRetry(request, failure, refusalReason, {}, effects);
        if (std::string_view(refusalReason) == "quarantined") {
            failure.reason = "quarantined";
            failure.status = 503;
        }
        failRequest(state, request, std::move(failure), effects);
        return;
    }
    if (!resumes)
        pool->second.retryBalance -= 1;
    request.firstPart = false;
    const Milliseconds delay = backoff(state, request);
    ++request.retries;
    logRetry(request, failure, resumes ? "resume" : "retry", delay, effects);
    setWake(state, request, state.now + delay);
}

void requeuePreempted(EntryState& state, Request& request, EntryEffects& effects)
{
    request.phase = RequestPhase::Backoff;
    request.firstPart = false;
    request.mayHaveRun = true;
    const Milliseconds delay = backoff(state, request);
    LogLine line = requestLine("preempted", request);
    line.fields.emplace_back("host", request.host.value);
    line.fields.emplace_back("delivered", std::to_string(request.delivered));
    effects.emplace_back(std::move(line));
    countMetric(effects, "preemptions_total", "service=\"" + request.call.service.value + "\"");
    setWake(state, request, state.now + delay);
}

void endBackoff(EntryState& state, Request& request, EntryEffects& effects)
{
    const Milliseconds ready = lastCrashAt(state, request.call.service, request.call.requestDigest) + suspectRetryDelay;
    if (state.now < ready) {
        setWake(state, request, ready);
        return;
    }
    if (!request.repeatable) {
        readCallRow(state, request, effects);
        return;
    }
    awaitUpstream(state, request, effects);
}

} // namespace hickory
