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

    /// A proposer of a fleet of 40 entries gets 20 messages of about 150 bytes a second.
    constexpr std::int64_t demandMillisecondsForEntry = 50;
    constexpr Milliseconds shortestDemandInterval { 250 };
    constexpr Milliseconds growthInterval { 250 };
    /// Demand and status older than this are not counted.
    constexpr Milliseconds demandAge { 10000 };
    /// A status of about 200 bytes for each agent: 4 KB/s for a proposer, whatever the fleet's size.
    constexpr std::int64_t statusMillisecondsForHost = 50;
    constexpr Milliseconds shortestStatusInterval { 2000 };

    bool proposes(const EntryState& state)
    {
        return std::any_of(state.placement.services.begin(), state.placement.services.end(),
            [&](const auto& entry) { return proposerPosition(state, entry.first) < demandReceivers; });
    }

    void sendDemand(EntryState& state, EntryEffects& effects)
    {
        PlacementState& own = state.placement;
        if (state.now < own.nextDemand)
            return;
        const std::vector<HostId> entries = liveEntries(state.members);
        own.nextDemand = state.now
            + std::max(shortestDemandInterval,
                Milliseconds { static_cast<std::int64_t>(entries.size()) * demandMillisecondsForEntry });
        std::vector<Demand> demand = localDemand(state);
        std::erase_if(demand, [&](const Demand& item) { return !own.services.contains(item.service); });
        const bool idle = demand.empty();
        // An explicit zero ends demand that was told before; a message without demand says nothing.
        for (const auto& entry : own.services)
            if (std::none_of(
                    demand.begin(), demand.end(), [&](const Demand& item) { return item.service == entry.first; }))
                demand.push_back({ .service = entry.first });
        const bool sentBefore = own.demandSent;
        own.demandSent = !idle;
        own.demand[state.settings.process.host] = { .demand = demand, .receivedAt = state.now };
        if (idle && !sentBefore)
            return;
        std::set<HostId> receivers;
        for (const auto& [service, placement] : own.services) {
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

    void askForStatus(EntryState& state, EntryEffects& effects)
    {
        PlacementState& own = state.placement;
        if (state.now < own.nextStatus || !proposes(state))
            return;
        const auto hosts = static_cast<std::int64_t>(state.members.list.members.size());
        own.nextStatus
            = state.now + std::max(shortestStatusInterval, Milliseconds { hosts * statusMillisecondsForHost });
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
            if (state.now - received.receivedAt <= demandAge)
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

    /// @return true when another service waits for a host and none is free
    bool wantedElsewhere(const EntryState& state, const ServiceId& service)
    {
        std::size_t engines = 0;
        for (const Member& member : state.members.list.members)
            engines += member.role == MemberRole::Upstream && member.kind == ServiceKind::Engine
                    && !isLeaving(state.members, member.host)
                ? 1
                : 0;
        std::size_t assigned = 0;
        bool waits = false;
        for (const auto& [name, placement] : state.placement.services) {
            assigned += placement.row.hosts.size();
            waits = waits || (name != service && placement.growth.count > placement.row.hosts.size());
        }
        return waits && assigned >= engines;
    }

    void decideCounts(EntryState& state, EntryEffects& effects)
    {
        PlacementState& own = state.placement;
        if (state.now < own.nextGrowth)
            return;
        own.nextGrowth = state.now + growthInterval;
        const bool hears = proposes(state);
        for (auto& [name, placement] : own.services) {
            const ServiceConfig* service = findEngineService(*state.config.config, name);
            // Who does not hear of demand takes the row as it is, and begins with it when it becomes a proposer.
            if (!service || !placement.known || !hears) {
                placement.growth = {};
                continue;
            }
            ServiceLoad load = serviceLoad(state, *service, placement);
            load.wantedElsewhere = wantedElsewhere(state, name);
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
    const std::uint64_t own = placementHash(placementKey(service), state.settings.process.host.value);
    std::size_t position = 0;
    for (const Member& member : state.members.list.members)
        if (member.role == MemberRole::Entry && !isLeaving(state.members, member.host)
            && member.host != state.settings.process.host) {
            const std::uint64_t other = placementHash(placementKey(service), member.host.value);
            position += other > own || (other == own && member.host < state.settings.process.host) ? 1 : 0;
        }
    return position;
}

void tickDemand(EntryState& state, EntryEffects& effects)
{
    sendDemand(state, effects);
    askForStatus(state, effects);
    decideCounts(state, effects);
}

} // namespace hickory
