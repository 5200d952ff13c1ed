#include "slot_limit_cmd.h"

#include "slot_func.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    /// Share that a rank without weight keeps, so that it is served when nobody else waits for long.
    constexpr double leastShare = 1e-3;

    /// Weight of one sample in the short and in the long average of the latency.
    constexpr double shortWeight = 0.1;
    constexpr double longWeight = 0.005;

    /// Latency above the long average that is still taken for noise. Prompts differ in length and in cache hits.
    constexpr double tolerance = 2.0;

    /// Share of the most urgent rank's target below which no latency lowers the limit. Fewer slots would cost
    /// throughput there and gain nothing that anybody asked for.
    constexpr double harmlessShare = 0.5;

    /// The limit falls by at most half in one step.
    constexpr double steepest = 0.5;

    /// Share of the computed change that one adaptation takes over.
    constexpr double smoothing = 0.5;

    /// Samples before the averages say anything.
    constexpr std::uint32_t enoughSamples = 20;

    /// The limit is routing information for every entry; adapting it more often would send more notices than needed.
    constexpr Milliseconds adaptInterval { 1000 };

    const ServiceConfig* serviceOf(const AgentState& state)
    {
        const ServiceId& name = state.settings.engine && state.engine.serving ? state.engine.serving->service
            : state.settings.engine                                           ? state.slots.service
                                                                              : state.settings.service;
        const auto& services = state.config.config->services;
        const auto found = std::find_if(
            services.begin(), services.end(), [&](const ServiceConfig& service) { return service.name == name; });
        return found == services.end() ? nullptr : &*found;
    }

    /// Derives floors and shares from the limit in force.
    void deriveRanks(AgentState& state)
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
            // A floor of 0.3 of 10 slots must not become 2 because 0.3 * 10 is a little below 3.
            const double floorSlots = configured[rank].floor * slotLimit(slots) + 1e-9;
            RankShare& share = slots.ranks[rank];
            share.floor = configured[rank].floor;
            share.reserved = static_cast<std::uint32_t>(floorSlots);
            const double weight = weights > 0.0 ? configured[rank].weight / weights : 0.0;
            share.spareShare = std::max(leastShare, floorSlots - share.reserved + spare * weight);
        }
    }

    /// @return the least limit: one slot for each rank that has a floor
    double leastLimit(const AgentState& state)
    {
        const auto& ranks = state.config.config->ranks;
        const auto withFloor
            = std::count_if(ranks.begin(), ranks.end(), [](const RankConfig& rank) { return rank.floor > 0.0; });
        return std::clamp<double>(static_cast<double>(withFloor), 1.0, std::max(1U, state.slots.concurrency));
    }

    /// @return latency that must be exceeded before the limit falls, ms
    double harmlessLatency(const AgentState& state)
    {
        const auto& ranks = state.config.config->ranks;
        return ranks.empty() ? 1.0 : harmlessShare * static_cast<double>(ranks.front().firstTokenTarget.value);
    }

} // namespace

void refreshShares(AgentState& state, AgentEffects& effects)
{
    if (!state.config.config)
        return;
    SlotState& slots = state.slots;
    const ServiceConfig* service = serviceOf(state);
    const std::uint32_t before = slots.concurrency;
    slots.concurrency = service ? service->concurrency : 0;
    slots.service = service ? service->name : ServiceId {};
    slots.workspaceWeights.clear();
    for (const WorkspaceConfig& workspace : state.config.config->workspaces)
        slots.workspaceWeights[workspace.name] = std::max(leastShare, workspace.weight);
    slots.limit.least = leastLimit(state);
    if (before != slots.concurrency) {
        slots.limit.value = slots.concurrency;
        effects.emplace_back(LogLine { .event = "limit-changed",
            .fields = { { "service", slots.service.value }, { "limit", std::to_string(slots.concurrency) },
                { "reason", "configuration" } } });
    }
    slots.limit.value = std::clamp<double>(slots.limit.value, slots.limit.least, std::max(1U, slots.concurrency));
    deriveRanks(state);
}

void resetLatency(AgentState& state, AgentEffects& effects)
{
    AdaptiveLimit& limit = state.slots.limit;
    limit.samples = 0;
    limit.loaded = false;
    limit.value = state.slots.concurrency;
    refreshShares(state, effects);
}

void noteLatency(SlotState& slots, Milliseconds latency)
{
    AdaptiveLimit& limit = slots.limit;
    const auto sample = static_cast<double>(latency.value);
    limit.samples = std::min(limit.samples + 1, std::uint32_t { 1000000 });
    const double first = 1.0 / limit.samples;
    limit.shortLatency += std::max(shortWeight, first) * (sample - limit.shortLatency);
    limit.longLatency += std::max(longWeight, first) * (sample - limit.longLatency);
    limit.loaded = limit.loaded || slotUse(slots).total * 2 >= slotLimit(slots);
}

void tickLimit(AgentState& state, AgentEffects& effects)
{
    SlotState& slots = state.slots;
    AdaptiveLimit& limit = slots.limit;
    if (state.now - limit.adaptedAt < adaptInterval)
        return;
    limit.adaptedAt = state.now;
    effects.emplace_back(MetricSample {
        .kind = MetricSample::Kind::Gauge, .name = "slot_limit", .value = static_cast<double>(slotLimit(slots)) });
    effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Gauge,
        .name = "slots_waiting",
        .value = static_cast<double>(slots.waiting.size()) });
    const bool adapts = state.settings.slotPolicy == SlotPolicy::Floors && state.config.config;
    if (!adapts || !limit.loaded || limit.samples < enoughSamples)
        return;
    limit.loaded = false;
    // After a long overload the long average is too high to notice the next one.
    if (limit.longLatency > 2.0 * limit.shortLatency)
        limit.longLatency *= 0.95;
    const double usual = std::max(tolerance * limit.longLatency, harmlessLatency(state));
    const double ratio = usual / std::max(1.0, limit.shortLatency);
    const double wanted = limit.value * std::clamp(ratio, steepest, 1.0) + 1.0;
    const std::uint32_t before = slotLimit(slots);
    const double most = std::max<double>(limit.least, slots.concurrency);
    limit.value = std::clamp(limit.value + smoothing * (wanted - limit.value), limit.least, most);
    if (before == slotLimit(slots))
        return;
    deriveRanks(state);
    effects.emplace_back(LogLine { .event = "limit-changed",
        .fields = { { "service", slots.service.value }, { "limit", std::to_string(slotLimit(slots)) },
            { "latency_ms", std::to_string(std::lround(limit.shortLatency)) },
            { "usual_ms", std::to_string(std::lround(limit.longLatency)) }, { "reason", "latency" } } });
}

} // namespace hickory
