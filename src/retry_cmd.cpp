#include "retry_cmd.h"

#include "request_dispatch_cmd.h"
#include "request_log_func.h"
#include "request_row_cmd.h"
#include "suspect_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Most retries that a service may save up; bounds the extra load after a quiet time.
    constexpr double maxRetryBalance = 50;
    /// First backoff; doubled with each retry of the request, with jitter over its upper half.
    constexpr Milliseconds backoffMin { 20 };
    constexpr Milliseconds backoffMax { 1000 };

    /// A suspect waits until its suspicion has reached the other entries and other losses of the same cause are seen,
    /// so that an innocent request does not meet the next loss of a series.
    constexpr Milliseconds suspectDelay { 250 };

    Milliseconds backoff(EntryState& state, const Request& request)
    {
        const std::uint32_t doublings = std::min(request.retries, 6U);
        const Milliseconds whole = std::min(backoffMax, backoffMin * (std::int64_t { 1 } << doublings));
        return whole / 2
            + Milliseconds { static_cast<std::int64_t>(
                state.random() % static_cast<std::uint64_t>(whole.value / 2 + 1)) };
    }

    /// @return why the request may not be sent again, or nullptr
    const char* forbidsRetry(const EntryState& state, const Request& request, const RequestFailure& failure)
    {
        const ServiceConfig* service
            = state.config.config ? state.config.config->findService(request.call.service) : nullptr;
        if (!service)
            return "service-removed";
        if (request.detached)
            return "caller-gone";
        if (state.now >= request.deadline)
            return "deadline";
        if (failure.outcome != Outcome::NotRun && !request.repeatable)
            return "not-repeatable";
        const bool begun = request.delivered > 0;
        if (begun && (service->kind != ServiceKind::Engine || !request.repeatable))
            return "cannot-resume";
        if (request.firstPart && !begun)
            return "delivered-count-unknown";
        // A stream that has begun breaks visibly when it ends here. Refusals cost no upstream any work, so they do not
        // count against it; they are bounded by the backoff and the deadline.
        if ((begun ? request.lostAttempts : request.retries + 1) >= maxAttempts)
            return "attempts";
        if (quarantineRemaining(state, *service, request.call.bodyDigest) > Milliseconds {})
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
    const char* forbidden = forbidsRetry(state, request, failure);
    const auto pool = state.requests.pools.find(request.call.service);
    // A resumed stream goes on where it was and adds no load, so it does not draw on the budget.
    const bool resumes = request.delivered > 0;
    if (!forbidden && !resumes && (pool == state.requests.pools.end() || pool->second.retryBalance < 1))
        forbidden = "budget";
    if (forbidden) {
        logRetry(request, failure, forbidden, {}, effects);
        if (std::string_view(forbidden) == "quarantined") {
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
    const Milliseconds ready = lastCrashAt(state, request.call.service, request.call.bodyDigest) + suspectDelay;
    if (state.now < ready) {
        setWake(state, request, ready);
        return;
    }
    if (!request.repeatable) {
        readCallRow(state, request, effects);
        return;
    }
    enqueueRequest(state, request);
    pumpService(state, ServiceId(request.call.service), effects);
}

} // namespace hickory
