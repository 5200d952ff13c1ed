#include "placement_cmd.h"

#include "member_func.h"
#include "placement_demand_cmd.h"
#include "placement_plan_func.h"
#include "placement_row_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickory {

namespace {

    /// Interval of row reads at the proposer; the backup at position p uses (p + 1) times this.
    constexpr Milliseconds proposerReadInterval { 2000 };
    /// Least interval of row reads at the other entries. They need the rows for rolloutJson, and because every entry
    /// may propose a change after the delay of its position.
    constexpr Milliseconds observerReadInterval { 5000 };
    /// The interval at the other entries grows with their number, which bounds the reads of the whole fleet.
    constexpr std::int64_t observerReadMillisecondsPerEntry = 500;
    /// Entries that read the rows often: the proposer and its first two backups.
    constexpr std::size_t proposerCandidates = 3;
    /// An entry at position p proposes a change only once it has been due for p times this, so that the entries before
    /// it propose first.
    constexpr Milliseconds proposalDelayPerPosition { 5000 };
    /// Least time between two proposals for one service.
    constexpr Milliseconds writeRetryInterval { 1000 };
    /// Items (one per service and rank) that a peer's demand may have; larger messages are ignored.
    constexpr std::size_t maxDemandItems = 4096;

    void readRows(EntryState& state, const ServiceId& service, ServicePlacement& placement, std::size_t position,
        EntryEffects& effects)
    {
        if (state.now < placement.nextRead)
            return;
        const auto entries = static_cast<std::int64_t>(liveEntries(state.members).size());
        placement.nextRead = state.now
            + (position < proposerCandidates
                    ? proposerReadInterval * static_cast<std::int64_t>(position + 1)
                    : std::max(observerReadInterval, Milliseconds { entries * observerReadMillisecondsPerEntry }));
        const StoreToken token { .purpose = StorePurpose::Placement, .subject = service.value };
        effects.emplace_back(StoreRead { .token = token, .key = placementKey(service) });
        effects.emplace_back(
            StoreRead { .token = { .purpose = StorePurpose::Placement, .subject = service.value, .number = 1 },
                .key = permitKey(service) });
    }

    std::vector<PlanHost> planHosts(const EntryState& state)
    {
        std::vector<PlanHost> hosts;
        for (const Member& member : state.members.list.members) {
            if (member.role != MemberRole::Upstream || member.kind != ServiceKind::Engine
                || isLeaving(state.members, member.host))
                continue;
            PlanHost host { .host = member.host, .dataCentre = member.dataCentre };
            const auto view = state.placement.hosts.find(member.host);
            if (view != state.placement.hosts.end()) {
                const AgentStatus& status = view->second.status;
                host.weightsService = status.service;
                for (std::size_t rank = 0; rank < status.ranks.size(); ++rank) {
                    host.running += status.ranks[rank].running;
                    host.urgent += rank == 0 ? status.ranks[rank].running + status.ranks[rank].queued : 0;
                }
            }
            hosts.push_back(std::move(host));
        }
        return hosts;
    }

    std::vector<PlanService> planServices(const EntryState& state)
    {
        std::vector<PlanService> services;
        for (const ServiceConfig& service : state.config.config->services) {
            if (!service.model)
                continue;
            const ServicePlacement& placement = state.placement.services.at(service.name);
            const std::uint32_t minimum = service.model->minReplicas;
            const std::uint32_t maximum = std::max(minimum, service.model->maxReplicas);
            const auto size = static_cast<std::uint32_t>(placement.row.hosts.size());
            services.push_back({ .service = service.name,
                .minimum = minimum,
                .wanted = std::clamp(placement.growth.count > 0 ? placement.growth.count : size, minimum, maximum),
                .current = placement.row.hosts });
        }
        return services;
    }

    std::string joinHosts(const std::vector<HostId>& hosts, const std::vector<HostId>& excluded)
    {
        std::string text;
        for (const HostId& host : hosts)
            if (!containsHost(excluded, host))
                text += (text.empty() ? "" : ",") + host.value;
        return text;
    }

    std::string changeReason(
        const EntryState& state, const ServicePlacement& placement, const std::vector<HostId>& hosts)
    {
        if (placement.version.value == 0)
            return "first-placement";
        for (const HostId& host : placement.row.hosts)
            if (!containsHost(hosts, host) && isLeaving(state.members, host))
                return "host-lost:" + host.value;
        if (placement.row.generation != state.config.record.generation)
            return "text";
        return hosts.size() > placement.row.hosts.size() ? "demand-or-minimum" : "idle-or-moved";
    }

    void propose(EntryState& state, const ServiceId& service, ServicePlacement& placement,
        const std::vector<HostId>& hosts, EntryEffects& effects)
    {
        const PlacementRow row { .generation = state.config.record.generation,
            .proposer = state.settings.process.host,
            .reason = changeReason(state, placement, hosts),
            .hosts = hosts };
        effects.emplace_back(LogLine { .event = "placement-proposed",
            .fields = { { "service", service.value }, { "added", joinHosts(row.hosts, placement.row.hosts) },
                { "removed", joinHosts(placement.row.hosts, row.hosts) }, { "hosts", std::to_string(row.hosts.size()) },
                { "reason", row.reason }, { "row", std::to_string(placement.version.value) },
                { "generation", std::to_string(row.generation.value) } } });
        effects.emplace_back(
            MetricSample { .name = "placement_proposals_total", .labels = "service=\"" + service.value + "\"" });
        placement.writing = true;
        placement.nextWrite = state.now + writeRetryInterval;
        effects.emplace_back(
            StoreWrite { .token = { .purpose = StorePurpose::Placement, .subject = service.value, .number = 2 },
                .key = placementKey(service),
                .ifVersion = placement.version,
                .value = placementRowJson(row) });
    }

    void proposeIfDue(EntryState& state, const ServiceId& service, ServicePlacement& placement, std::size_t position,
        const std::vector<HostId>& hosts, EntryEffects& effects)
    {
        if (hosts == placement.row.hosts) {
            placement.changeSince = { 0 };
            return;
        }
        if (placement.changeSince.value == 0)
            placement.changeSince = state.now;
        const bool due
            = state.now - placement.changeSince >= proposalDelayPerPosition * static_cast<std::int64_t>(position);
        if (due && !placement.writing && state.now >= placement.nextWrite)
            propose(state, service, placement, hosts, effects);
    }

    template <typename Row>
    void adoptRow(RowVersion& version, Row& row, bool& known, const StoreAnswer& answer, const Result<Row>& parsed)
    {
        if (known && answer.version < version)
            return;
        known = true;
        version = answer.version;
        row = answer.version.value > 0 && parsed ? parsed.value() : Row {};
    }

} // namespace

void applyPlacementStoreAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects)
{
    // Token numbers: 0 for a read of the placement row, 1 for a read of the permit row, 2 for a write of the placement
    // row.
    const auto found = state.placement.services.find(ServiceId { answer.token.subject });
    if (found == state.placement.services.end())
        return;
    ServicePlacement& placement = found->second;
    if (answer.token.number == 1) {
        if (answer.status != StoreStatus::Unavailable)
            adoptRow(
                placement.permitVersion, placement.permit, placement.permitKnown, answer, parsePermitRow(answer.value));
        return;
    }
    if (answer.token.number == 2) {
        placement.writing = false;
        if (answer.status == StoreStatus::Unavailable) {
            // The write may have taken effect, so the row is read before the next proposal.
            placement.nextRead = state.now;
            placement.nextWrite = state.now + writeRetryInterval * 2;
        } else if (answer.status == StoreStatus::Conflict) {
            effects.emplace_back(LogLine { .level = LogLevel::Debug,
                .event = "placement-conflict",
                .fields = { { "service", found->first.value }, { "row", std::to_string(answer.version.value) } } });
        }
    }
    if (answer.status != StoreStatus::Unavailable)
        adoptRow(placement.version, placement.row, placement.known, answer, parsePlacementRow(answer.value));
}

void applyDemand(EntryState& state, const HostId& from, const std::vector<Demand>& demand, EntryEffects&)
{
    // Ordinary gossip carries no demand; that does not mean that the peer has none.
    if (demand.empty() || demand.size() > maxDemandItems || !findMember(state.members, from))
        return;
    state.placement.demand[from] = { .demand = demand, .receivedAt = state.now };
}

void updateHostStatus(EntryState& state, const AgentStatus& status)
{
    const Member* member = findMember(state.members, status.host);
    if (!member || member->kind != ServiceKind::Engine)
        return;
    HostView& view = state.placement.hosts[status.host];
    if (view.status.incarnation == status.incarnation && status.sequence < view.status.sequence)
        return;
    view = { .status = status, .receivedAt = state.now };
}

void applyConfigToPlacement(EntryState& state, EntryEffects&)
{
    if (!state.config.config)
        return;
    std::erase_if(state.placement.services,
        [&](const auto& entry) { return !findEngineService(*state.config.config, entry.first); });
    for (const ServiceConfig& service : state.config.config->services)
        if (service.model)
            state.placement.services.try_emplace(service.name);
    std::erase_if(state.placement.hosts, [&](const auto& entry) { return !findMember(state.members, entry.first); });
    std::erase_if(state.placement.demand, [&](const auto& entry) { return !findMember(state.members, entry.first); });
}

void tickPlacement(EntryState& state, EntryEffects& effects)
{
    PlacementState& placementState = state.placement;
    if (!state.config.config || state.members.list.version == 0 || state.leaving)
        return;
    bool allKnown = true;
    for (auto& [service, placement] : placementState.services) {
        readRows(state, service, placement, proposerPosition(state, service), effects);
        allKnown = allKnown && placement.known;
    }
    tickDemand(state, effects);
    // With a row missing, a host assigned to that row's service would count as unassigned.
    if (!allKnown)
        return;
    const std::map<ServiceId, std::vector<HostId>> plan = planPlacement(planServices(state), planHosts(state));
    for (const auto& [service, hosts] : plan)
        proposeIfDue(
            state, service, placementState.services.at(service), proposerPosition(state, service), hosts, effects);
}

std::string rolloutJson(const EntryState& state)
{
    nlohmann::json list = nlohmann::json::array();
    if (!state.config.config)
        return list.dump();
    for (const ServiceConfig& service : state.config.config->services) {
        const auto found = state.placement.services.find(service.name);
        if (!service.model || found == state.placement.services.end())
            continue;
        const ServicePlacement& placement = found->second;
        const PermitRow& permit = placement.permit;
        const bool current = sameTarget(permit.model, *service.model);
        nlohmann::json hosts = nlohmann::json::array();
        nlohmann::json done = nlohmann::json::array();
        nlohmann::json holders = nlohmann::json::array();
        nlohmann::json fetching = nlohmann::json::array();
        for (const HostId& host : placement.row.hosts) {
            hosts.push_back(host.value);
            const auto view = state.placement.hosts.find(host);
            const bool serves = view != state.placement.hosts.end() && view->second.status.ready
                && view->second.status.service == service.name && view->second.status.version == service.model->version;
            if (serves || (current && containsHost(permit.done, host)))
                done.push_back(host.value);
            else if (view != state.placement.hosts.end()
                && view->second.status.chunksHave < view->second.status.chunksTotal)
                fetching.push_back({ { "host", host.value }, { "have", view->second.status.chunksHave },
                    { "total", view->second.status.chunksTotal } });
        }
        for (const PermitHolder& holder : permit.holders)
            holders.push_back(holder.host.value);
        list.push_back({ { "service", service.name.value }, { "model", service.model->name.value },
            { "version", service.model->version.value }, { "manifest", service.model->manifest.value },
            { "hosts", hosts }, { "done", done }, { "fetching", fetching }, { "out", holders },
            { "stopped", current && permit.stopped }, { "reason", current ? permit.reason : "" },
            { "complete", !hosts.empty() && done.size() == hosts.size() } });
    }
    return list.dump();
}

} // namespace hickory
