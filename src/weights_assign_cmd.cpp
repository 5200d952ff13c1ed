#include "weights_assign_cmd.h"

#include "placement_row_func.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Interval of placement row reads for each host of the fleet, in ms. Up to 1,000 hosts, where maxReadInterval is
    /// reached, the whole fleet reads at most 1000 / 15 = 66 rows a second, of the 2,000 that the store handles.
    constexpr std::int64_t readIntervalPerHostMs = 15;
    constexpr Milliseconds minReadInterval { 1000 };
    constexpr Milliseconds maxReadInterval { 15000 };
    /// Delay, without jitter, between the reads of all rows for a new configuration and the first periodic read.
    constexpr Milliseconds initialReadDelay { 1000 };

    Milliseconds readInterval(const AgentState& state)
    {
        const auto hosts = static_cast<std::int64_t>(state.members.list.members.size());
        return std::clamp(Milliseconds { hosts * readIntervalPerHostMs }, minReadInterval, maxReadInterval);
    }

    void readPlacementRow(const ServiceId& service, AgentEffects& effects)
    {
        effects.emplace_back(StoreRead {
            .token = { .purpose = StorePurpose::Placement, .subject = service.value }, .key = placementKey(service) });
    }

    /// @return service and model by the placement row that names this host, empty when none does
    std::optional<WantedModel> resolveWanted(const AgentState& state)
    {
        for (const ServiceConfig& service : state.config.config->services) {
            const auto placement = state.weights.placements.find(service.name);
            if (!service.model || placement == state.weights.placements.end()
                || !containsHost(placement->second.row.hosts, state.settings.process.host))
                continue;
            WantedModel wanted {
                .service = service.name, .model = *service.model, .maxUnavailable = service.maxUnavailable
            };
            const auto permit = state.weights.permits.find(service.name);
            if (permit != state.weights.permits.end() && permit->second.row.stopped && permit->second.row.previous
                && sameTarget(permit->second.row.model, *service.model))
                wanted.model = *permit->second.row.previous;
            return wanted;
        }
        return {};
    }

} // namespace

void applyConfigToPlacements(AgentState& state, AgentEffects& effects)
{
    WeightsState& weights = state.weights;
    weights.generation = state.config.record.generation;
    const auto removed = [&](const auto& entry) { return !findEngineService(*state.config.config, entry.first); };
    std::erase_if(weights.placements, removed);
    std::erase_if(weights.permits, removed);
    for (const ServiceConfig& service : state.config.config->services)
        if (service.model) {
            weights.placements.try_emplace(service.name);
            readPlacementRow(service.name, effects);
        }
    // Without jitter, hosts that receive a configuration at the same time would go on reading at the same times.
    const auto jitter
        = static_cast<std::int64_t>(state.random() % static_cast<std::uint64_t>(readInterval(state).value));
    weights.nextPlacementRead = state.now + initialReadDelay + Milliseconds { jitter };
}

void tickPlacementReads(AgentState& state, AgentEffects& effects)
{
    WeightsState& weights = state.weights;
    if (state.now < weights.nextPlacementRead || weights.placements.empty())
        return;
    // An assigned host only needs the row of its service; an unassigned one may be named by any row.
    if (weights.wanted) {
        readPlacementRow(weights.wanted->service, effects);
    } else {
        auto next = weights.placements.begin();
        std::advance(next, weights.placementCursor++ % weights.placements.size());
        readPlacementRow(next->first, effects);
    }
    weights.nextPlacementRead = state.now + readInterval(state);
}

void applyPlacementAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
{
    const auto found = state.weights.placements.find(ServiceId { answer.token.subject });
    if (found == state.weights.placements.end())
        return;
    PlacementView& view = found->second;
    // While the store is unavailable the last row stays valid. An answer older than the view arrived out of order.
    if (answer.status == StoreStatus::Unavailable || (view.known && answer.version < view.version))
        return;
    if (view.known && answer.version == view.version)
        return;
    PlacementRow row;
    if (answer.status == StoreStatus::Ok) {
        Result<PlacementRow> parsed = parsePlacementRow(answer.value);
        if (!parsed) {
            effects.emplace_back(LogLine { .level = LogLevel::Warning,
                .event = "placement-row-unreadable",
                .fields = { { "service", found->first.value }, { "reason", parsed.error().text() } } });
            return;
        }
        row = std::move(parsed.value());
    }
    view = { .known = true, .version = answer.version, .row = std::move(row) };
    ++state.weights.fetchingHostsVersion;
    const bool assigned = state.weights.wanted.has_value();
    updateWanted(state, effects);
    if (assigned && !state.weights.wanted) {
        // The host was removed from its service; another service's row may already name it.
        for (const auto& [service, other] : state.weights.placements)
            if (service != found->first)
                readPlacementRow(service, effects);
    }
}

void updateWanted(AgentState& state, AgentEffects& effects)
{
    if (!state.config.config)
        return;
    std::optional<WantedModel> wanted = resolveWanted(state);
    WeightsState& weights = state.weights;
    if (wanted == weights.wanted)
        return;
    LogLine line { .event = "wanted-version" };
    if (wanted) {
        const PlacementView& view = weights.placements.at(wanted->service);
        line.fields = { { "service", wanted->service.value }, { "model", wanted->model.name.value },
            { "version", wanted->model.version.value }, { "manifest", wanted->model.manifest.value },
            { "placement-row", std::to_string(view.version.value) }, { "placement-reason", view.row.reason } };
    } else {
        line.fields = { { "service", "none" } };
    }
    line.fields.emplace_back("generation", std::to_string(state.config.record.generation.value));
    line.fields.emplace_back("fence", std::to_string(state.engine.fence.value));
    effects.emplace_back(std::move(line));
    weights.wanted = std::move(wanted);
    weights.rollout.failedSince = { 0 };
    weights.rollout.permitWaitReason.clear();
    ++weights.fetchingHostsVersion;
}

const PlacementRow* wantedPlacement(const AgentState& state)
{
    if (!state.weights.wanted)
        return nullptr;
    const auto found = state.weights.placements.find(state.weights.wanted->service);
    return found == state.weights.placements.end() ? nullptr : &found->second.row;
}

EngineTarget engineTarget(const WantedModel& wanted, const std::string& weightsDigest)
{
    return { .service = wanted.service,
        .model = wanted.model.name,
        .version = wanted.model.version,
        .manifest = wanted.model.manifest,
        .weightsDigest = weightsDigest,
        .adapters = wanted.model.adapters,
        .role = wanted.model.role };
}

bool runsWanted(const EngineTarget& target, const WantedModel& wanted)
{
    return target.service == wanted.service && target.model == wanted.model.name
        && target.version == wanted.model.version && target.manifest == wanted.model.manifest
        && target.adapters == wanted.model.adapters && target.role == wanted.model.role;
}

} // namespace hickory
