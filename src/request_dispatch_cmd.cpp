#include "request_dispatch_cmd.h"

#include "admission_func.h"
#include "admission_queue_func.h"
#include "begun_call_func.h"
#include "request_end_cmd.h"
#include "request_log_func.h"
#include "route_func.h"
#include "route_room_cmd.h"
#include "suspect_func.h"
#include "upstream_view_cmd.h"

#include <algorithm>
#include <limits>

namespace hickory {

namespace {

    /// Limit of suspect and pinned requests of a rank that are tried for each event; the others wait for the next one.
    constexpr std::size_t maxConstrainedTried = 32;
    /// Time after which a request whose service has been removed checks whether it is back.
    constexpr Milliseconds serviceCheckInterval { 1000 };
    /// Version that no row has. A dispatch that only fetches a recorded answer names it, so that it cannot start the
    /// call even if the row has expired in the meantime.
    constexpr RowVersion impossibleRowVersion { std::numeric_limits<std::uint64_t>::max() };

    RouteQuery makeRouteQuery(const EntryState& state, const Request& request)
    {
        RouteQuery query { .rank = request.rank, .prefixHash = request.call.prefixHash };
        if (request.delivered > 0)
            query.pinned = request.version;
        if (request.constrained)
            query.suspect = crashCount(state, request.call.service, request.call.requestDigest) > 0;
        query.avoidHost = request.host;
        return query;
    }

    void logRoute(const EntryState& state, const Request& request, RouteChoice& choice, EntryEffects& effects)
    {
        LogLine line = requestLine("route", request);
        line.fields.emplace_back("attempt", std::to_string(request.attempt.value));
        line.fields.emplace_back("candidates", std::move(choice.candidates));
        line.fields.emplace_back("chosen", request.host.value);
        line.fields.emplace_back("reason", choice.reason);
        effects.emplace_back(std::move(line));
        const std::string labels = "service=\"" + request.call.service.value + "\",rank=\"" + request.call.rank + "\"";
        countMetric(effects, request.attempt.value == 1 ? "dispatches_total" : "redispatches_total", labels);
        observeMetric(effects, "queue_wait_ms", labels, state.now - request.queuedAt);
    }

    /// Sends an attempt of a request to the chosen upstream and counts it there.
    /// @pre the request is in no queue
    void dispatch(EntryState& state, const ServiceConfig& service, ServicePool& pool, Request& request,
        RouteChoice choice, EntryEffects& effects)
    {
        UpstreamView& view = state.requests.views.views[choice.upstream];
        const std::size_t rank = request.rank.value;
        request.phase = RequestPhase::InFlight;
        ++request.attempt.value;
        request.upstream = choice.upstream;
        request.host = view.host;
        request.version = view.status.version;
        request.firstPart = false;
        request.connectionLost = false;
        request.lostByCrash = false;
        request.suspect = request.constrained && crashCount(state, service.name, request.call.requestDigest) > 0;
        request.dispatchedAt = state.now;
        if (view.own.size() <= rank)
            view.own.resize(rank + 1, 0);
        ++view.own[rank];
        ++view.ownTotal;
        view.suspects += request.suspect ? 1 : 0;
        view.requests.insert(request.call.request);
        ++pool.upstreams.inFlight[view.tier];
        RankStats& stats = pool.ranks[queueIndex(state, request.rank)];
        ++stats.inFlight;
        stats.inFlightTokens += request.call.cost.value;
        refreshRoom(state, choice.upstream);
        setWake(state, request, request.deadline);
        logRoute(state, request, choice, effects);
        effects.emplace_back(DispatchAttempt { .host = view.host,
            .call = { .key
                = { .entry = state.settings.process.host, .request = request.call.request, .attempt = request.attempt },
                .service = service.name,
                .workspace = request.call.workspace,
                .rank = request.rank,
                .requestDigest = request.call.requestDigest,
                .timeout = request.deadline - state.now,
                .version = request.version,
                .resumeFrom = request.delivered,
                .cost = request.call.cost,
                .idempotencyKey = request.repeatable ? std::string {} : request.call.idempotencyKey,
                .rowVersion = request.replay ? impossibleRowVersion : request.rowVersion,
                .suspect = request.suspect },
            .agentSilenceTimeout = state.settings.agentSilenceTimeout });
    }

    /// Updates the counts of waiting requests after a request was taken from its queue.
    void countDequeued(EntryState& state, Request& request)
    {
        --state.requests.queued;
        if (const auto share = state.requests.workspaces.find(request.call.workspace);
            share != state.requests.workspaces.end() && share->second.queued > 0)
            --share->second.queued;
    }

    void failQuarantined(EntryState& state, Request& request, Milliseconds remaining, EntryEffects& effects)
    {
        failRequest(state, request,
            { .outcome = Outcome::NotRun, .reason = "quarantined", .retryAfter = remaining, .step = "route" }, effects);
    }

    /// Dispatches those suspect and pinned requests of a rank for which a permitted upstream has room.
    void dispatchConstrained(
        EntryState& state, const ServiceConfig& service, ServicePool& pool, std::size_t rank, EntryEffects& effects)
    {
        auto position = pool.constrained.lower_bound({ static_cast<std::uint8_t>(rank), 0 });
        for (std::size_t tried = 0;
             tried < maxConstrainedTried && position != pool.constrained.end() && position->first.first == rank;) {
            Request& request = state.requests.requests.at(position->second);
            const Milliseconds quarantine = quarantineRemaining(state, service, request.call.requestDigest);
            if (quarantine > Milliseconds {}) {
                ++position;
                if (mayEnd(request, EndCause::Quarantine))
                    failQuarantined(state, request, quarantine, effects);
                continue;
            }
            ++tried;
            auto choice = chooseUpstream(state, service, pool, makeRouteQuery(state, request));
            if (!choice) {
                ++position;
                continue;
            }
            position = pool.constrained.erase(position);
            countDequeued(state, request);
            dispatch(state, service, pool, request, std::move(*choice), effects);
        }
    }

    /// Moves a request that became suspect while it waited to the constrained requests, so that it does not block its
    /// flow, or refuses it when it is quarantined.
    /// @return true when the request is no longer at the front of the queue
    bool moveSuspectAside(EntryState& state, const ServiceConfig& service, Request& request, EntryEffects& effects)
    {
        // A recorded answer is only fetched, which crashes no upstream.
        if (request.replay || state.requests.suspects.entries.empty()
            || crashCount(state, service.name, request.call.requestDigest) == 0)
            return false;
        const Milliseconds quarantine = quarantineRemaining(state, service, request.call.requestDigest);
        if (quarantine > Milliseconds {}) {
            failQuarantined(state, request, quarantine, effects);
            return true;
        }
        dequeueRequest(state, request);
        enqueueRequest(state, request);
        return true;
    }

    /// Dispatches requests of a fair queue in their order until no upstream has room for the next one.
    void dispatchFromQueue(
        EntryState& state, const ServiceConfig& service, ServicePool& pool, std::size_t rank, EntryEffects& effects)
    {
        FairQueue& queue = pool.queues[rank];
        while (const auto item = frontItem(queue)) {
            Request& request = state.requests.requests.at(item->request);
            if (moveSuspectAside(state, service, request, effects))
                continue;
            auto choice = chooseUpstream(state, service, pool, makeRouteQuery(state, request));
            if (!choice)
                return;
            popItem(queue);
            request.charged = true;
            countDequeued(state, request);
            dispatch(state, service, pool, request, std::move(*choice), effects);
        }
    }

} // namespace

void enqueueRequest(EntryState& state, Request& request)
{
    const auto pool = state.requests.pools.find(request.call.service);
    if (pool == state.requests.pools.end())
        return;
    request.phase = RequestPhase::Queued;
    request.queuedAt = state.now;
    request.constrained = !request.replay
        && (request.delivered > 0 || crashCount(state, request.call.service, request.call.requestDigest) > 0);
    ++state.requests.queued;
    if (const auto share = state.requests.workspaces.find(request.call.workspace);
        share != state.requests.workspaces.end())
        ++share->second.queued;
    const std::size_t index = queueIndex(state, request.rank);
    if (request.constrained)
        pool->second.constrained.emplace(
            std::pair { static_cast<std::uint8_t>(index), request.sequence }, request.call.request);
    else
        pushItem(pool->second.queues[index], flowKey(state, request.call.workspace),
            flowWeight(state, request.call.workspace), request.sequence,
            { .request = request.call.request, .tokens = request.call.cost.value, .charged = request.charged });
    const bool limited = request.attempt.value == 0 && mayEnd(request, EndCause::Lateness);
    setWake(state, request, limited ? state.now + queueWaitLimit(state, pool->second, request.rank) : request.deadline);
}

void awaitUpstream(EntryState& state, Request& request, EntryEffects& effects)
{
    if (state.requests.pools.contains(request.call.service)) {
        enqueueRequest(state, request);
        dispatchQueued(state, ServiceId(request.call.service), effects);
    } else if (mayEnd(request, EndCause::Configuration)) {
        failRequest(
            state, request, { .outcome = Outcome::NotRun, .reason = "service-removed", .step = "queue" }, effects);
    } else {
        request.phase = RequestPhase::Backoff;
        setWake(state, request, state.now + serviceCheckInterval);
    }
}

void dispatchQueued(EntryState& state, const ServiceId& service, EntryEffects& effects)
{
    rebuildPools(state, effects);
    const auto pool = state.requests.pools.find(service);
    if (!state.config.config || pool == state.requests.pools.end() || state.requests.queued == 0)
        return;
    const ServiceConfig* config = state.config.config->findService(service);
    if (!config || pool->second.upstreams.candidates == 0)
        return;
    for (std::size_t rank = 0; rank < pool->second.queues.size(); ++rank) {
        dispatchConstrained(state, *config, pool->second, rank, effects);
        dispatchFromQueue(state, *config, pool->second, rank, effects);
    }
}

void dispatchAllQueued(EntryState& state, EntryEffects& effects)
{
    for (const auto& [service, pool] : state.requests.pools)
        dispatchQueued(state, service, effects);
}

} // namespace hickory
