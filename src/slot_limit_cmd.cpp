#include "slot_limit_cmd.h"

#include "slot_func.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    /// Share that a rank without weight keeps, so that it is served when nobody else waits for long.
    constexpr double leastShare = 1e-3;

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
        const double spare = std::max(0.0, 1.0 - floors) * slots.concurrency;
        for (std::size_t rank = 0; rank < configured.size(); ++rank) {
            // A floor of 0.3 of 10 slots must not become 2 because 0.3 * 10 is a little below 3.
            const double floorSlots = configured[rank].floor * slots.concurrency + 1e-9;
            RankShare& share = slots.ranks[rank];
            share.floor = configured[rank].floor;
            share.reserved = static_cast<std::uint32_t>(floorSlots);
            const double weight = weights > 0.0 ? configured[rank].weight / weights : 0.0;
            share.spareShare = std::max(leastShare, floorSlots - share.reserved + spare * weight);
        }
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
    deriveRanks(state);
    if (before != slots.concurrency) {
        slots.limit = { .value = static_cast<double>(slots.concurrency) };
        effects.emplace_back(LogLine { .event = "limit-changed",
            .fields = { { "service", slots.service.value }, { "limit", std::to_string(slots.concurrency) },
                { "reason", "configuration" } } });
    }
}

void adaptLimit(AgentState& state, Milliseconds latency, AgentEffects&)
{
    AdaptiveLimit& limit = state.slots.limit;
    const auto sample = static_cast<double>(latency.value);
    limit.shortLatency = limit.samples == 0 ? sample : limit.shortLatency + 0.1 * (sample - limit.shortLatency);
    ++limit.samples;
}

} // namespace hickory
