#include "slot_limit_cmd.h"

#include "slot_func.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    /// Minimum weight of ranks and workspaces, so that one with weight 0 is not starved completely.
    constexpr double minShare = 1e-3;

    /// Weight of a sample in the short-term average of the latency.
    constexpr double shortTermWeight = 0.1;

    /// Weight of a sample in the long-term average of the latency.
    constexpr double longTermWeight = 0.005;

    /// Ratio of the short-term to the long-term latency that still counts as noise, since prompts differ in length and
    /// in cache hits.
    constexpr double latencyTolerance = 2.0;

    /// Share of the most urgent rank's latency target below which the limit is never lowered. Fewer slots would cost
    /// throughput although the target is met.
    constexpr double ignoredLatencyShare = 0.5;

    /// Least target of one adaptation, as a factor on the present limit. With smoothingFactor applied, one adaptation
    /// lowers the limit by at most a quarter.
    constexpr double minLimitFactor = 0.5;

    /// Share of the computed change that one adaptation applies.
    constexpr double smoothingFactor = 0.5;

    /// Samples needed before the averages are used.
    constexpr std::uint32_t minSamples = 20;

    /// Minimum time between two adaptations. Every change of the limit is sent to the entries, which route by it.
    constexpr Milliseconds adaptationInterval { 1000 };

    /// @return configuration of the service that the upstream serves, or nullptr when there is none
    const ServiceConfig* servedService(const AgentState& state)
    {
        const ServiceId& name = state.settings.engine && state.engine.serving ? state.engine.serving->service
            : state.settings.engine                                           ? state.slots.service
                                                                              : state.settings.service;
        const auto& services = state.config.config->services;
        const auto found = std::find_if(
            services.begin(), services.end(), [&](const ServiceConfig& service) { return service.name == name; });
        return found == services.end() ? nullptr : &*found;
    }

    /// Derives the reserved slots and spare weights of the ranks from the configuration and the limit in force.
    void deriveRankShares(AgentState& state)
    {
        SlotState& slots = state.slots;
        const auto& configured = state.config.config->ranks;
        slots.ranks.resize(std::max<std::size_t>(configured.size(), 1));
        slots.fairness.resize(slots.ranks.size());
        double floors = 0.0;
        double weights = 0.0;
        for (const RankConfig& rank : configured) {
            floors += rank.floor;
            weights += rank.weight;
        }
        const double spare = std::max(0.0, 1.0 - floors) * slotLimit(slots);
        for (std::size_t rank = 0; rank < configured.size(); ++rank) {
            // 1e-9 compensates for rounding errors: a floor of 0.3 of 10 slots must not become 2 slots.
            const double floorSlots = configured[rank].floor * slotLimit(slots) + 1e-9;
            RankShare& share = slots.ranks[rank];
            share.floor = configured[rank].floor;
            share.reservedSlots = static_cast<std::uint32_t>(floorSlots);
            const double weight = weights > 0.0 ? configured[rank].weight / weights : 0.0;
            share.spareWeight = std::max(minShare, floorSlots - share.reservedSlots + spare * weight);
        }
    }

    /// @return minimum of the adaptive limit: one slot for each rank that has a floor, at least 1
    double minimumLimit(const AgentState& state)
    {
        const auto& ranks = state.config.config->ranks;
        const auto withFloor
            = std::count_if(ranks.begin(), ranks.end(), [](const RankConfig& rank) { return rank.floor > 0.0; });
        return std::clamp<double>(static_cast<double>(withFloor), 1.0, std::max(1U, state.slots.concurrency));
    }

    /// @return latency up to which the limit is not lowered, ms
    double ignoredLatency(const AgentState& state)
    {
        const auto& ranks = state.config.config->ranks;
        return ranks.empty() ? 1.0 : ignoredLatencyShare * static_cast<double>(ranks.front().firstTokenTarget.value);
    }

} // namespace

void refreshShares(AgentState& state, AgentEffects& effects)
{
    if (!state.config.config)
        return;
    SlotState& slots = state.slots;
    const ServiceConfig* service = servedService(state);
    const std::uint32_t before = slots.concurrency;
    slots.concurrency = service ? service->concurrency : 0;
    slots.service = service ? service->name : ServiceId {};
    slots.workspaceWeights.clear();
    for (const WorkspaceConfig& workspace : state.config.config->workspaces)
        slots.workspaceWeights[workspace.name] = std::max(minShare, workspace.weight);
    slots.limit.minimum = minimumLimit(state);
    if (before != slots.concurrency) {
        slots.limit.value = slots.concurrency;
        effects.emplace_back(LogLine { .event = "limit-changed",
            .fields = { { "service", slots.service.value }, { "limit", std::to_string(slots.concurrency) },
                { "reason", "configuration" } } });
    }
    slots.limit.value = std::clamp<double>(slots.limit.value, slots.limit.minimum, std::max(1U, slots.concurrency));
    deriveRankShares(state);
}

void resetLatency(AgentState& state, AgentEffects& effects)
{
    AdaptiveLimit& limit = state.slots.limit;
    limit.samples = 0;
    limit.underLoad = false;
    limit.value = state.slots.concurrency;
    refreshShares(state, effects);
}

void recordLatency(SlotState& slots, Milliseconds latency)
{
    AdaptiveLimit& limit = slots.limit;
    const auto sample = static_cast<double>(latency.value);
    limit.samples = std::min(limit.samples + 1, std::uint32_t { 1000000 });
    const double first = 1.0 / limit.samples;
    limit.shortTermLatency += std::max(shortTermWeight, first) * (sample - limit.shortTermLatency);
    limit.longTermLatency += std::max(longTermWeight, first) * (sample - limit.longTermLatency);
    limit.underLoad = limit.underLoad || slotUse(slots).total * 2 >= slotLimit(slots);
}

void tickLimit(AgentState& state, AgentEffects& effects)
{
    SlotState& slots = state.slots;
    AdaptiveLimit& limit = slots.limit;
    if (state.now - limit.adaptedAt < adaptationInterval)
        return;
    limit.adaptedAt = state.now;
    effects.emplace_back(MetricSample {
        .kind = MetricSample::Kind::Gauge, .name = "slot_limit", .value = static_cast<double>(slotLimit(slots)) });
    effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Gauge,
        .name = "slots_waiting",
        .value = static_cast<double>(slots.waiting.size()) });
    const bool adapts = state.settings.slotPolicy == SlotPolicy::Floors && state.config.config;
    if (!adapts || !limit.underLoad || limit.samples < minSamples)
        return;
    limit.underLoad = false;
    // After a long overload the long-term average is too high to detect the next one, so it is lowered faster.
    if (limit.longTermLatency > 2.0 * limit.shortTermLatency)
        limit.longTermLatency *= 0.95;
    const double latencyThreshold = std::max(latencyTolerance * limit.longTermLatency, ignoredLatency(state));
    const double ratio = latencyThreshold / std::max(1.0, limit.shortTermLatency);
    const double targetLimit = limit.value * std::clamp(ratio, minLimitFactor, 1.0) + 1.0;
    const std::uint32_t before = slotLimit(slots);
    const double maximum = std::max<double>(limit.minimum, slots.concurrency);
    limit.value = std::clamp(limit.value + smoothingFactor * (targetLimit - limit.value), limit.minimum, maximum);
    if (before == slotLimit(slots))
        return;
    deriveRankShares(state);
    effects.emplace_back(LogLine { .event = "limit-changed",
        .fields = { { "service", slots.service.value }, { "limit", std::to_string(slotLimit(slots)) },
            { "latency_ms", std::to_string(std::lround(limit.shortTermLatency)) },
            { "usual_ms", std::to_string(std::lround(limit.longTermLatency)) }, { "reason", "latency" } } });
}

} // namespace hickory
