#include "request_cmd.h"
#include "request_dispatch_cmd.h"
#include "request_end_cmd.h"
#include "request_log_func.h"
#include "suspect_cmd.h"
#include "upstream_view_cmd.h"

#include <utility>

namespace hickory {

namespace {

    /// Time within which the I/O layer reports the end of each attempt after a connection was lost.
    constexpr Milliseconds endReportTimeout { 2000 };
    /// Attempts that ended as Unknown within this time before the loss of the connection are attributed to the same
    /// crash.
    constexpr Milliseconds crashWindow { 1000 };
    /// Reason of AgentDisconnected when no connection could be made.
    constexpr std::string_view connectFailed = "connect-failed";
    /// Consecutive missed heartbeats after which an agent counts as frozen.
    constexpr std::uint32_t maxMissedHeartbeats = 3;

    /// Waits for the I/O layer to report the end of each attempt, because only that report says whether the agent was
    /// given the request. The timer covers a report that does not come.
    /// @param crashed the agent may have been crashed by one of its requests
    void awaitAttemptEnds(EntryState& state, const UpstreamView& view, bool crashed)
    {
        for (const RequestId id : view.requests) {
            Request& request = state.requests.requests.at(id);
            request.connectionLost = true;
            request.lostByCrash = crashed;
            setWake(state, request, state.now + endReportTimeout);
        }
    }

    /// Marks requests as suspect whose attempts were reported as Unknown shortly before the loss of the connection.
    void suspectRecentUnknowns(EntryState& state, UpstreamView& view, EntryEffects& effects)
    {
        bool marked = false;
        for (const auto& [at, key] : std::exchange(view.unknowns, {}))
            if (at + crashWindow >= state.now)
                marked = recordCrash(state, key, view.host, effects) || marked;
        if (marked)
            gossipSuspicions(state, effects);
    }

} // namespace

void applyAgentConnected(EntryState& state, const AgentConnected& event, EntryEffects& effects)
{
    UpstreamView* view = findView(state, event.host);
    if (!view)
        return;
    setViewConnected(state, *view);
    updateViewStatus(state, *view, event.status);
    effects.emplace_back(LogLine { .event = "agent-connected",
        .fields = { { "host", event.host.value }, { "service", event.status.service.value },
            { "ready", event.status.ready ? "true" : "false" } } });
    dispatchQueued(state, event.status.service, effects);
}

void applyAgentDisconnected(EntryState& state, const AgentDisconnected& event, EntryEffects& effects)
{
    UpstreamView* view = findView(state, event.host);
    if (!view)
        return;
    const bool wasConnected = view->connected;
    setViewDisconnected(state, *view);
    view->unreachable = event.reason == connectFailed;
    if (wasConnected) {
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "agent-lost",
            .fields = { { "host", event.host.value }, { "in_flight", std::to_string(view->requests.size()) },
                { "reason", event.reason } } });
        countMetric(effects, "agents_lost_total", "");
        recordConnectionLoss(state, *view, effects);
        suspectRecentUnknowns(state, *view, effects);
        awaitAttemptEnds(state, *view, true);
    }
    rebuildPools(state, effects);
}

void applyAgentStatus(EntryState& state, const AgentStatus& status, EntryEffects& effects)
{
    UpstreamView* view = findView(state, status.host);
    if (!view || !view->connected || !updateViewStatus(state, *view, status))
        return;
    dispatchQueued(state, status.service, effects);
}

void applyHeartbeatMissed(EntryState& state, const HeartbeatMissed& event, EntryEffects& effects)
{
    UpstreamView* view = findView(state, event.host);
    if (!view || !view->connected || ++view->missed < maxMissedHeartbeats)
        return;
    const ServiceId service = view->status.service;
    markPoolStale(state, service);
    rebuildPools(state, effects);
    const auto pool = state.requests.pools.find(service);
    // When most agents seem frozen, the likely cause is this entry's own network: keep the connections.
    const bool panic = pool != state.requests.pools.end() && pool->second.upstreams.panic;
    effects.emplace_back(LogLine { .level = LogLevel::Warning,
        .event = "agent-frozen",
        .fields = { { "host", event.host.value }, { "missed", std::to_string(view->missed) },
            { "in_flight", std::to_string(view->requests.size()) }, { "kept", panic ? "true" : "false" } } });
    if (panic)
        return;
    effects.emplace_back(DisconnectAgent { .host = view->host });
    setViewDisconnected(state, *view);
    awaitAttemptEnds(state, *view, false);
    rebuildPools(state, effects);
}

} // namespace hickory
