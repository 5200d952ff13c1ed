#include "begun_request_func.h"
#include "relay_budget_func.h"
#include "relay_cmd.h"
#include "table/relay_limits.h"

#include <utility>
#include <vector>

namespace hickory {

namespace {

    /// @return whether a request may leave its engine: it can go on elsewhere, and no answer is about to be whole. The
    /// engine has room and is likely to have begun it, so that it uses up an attempt there.
    bool mayMove(const RelayRequest& request)
    {
        const bool hasAttempt = request.sends < request.route->maxAttempts;
        return request.active && !request.backup && !request.active->closedAt && hasAttempt && isRepeatable(request)
            && (request.route->kind == CallKind::Stream || !request.active->headReceived);
    }

    /// Cancels a request at its engine and resumes it at another one, if one can begin at once.
    void moveRequest(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects)
    {
        RetryWindow& retries = state.services[request.service].retries;
        if (!mayRetry(retries, state.options, state.entryCount, now))
            return;
        const auto upstream = chooseBeside(state, request, now);
        if (!upstream || !takeRetry(retries, state.options, state.entryCount, now))
            return;
        constexpr const char* reason = "load-order";
        LogLine line = requestLogLine("retry", request, now);
        line.fields.emplace_back("reason", reason);
        line.fields.emplace_back("from", request.active->upstream.value);
        line.fields.emplace_back("resume_after", request.lastEventId);
        effects.emplace_back(std::move(line));
        effects.emplace_back(
            MetricSample { .name = "retries_total", .labels = "reason=\"" + std::string(reason) + "\"" });
        request.mayHaveRun = true;
        releaseSend(state, request, true, effects);
        sendRequest(state, request, *upstream, now, effects);
    }

} // namespace

void clearEngines(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    std::vector<CallId> calls;
    for (const auto& [call, request] : state.requests) {
        if (!mayMove(request))
            continue;
        const auto view = state.upstreams.find(request.active->upstream);
        if (view != state.upstreams.end() && view->second.clearing && now - view->second.reportedAt < reportMaxAge)
            calls.push_back(call);
    }
    for (const CallId call : calls)
        moveRequest(state, state.requests.at(call), now, effects);
}

} // namespace hickory
