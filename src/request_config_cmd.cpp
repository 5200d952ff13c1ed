#include "admission_func.h"
#include "request_cmd.h"
#include "request_dispatch_cmd.h"
#include "request_end_cmd.h"
#include "upstream_view_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Initial retry budget of a service, available before its first success.
    constexpr double initialRetryBalance = 10;

    /// Replaces the workspaces by those of the configuration, with no waiting requests.
    void rebuildWorkspaces(EntryState& state)
    {
        state.requests.workspaces.clear();
        for (const WorkspaceConfig& workspace : state.config.config->workspaces)
            state.requests.workspaces[workspace.name]
                = { .weight = workspace.weight, .maxQueued = workspace.maxQueued };
    }

    /// Adds and removes services as configured and empties all queues and counts. Latencies and retry budgets are kept.
    void rebuildServices(EntryState& state)
    {
        auto& pools = state.requests.pools;
        std::erase_if(pools, [&](const auto& entry) { return !state.config.config->findService(entry.first); });
        for (const ServiceConfig& service : state.config.config->services)
            pools.try_emplace(service.name, ServicePool { .retryBalance = initialRetryBalance });
        for (auto& [name, pool] : pools) {
            pool.constrained.clear();
            pool.queues.assign(state.config.config->ranks.size(), {});
            pool.ranks.resize(state.config.config->ranks.size());
            for (RankStats& stats : pool.ranks) {
                stats.inFlight = 0;
                stats.inFlightTokens = 0;
            }
            pool.upstreams.stale = true;
        }
    }

    /// Counts the attempt in flight of a request under the rank that the request has in the new configuration.
    void countAttempt(EntryState& state, Request& request)
    {
        UpstreamView& view = state.requests.views.views[request.upstream];
        if (view.own.size() <= request.rank.value)
            view.own.resize(request.rank.value + 1, 0);
        ++view.own[request.rank.value];
        const auto pool = state.requests.pools.find(request.call.service);
        if (pool == state.requests.pools.end())
            return;
        RankStats& stats = pool->second.ranks[queueIndex(state, request.rank)];
        ++stats.inFlight;
        stats.inFlightTokens += request.call.cost.value;
    }

} // namespace

void applyConfigToRequests(EntryState& state, EntryEffects& effects)
{
    if (!state.config.config)
        return;
    rebuildWorkspaces(state);
    rebuildServices(state);
    for (UpstreamView& view : state.requests.views.views)
        std::fill(view.own.begin(), view.own.end(), 0U);
    std::vector<std::pair<std::uint64_t, RequestId>> ordered;
    for (const auto& [id, request] : state.requests.requests)
        ordered.emplace_back(request.sequence, id);
    std::sort(ordered.begin(), ordered.end());
    state.requests.queued = 0;
    const auto lowest = static_cast<std::uint8_t>(state.config.config->ranks.size() - 1);
    for (const auto& [sequence, id] : ordered) {
        Request& request = state.requests.requests.at(id);
        request.rank = state.config.config->findRank(request.call.rank).value_or(RankIndex { lowest });
        if (request.phase == RequestPhase::InFlight) {
            countAttempt(state, request);
        } else if (request.phase == RequestPhase::Queued) {
            // The queues were emptied, so the request must not be taken out of one.
            const Milliseconds queuedAt = request.queuedAt;
            request.phase = RequestPhase::Backoff;
            if (!state.requests.pools.contains(request.call.service)) {
                awaitUpstream(state, request, effects);
                continue;
            }
            const Milliseconds wakeAt = request.wakeAt;
            enqueueRequest(state, request);
            request.queuedAt = queuedAt;
            setWake(state, request, wakeAt);
        }
    }
    refreshSubset(state, effects);
    dispatchAllQueued(state, effects);
}

} // namespace hickory
