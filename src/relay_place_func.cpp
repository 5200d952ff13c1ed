#include "relay_place_func.h"

#include "begun_request_func.h"
#include "digest_func.h"
#include "home_region_func.h"
#include "relay_admit_func.h"
#include "table/relay_limits.h"
#include "table/upstream_load_limits.h"
#include "upstream_load_func.h"
#include "upstream_notice_func.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr double otherDataCentrePenaltyMs = 60.0; ///< for upstreams elsewhere, because traffic to them is expensive
    /// Largest random cost. Entries learn of each other's load up to 100 ms late and would otherwise all choose the
    /// same engine.
    constexpr double jitterMs = 50.0;
    constexpr double errorPenaltyMs = 400.0; ///< for an error rate of 1
    constexpr Milliseconds expectedWait { 400 }; ///< a full engine or a long plain request may take it to answer
    /// For a request that goes on elsewhere, at engines that are still to load newer weights: it could not be moved
    /// again, and the load would wait for its end.
    constexpr double loadAheadPenaltyMs = 400.0;
    constexpr double plainRequestMs = 60.0; ///< mean time that a plain upstream takes for a request

    /// @return pseudo-random number from 0 to 1, the same for each evaluation of a request and an upstream
    double jitter(const RelayRequest& request, const RelayUpstream& view)
    {
        constexpr std::uint64_t steps = 1024;
        return static_cast<double>(stableHash(request.metadata.attemptId, view.entry.id.value) % steps) / steps;
    }

    /// @return how long a request may take to begin at an upstream: weights that become too old meanwhile are not used
    Milliseconds weightsLead(const RelayUpstream& view)
    {
        if (view.onProbation)
            return probationWeightsLead;
        // What waits for longer than a queue explains lies on a congested link, and a later request lies behind it.
        return view.longestWait > expectedWait ? std::min(view.longestWait * 2, probationWeightsLead) : Milliseconds {};
    }

    bool hasWeights(const RelayState& state, const RelayUpstream& view, const RelayRequest& request, Milliseconds now)
    {
        const HeldModel* held = heldModel(view, request.metadata.model);
        if (!held)
            return false;
        return held->version >= requiredWeights(state, request.metadata.model, now + weightsLead(view));
    }

    bool canRun(const RelayState& state, const RelayUpstream& view, const RelayRequest& request, Milliseconds now)
    {
        if (!view.listed || view.entry.leaving || view.entry.service != request.service)
            return false;
        if (!mayRunIn(state, request.allowed, view.entry.dataCentre))
            return false;
        if (request.excludedUpstreams.contains(view.entry.id) || !maySendBefore(state, view, request.leavesAt))
            return false;
        const Milliseconds pauseEnd = pausedUntil(state, view);
        if (pauseEnd > now && mayEnd(request, EndCause::Lateness) && cannotMeetDeadline(request, pauseEnd))
            return false;
        return request.metadata.model.empty() || hasWeights(state, view, request, now);
    }

    /// @return whether newer weights than those of an engine are declared
    bool willLoad(const RelayState& state, const RelayUpstream& view, const ModelId& model)
    {
        const auto declared = state.declared.find(model);
        const HeldModel* held = heldModel(view, model);
        return declared != state.declared.end() && !declared->second.empty() && held
            && held->version < declared->second.rbegin()->first;
    }

    double slowdownOf(const RelayUpstream& view, Milliseconds now)
    {
        return view.report && now - view.reportedAt < reportMaxAge ? view.report->slowdown : 1.0;
    }

    /// Adds what an upstream stated of itself to the load that entries know of.
    /// @return cost of the upstream's distance from this entry
    double applyStatedLoad(const RelayState& state, const RelayUpstream& view, EngineLoad& load, Milliseconds now)
    {
        load.requests = std::max(load.requests, view.sent + statedByOthers(view, now));
        load.slowdown = expectedSlowdown(view, now);
        return view.entry.dataCentre == state.options.dataCentre
            ? farthestPenaltyMs * ringDistance(state.ringPosition.position, view.ringIndex, view.ringCount)
            : elsewherePenaltyMs;
    }

    double scoreUpstream(const RelayState& state, const RelayUpstream& view, const RelayRequest& request,
        const EngineProfile* profile, const EngineLoad& load, std::optional<double> distanceCost)
    {
        if (state.options.routePolicy == RelayRoutePolicy::LeastRequests)
            return view.sent;
        if (state.options.routePolicy == RelayRoutePolicy::Random)
            return static_cast<double>(stableHash(request.metadata.attemptId, view.entry.id.value) % 1000);
        double cost = view.errorRate * errorPenaltyMs;
        if (view.entry.dataCentre != state.options.dataCentre)
            cost += otherDataCentrePenaltyMs;
        // A congested link or a slow host shows in requests that wait longer than any queue explains.
        cost += static_cast<double>(std::max(view.longestWait - expectedWait, Milliseconds {}).value);
        // With the request itself, as a slow upstream delays it also when it has no other.
        if (!profile && distanceCost)
            return cost + *distanceCost * plainDistanceShare
                + plainRequestMs * load.slowdown * (load.requests + 1) / std::max(view.entry.slots, 1U);
        if (!profile)
            return cost + plainRequestMs * load.requests / std::max<std::uint32_t>(view.entry.slots, 1);
        if (request.mayHaveRun && willLoad(state, view, request.metadata.model))
            cost += loadAheadPenaltyMs;
        return cost + distanceCost.value_or(jitterMs * jitter(request, view))
            + predictFirstToken(*profile, load, request.metadata.promptTokens);
    }

    bool wasHeardLately(const RelayUpstream& view, Milliseconds now)
    {
        return now - view.answeredAt <= engineStallTimeout;
    }

    /// @return whether a request that was taken back must go to an engine that was heard lately, because there is one:
    /// several hosts may have stopped together, and not all are known to have
    bool needsHeardEngine(const RelayState& state, const RelayRequest& request, Milliseconds now)
    {
        return request.mayHaveRun && std::any_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
            return wasHeardLately(item.second, now) && canRun(state, item.second, request, now);
        });
    }

} // namespace

bool reportedLately(const RelayUpstream& view, Milliseconds now)
{
    return view.report && now - view.reportedAt <= reportLifeSignAge;
}

bool isStalled(const RelayUpstream& view, bool engine, Milliseconds now)
{
    if (view.sent == 0)
        return false;
    if (engine && reportedLately(view, now))
        return now - view.lastHeardAt > engineSilenceTimeout;
    const Milliseconds limit = engine
        ? Milliseconds { static_cast<std::int64_t>(
            static_cast<double>(engineStallTimeout.value) * std::max(1.0, slowdownOf(view, now))) }
        : plainStallTimeout;
    return now - view.lastHeardAt > limit;
}

const HeldModel* heldModel(const RelayUpstream& view, const ModelId& model)
{
    // The agent's report is newer than the list.
    const std::vector<HeldModel>& models = view.report ? view.report->models : view.entry.models;
    for (const HeldModel& held : models)
        if (held.model == model && held.whole)
            return &held;
    return nullptr;
}

Milliseconds pauseLeft(const RelayState& state, const RelayRequest& request, Milliseconds now)
{
    std::optional<Milliseconds> first;
    for (const auto& [id, view] : state.upstreams)
        if (canRun(state, view, request, now)) {
            const Milliseconds until = pausedUntil(state, view);
            first = std::min(first.value_or(until), until);
        }
    return std::max(first.value_or(now) - now, Milliseconds {});
}

WeightsVersion requiredWeights(const RelayState& state, const ModelId& model, Milliseconds now)
{
    WeightsVersion required;
    const auto declared = state.declared.find(model);
    if (declared == state.declared.end())
        return required;
    for (const auto& [version, known] : declared->second)
        if (!known.notBefore || now - *known.notBefore >= state.options.weightsGracePeriod)
            required = version;
    return required;
}

std::uint64_t loadKey(const UpstreamId& upstream) { return stableHash("load", upstream.value); }

double predictSlotOccupancy(const EngineProfile& profile)
{
    const double passMs = profile.stride * (profile.stepMs + profile.slots * profile.stepPerRequestMs);
    const double passes = std::max(1.0, static_cast<double>(profile.meanOutputTokens) / std::max(1U, profile.stride));
    const double prefillMs = profile.meanPromptTokens / profile.prefillTokensPerMs;
    // During that time each slot starts one new request, whose prefill delays all running requests.
    return passes * passMs + profile.slots * prefillMs;
}

double predictFirstToken(const EngineProfile& profile, const EngineLoad& load, std::uint32_t promptTokens)
{
    const std::uint32_t running = std::min(load.requests, profile.slots);
    const double passMs = running == 0 ? 0 : profile.stride * (profile.stepMs + running * profile.stepPerRequestMs);
    const double pairs = static_cast<double>(promptTokens) * promptTokens / 2e6;
    const double prefillMs
        = (load.prefillTokens + promptTokens) / profile.prefillTokensPerMs + pairs * profile.prefillPerMegaPairMs;
    const std::uint32_t ahead = load.requests >= profile.slots ? load.requests - profile.slots + 1 : 0;
    const double slotMs = ahead * predictSlotOccupancy(profile) / std::max(1U, profile.slots);
    // A further request also slows down those already running: prefer the emptier of two equally fast engines.
    return load.slowdown * (passMs / 2 + prefillMs + slotMs + running * 2.0);
}

EngineLoad upstreamLoad(const RelayState& state, const RelayUpstream& view, Milliseconds now, double tokensPerMs)
{
    EngineLoad load { .requests = view.sent, .prefillTokens = view.prefillTokens, .slowdown = slowdownOf(view, now) };
    for (const auto& [host, peer] : state.peers) {
        const auto found = peer.loads.find(view.key);
        if (now - peer.receivedAt >= reportMaxAge || found == peer.loads.end())
            continue;
        load.requests += found->second.sent;
        load.prefillTokens += unreadAfter(found->second.prefillTokens, tokensPerMs, now - peer.receivedAt);
    }
    const auto dataCentre = state.dataCentres.find(view.entry.dataCentre);
    if (dataCentre == state.dataCentres.end() || now - dataCentre->second.receivedAt >= reportMaxAge)
        return load;
    const auto total = dataCentre->second.loads.find(view.key);
    if (total == dataCentre->second.loads.end())
        return load;
    // The total includes this entry's load as of one of its last two reports. Replacing the lower of these by the
    // current load counts what was sent since.
    const auto since = [](std::uint32_t sum, std::uint32_t current, std::uint32_t known) {
        return sum + current > known ? sum + current - known : 0;
    };
    load.requests = std::max(load.requests,
        since(total->second.sent, view.sent, std::min(view.advertised.sent, view.previousAdvertised.sent)));
    load.prefillTokens = std::max(load.prefillTokens,
        since(unreadAfter(total->second.prefillTokens, tokensPerMs, now - dataCentre->second.receivedAt),
            view.prefillTokens, std::min(view.advertised.prefillTokens, view.previousAdvertised.prefillTokens)));
    return load;
}

std::uint32_t requestLimit(std::uint32_t slots, std::uint8_t rank, bool engine)
{
    if (!engine)
        return slots;
    // Slots that the other ranks leave free, for engines of the reference size; others in proportion.
    constexpr std::uint32_t referenceSlots = 16;
    constexpr std::uint32_t slotsLeftByRank1 = 1;
    constexpr std::uint32_t slotsLeftByOtherRanks = 3;
    if (rank == 0)
        return slots + 1;
    const std::uint32_t reserved = (rank == 1 ? slotsLeftByRank1 : slotsLeftByOtherRanks) * slots / referenceSlots;
    return std::max(1U, slots - std::min(slots, reserved));
}

std::optional<UpstreamId> chooseUpstream(
    const RelayState& state, const RelayRequest& request, Milliseconds now, bool mustHaveRoom)
{
    if (mustHaveRoom && awaitsOperatorsTable(state, now))
        return std::nullopt;
    const auto service = request.config->services.find(request.service);
    const EngineProfile* profile
        = service != request.config->services.end() && service->second.engine && !request.metadata.model.empty()
        ? &*service->second.engine
        : nullptr;
    const bool heardOnly = profile && mustHaveRoom && needsHeardEngine(state, request, now);
    const RelayUpstream* best = nullptr;
    double bestScore = 0;
    const bool spread = mustHaveRoom && statesSlowdown(state, request.service, now);
    for (const auto& [id, view] : state.upstreams) {
        if (!canRun(state, view, request, now))
            continue;
        if (!mustHaveRoom)
            return id;
        if (view.standsStill || now < view.ejectedUntil || now < view.fullUntil || now < view.orderPendingUntil
            || (view.report && view.report->busy))
            continue;
        if (isStalled(view, profile != nullptr, now) || (view.onProbation && view.sent >= maxProbationRequests))
            continue;
        if (!maySendNow(state, view, now))
            continue;
        if (heardOnly && !wasHeardLately(view, now))
            continue;
        if (profile && view.unbegun >= std::max(maxUnbegun / std::max(1U, state.entryCount), minUnbegunShare))
            continue;
        EngineLoad load = upstreamLoad(state, view, now, spread && profile ? profile->prefillTokensPerMs : 0);
        std::optional<double> distanceCost;
        if (spread)
            distanceCost = applyStatedLoad(state, view, load, now);
        const std::uint8_t rank = request.mayHaveRun ? std::uint8_t { 0 } : request.route->rank;
        if (load.requests >= requestLimit(view.entry.slots, rank, profile != nullptr))
            continue;
        const double cost = scoreUpstream(state, view, request, profile, load, distanceCost);
        if (!best || cost < bestScore) {
            best = &view;
            bestScore = cost;
        }
    }
    return best ? std::optional(best->entry.id) : std::nullopt;
}

} // namespace hickory
