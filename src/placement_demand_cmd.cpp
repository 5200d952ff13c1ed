#include "placement_demand_cmd.h"

#include "control_cmd.h"
#include "digest_func.h"
#include "member_func.h"
#include "placement_growth_func.h"
#include "placement_row_func.h"
#include "request_cmd.h"

#include <algorithm>
#include <set>

namespace hickory {

namespace {

    /// The send interval grows with the number of entries, so that a proposer gets at most 20 messages of about 150
    /// bytes a second.
    constexpr std::int64_t demandMillisecondsPerEntry = 50;
    constexpr Milliseconds minDemandInterval { 250 };
    constexpr Milliseconds growthInterval { 250 };
    /// Demand older than this is not counted.
    constexpr Milliseconds maxDemandAge { 10000 };
    /// The query interval grows with the number of hosts: at about 200 bytes per agent a proposer gets at most 4 KB/s,
    /// whatever the fleet's size.
    constexpr std::int64_t statusMillisecondsPerHost = 50;
    constexpr Milliseconds minStatusInterval { 2000 };

    bool isProposerOrBackup(const EntryState& state)
    {
        return std::any_of(state.placement.services.begin(), state.placement.services.end(),
            [&](const auto& entry) { return proposerPosition(state, entry.first) < demandReceivers; });
    }

    void sendDemand(EntryState& state, EntryEffects& effects)
    {
        PlacementState& placementState = state.placement;
        if (state.now < placementState.nextDemand)
            return;
        const std::vector<HostId> entries = liveEntries(state.members);
        placementState.nextDemand = state.now
            + std::max(minDemandInterval,
                Milliseconds { static_cast<std::int64_t>(entries.size()) * demandMillisecondsPerEntry });
        std::vector<Demand> demand = localDemand(state);
        std::erase_if(demand, [&](const Demand& item) { return !placementState.services.contains(item.service); });
        const bool idle = demand.empty();
        // Services without demand are sent as an explicit zero, since receivers ignore empty demand.
        for (const auto& entry : placementState.services)
            if (std::none_of(
                    demand.begin(), demand.end(), [&](const Demand& item) { return item.service == entry.first; }))
                demand.push_back({ .service = entry.first });
        const bool sentBefore = placementState.demandSent;
        placementState.demandSent = !idle;
        placementState.demand[state.settings.process.host] = { .demand = demand, .receivedAt = state.now };
        if (idle && !sentBefore)
            return;
        std::set<HostId> receivers;
        for (const auto& [service, placement] : placementState.services) {
            std::vector<HostId> order = rendezvousOrder(placementKey(service), entries);
            order.resize(std::min(order.size(), demandReceivers));
            receivers.insert(order.begin(), order.end());
        }
        receivers.erase(state.settings.process.host);
        for (const HostId& receiver : receivers)
            if (const Member* member = findMember(state.members, receiver)) {
                GossipMessage message = localGossip(state);
                message.demand = demand;
                effects.emplace_back(
                    SendGossip { .peer = receiver, .address = member->address, .message = std::move(message) });
            }
    }

    void queryEntryStatuses(EntryState& state, EntryEffects& effects)
    {
        PlacementState& placementState = state.placement;
        if (state.now < placementState.nextStatus || !isProposerOrBackup(state))
            return;
        const auto hosts = static_cast<std::int64_t>(state.members.list.members.size());
        placementState.nextStatus
            = state.now + std::max(minStatusInterval, Milliseconds { hosts * statusMillisecondsPerHost });
        for (const HostId& entry : liveEntries(state.members))
            if (const Member* member = findMember(state.members, entry); entry != state.settings.process.host)
                effects.emplace_back(
                    QueryEntryStatus { .peer = entry, .address = member->address, .query = placementQuery });
    }

    ServiceLoad serviceLoad(const EntryState& state, const ServiceConfig& service, const ServicePlacement& placement)
    {
        ServiceLoad load { .replicas = static_cast<std::uint32_t>(placement.row.hosts.size()),
            .concurrency = service.concurrency,
            .minimum = service.model->minReplicas,
            .maximum = std::max(service.model->minReplicas, service.model->maxReplicas) };
        for (const auto& [entry, received] : state.placement.demand)
            if (state.now - received.receivedAt <= maxDemandAge)
                for (const Demand& demand : received.demand)
                    load.demandTokens += demand.service == service.name ? demand.tokens.value : 0;
        for (const HostId& host : placement.row.hosts) {
            const auto view = state.placement.hosts.find(host);
            if (view == state.placement.hosts.end() || view->second.status.service != service.name)
                continue;
            load.ready += view->second.status.ready ? 1 : 0;
            for (const RankLoad& rank : view->second.status.ranks) {
                load.running += rank.running;
                load.queued += rank.queued;
            }
        }
        return load;
    }

    /// @return true when another service wants more hosts than it has and no engine host is free
    bool hostsContended(const EntryState& state, const ServiceId& service)
    {
        std::size_t engineHosts = 0;
        for (const Member& member : state.members.list.members)
            engineHosts += member.role == MemberRole::Upstream && member.kind == ServiceKind::Engine
                    && !isLeaving(state.members, member.host)
                ? 1
                : 0;
        std::size_t assigned = 0;
        bool anotherWaits = false;
        for (const auto& [name, placement] : state.placement.services) {
            assigned += placement.row.hosts.size();
            anotherWaits = anotherWaits || (name != service && placement.growth.count > placement.row.hosts.size());
        }
        return anotherWaits && assigned >= engineHosts;
    }

    void decideReplicaCounts(EntryState& state, EntryEffects& effects)
    {
        PlacementState& placementState = state.placement;
        if (state.now < placementState.nextGrowth)
            return;
        placementState.nextGrowth = state.now + growthInterval;
        const bool receivesDemand = isProposerOrBackup(state);
        for (auto& [name, placement] : placementState.services) {
            const ServiceConfig* service = findEngineService(*state.config.config, name);
            // Without demand from the other entries no count can be decided: the row stays as it is, and its size is
            // the starting point once this entry becomes a proposer.
            if (!service || !placement.known || !receivesDemand) {
                placement.growth = {};
                continue;
            }
            ServiceLoad load = serviceLoad(state, *service, placement);
            load.hostsContended = hostsContended(state, name);
            const std::uint32_t before = placement.growth.count;
            const std::uint32_t count = decideGrowth(placement.growth, state.settings.growthPolicy, load, state.now);
            if (before == 0 || count == before)
                continue;
            effects.emplace_back(LogLine { .event = "replicas-wanted",
                .fields = { { "service", name.value }, { "from", std::to_string(before) },
                    { "to", std::to_string(count) }, { "reason", count > before ? "backlog" : "idle" },
                    { "demand-tokens", std::to_string(load.demandTokens) },
                    { "tokens-per-request",
                        std::to_string(static_cast<std::uint64_t>(placement.growth.tokensPerRequest)) },
                    { "running", std::to_string(load.running) }, { "queued", std::to_string(load.queued) },
                    { "ready", std::to_string(load.ready) },
                    { "generation", std::to_string(state.config.record.generation.value) } } });
        }
    }

} // namespace

std::size_t proposerPosition(const EntryState& state, const ServiceId& service)
{
    const std::uint64_t ownScore = stableHash(placementKey(service), state.settings.process.host.value);
    std::size_t position = 0;
    for (const Member& member : state.members.list.members)
        if (member.role == MemberRole::Entry && !isLeaving(state.members, member.host)
            && member.host != state.settings.process.host) {
            const std::uint64_t otherScore = stableHash(placementKey(service), member.host.value);
            position += otherScore > ownScore || (otherScore == ownScore && member.host < state.settings.process.host)
                ? 1
                : 0;
        }
    return position;
}

void tickDemand(EntryState& state, EntryEffects& effects)
{
    sendDemand(state, effects);
    queryEntryStatuses(state, effects);
    decideReplicaCounts(state, effects);
}

} // namespace hickory
