#include "upstream_view_cmd.h"

#include "digest_func.h"
#include "member_func.h"
#include "request_log_func.h"
#include "route_room_cmd.h"
#include "upstream_view_subset_func.h"

#include <algorithm>
#include <string>

namespace hickory {

namespace {

    /// Engine hosts that are asked what they serve while a service has fewer known upstreams than its subset.
    constexpr std::size_t probeLimit = 64;
    /// Shortest and longest time before a lost connection is asked for again; doubled with each failure.
    constexpr Milliseconds reconnectMin { 250 };
    constexpr Milliseconds reconnectMax { 10000 };
    /// Heartbeats in a row that may be missed before an agent gets no new work.
    constexpr std::uint32_t missedLimit = 3;
    /// Ring points for each candidate; enough to keep neighbours' shares within a factor of two.
    constexpr std::size_t ringPoints = 8;
    /// Shortest time between heartbeats, and time added for each connection so that 10 are sent each second in all.
    constexpr Milliseconds heartbeatMin { 1000 };
    constexpr Milliseconds heartbeatPerConnection { 100 };

    std::uint8_t tierOf(const EntryState& state, const Member& member)
    {
        if (member.dataCentre == state.settings.process.dataCentre)
            return 0;
        return member.region == state.settings.process.region ? 1 : 2;
    }

    std::uint32_t viewIndex(EntryState& state, const Member& member)
    {
        UpstreamViews& all = state.requests.views;
        const auto found = all.byHost.find(member.host);
        if (found != all.byHost.end())
            return found->second;
        std::uint32_t index = 0;
        if (all.free.empty()) {
            index = static_cast<std::uint32_t>(all.views.size());
            all.views.emplace_back();
        } else {
            index = all.free.back();
            all.free.pop_back();
            all.views[index] = {};
        }
        all.views[index].host = member.host;
        all.byHost.emplace(member.host, index);
        return index;
    }

    /// Collects the hosts of the subset of one service.
    void addSubset(const EntryState& state, const ServiceConfig& service, std::unordered_set<HostId>& wanted)
    {
        const auto& lastServices = state.requests.views.lastServices;
        std::vector<const Member*> known;
        std::vector<const Member*> unknown;
        for (const Member& member : state.members.list.members) {
            if (member.role != MemberRole::Upstream || member.kind != service.kind
                || isLeaving(state.members, member.host))
                continue;
            if (member.kind == ServiceKind::Plain) {
                if (member.service == service.name)
                    known.push_back(&member);
                continue;
            }
            const auto found = lastServices.find(member.host);
            if (found == lastServices.end() || found->second.empty())
                unknown.push_back(&member);
            else if (found->second == service.name)
                known.push_back(&member);
        }
        const std::string key = "subset/" + state.settings.process.host.value + "/" + service.name.value;
        const std::size_t size = state.settings.subsetSize;
        for (HostId& host : chooseSubset(key, known, size))
            wanted.insert(std::move(host));
        if (known.size() < size)
            for (HostId& host : chooseSubset(key, unknown, probeLimit))
                wanted.insert(std::move(host));
    }

    void requestConnection(UpstreamView& view, EntryEffects& effects)
    {
        view.connectAt = {};
        effects.emplace_back(ConnectAgent { .host = view.host, .address = view.address });
    }

    void setHeartbeatInterval(EntryState& state, EntryEffects& effects)
    {
        UpstreamViews& all = state.requests.views;
        const Milliseconds interval = std::max(heartbeatMin, heartbeatPerConnection * all.connections);
        if (interval == all.heartbeatInterval)
            return;
        all.heartbeatInterval = interval;
        effects.emplace_back(SetHeartbeatInterval { .interval = interval });
    }

    /// Drops a view that is neither wanted nor busy.
    void dropView(EntryState& state, std::uint32_t index, EntryEffects& effects)
    {
        UpstreamViews& all = state.requests.views;
        UpstreamView& view = all.views[index];
        effects.emplace_back(DisconnectAgent { .host = view.host });
        if (view.connected)
            --all.connections;
        markPoolStale(state, view.status.service);
        all.byHost.erase(view.host);
        view = {};
        all.free.push_back(index);
    }

    bool isCandidate(const EntryState& state, const UpstreamView& view, bool panic)
    {
        if (!view.connected || !view.status.ready || view.status.leaving
            || state.members.leavingNotices.contains(view.host))
            return false;
        return panic || (view.missed < missedLimit && view.ejectedUntil <= state.now);
    }

    void buildRing(const UpstreamViews& all, const std::vector<std::uint32_t>& tier, std::vector<RingPoint>& ring)
    {
        ring.clear();
        for (const std::uint32_t index : tier)
            for (std::size_t point = 0; point < ringPoints; ++point)
                ring.push_back({ placementHash("ring/" + std::to_string(point), all.views[index].host.value), index });
        std::sort(ring.begin(), ring.end());
    }

    void rebuildPool(EntryState& state, const ServiceId& service, UpstreamPool& pool)
    {
        UpstreamViews& all = state.requests.views;
        std::uint32_t sound = 0;
        const std::size_t ranks = state.config.config ? state.config.config->ranks.size() : 0;
        pool = { .stale = false };
        pool.withRoom.resize(ranks);
        std::uint32_t expected = 0;
        for (const UpstreamView& view : all.views) {
            if (view.host.empty() || view.status.service != service)
                continue;
            expected += view.inSubset ? 1 : 0;
            pool.ready += isCandidate(state, view, true) ? 1 : 0;
            sound += isCandidate(state, view, false) ? 1 : 0;
        }
        pool.panic = pool.ready > sound && sound * 2 < expected;
        for (std::uint32_t index = 0; index < all.views.size(); ++index) {
            UpstreamView& view = all.views[index];
            if (view.host.empty() || view.status.service != service)
                continue;
            pool.inFlight[view.tier] += view.ownTotal;
            view.rooms.assign(ranks, {});
            view.candidate = isCandidate(state, view, pool.panic);
            if (!view.candidate) {
                view.eligibleSince = {};
                continue;
            }
            if (view.eligibleSince == Milliseconds {})
                view.eligibleSince = state.now;
            pool.tiers[view.tier].push_back(index);
            ++pool.candidates;
            refreshRoom(state, index);
        }
        for (std::size_t tier = 0; tier < tierCount; ++tier)
            buildRing(all, pool.tiers[tier], pool.rings[tier]);
    }

} // namespace

UpstreamView* findView(EntryState& state, const HostId& host)
{
    UpstreamViews& all = state.requests.views;
    const auto found = all.byHost.find(host);
    return found == all.byHost.end() ? nullptr : &all.views[found->second];
}

void refreshSubset(EntryState& state, EntryEffects& effects)
{
    UpstreamViews& all = state.requests.views;
    all.subsetStale = false;
    std::unordered_set<HostId> wanted;
    if (state.config.config)
        for (const ServiceConfig& service : state.config.config->services)
            addSubset(state, service, wanted);
    for (const Member& member : state.members.list.members) {
        const bool known = all.byHost.contains(member.host);
        if (!wanted.contains(member.host) && !known)
            continue;
        UpstreamView& view = all.views[viewIndex(state, member)];
        const std::string address = std::exchange(view.address, member.address);
        view.dataCentre = member.dataCentre;
        view.region = member.region;
        view.tier = tierOf(state, member);
        if (known && address != view.address && !view.connected)
            requestConnection(view, effects);
    }
    for (std::uint32_t index = 0; index < all.views.size(); ++index) {
        UpstreamView& view = all.views[index];
        if (view.host.empty())
            continue;
        const bool before = std::exchange(view.inSubset, wanted.contains(view.host));
        if (view.inSubset && !before && !view.connected)
            requestConnection(view, effects);
        // A leaving host stays connected while it is listed, because it finishes what it runs.
        const bool listed = findMember(state.members, view.host) != nullptr;
        const bool finishing = listed && view.connected && isLeaving(state.members, view.host);
        if (!view.inSubset && !finishing && view.requests.empty())
            dropView(state, index, effects);
    }
    std::erase_if(
        all.lastServices, [&](const auto& entry) { return findMember(state.members, entry.first) == nullptr; });
    for (auto& [service, pool] : state.requests.pools)
        pool.upstreams.stale = true;
    setHeartbeatInterval(state, effects);
}

void connectView(EntryState& state, UpstreamView& view)
{
    if (!view.connected)
        ++state.requests.views.connections;
    view.connected = true;
    view.connectFailures = 0;
    view.connectAt = {};
    view.missed = 0;
    view.errorRate = 0;
    view.outcomes = 0;
    view.latencyMs = 0;
    view.latencies = 0;
    markPoolStale(state, view.status.service);
}

void disconnectView(EntryState& state, UpstreamView& view)
{
    if (view.connected)
        --state.requests.views.connections;
    view.slowStart = view.slowStart || view.connected;
    view.connected = false;
    view.others.clear();
    const std::uint32_t doublings = std::min(view.connectFailures++, 6U);
    const Milliseconds delay = std::min(reconnectMax, reconnectMin * (std::int64_t { 1 } << doublings));
    const auto jitter = static_cast<std::int64_t>(state.random() % static_cast<std::uint64_t>(delay.value / 2 + 1));
    view.connectAt = state.now + delay / 2 + Milliseconds { jitter };
    markPoolStale(state, view.status.service);
}

bool updateViewStatus(EntryState& state, UpstreamView& view, const AgentStatus& status)
{
    if (status.incarnation == view.status.incarnation && status.sequence < view.status.sequence)
        return false;
    const bool changed = status.ready != view.status.ready || status.leaving != view.status.leaving
        || status.service != view.status.service || status.version != view.status.version || view.missed >= missedLimit;
    if (changed) {
        if (view.status.ready && !status.ready)
            view.slowStart = true;
        markPoolStale(state, view.status.service);
        markPoolStale(state, status.service);
    }
    if (const Member* member = findMember(state.members, view.host); member && member->kind == ServiceKind::Engine) {
        ServiceId& lastService = state.requests.views.lastServices[view.host];
        if (lastService != status.service)
            state.requests.views.subsetStale = true;
        lastService = status.service;
    }
    view.candidate = view.candidate && !changed;
    view.status = status;
    view.statusAt = state.now;
    view.missed = 0;
    view.others.assign(status.ranks.size(), 0.0);
    for (std::size_t rank = 0; rank < status.ranks.size(); ++rank) {
        const std::uint32_t reported = status.ranks[rank].running + status.ranks[rank].queued;
        const std::uint32_t own = rank < view.own.size() ? view.own[rank] : 0;
        view.others[rank] = reported > own ? reported - own : 0;
    }
    refreshRoom(state, state.requests.views.byHost.at(view.host));
    return true;
}

void markPoolStale(EntryState& state, const ServiceId& service)
{
    const auto found = state.requests.pools.find(service);
    if (found != state.requests.pools.end())
        found->second.upstreams.stale = true;
}

void rebuildPools(EntryState& state, EntryEffects& effects)
{
    bool rebuilt = false;
    for (auto& [service, pool] : state.requests.pools) {
        if (!pool.upstreams.stale)
            continue;
        const bool panic = pool.upstreams.panic;
        rebuildPool(state, service, pool.upstreams);
        if (panic != pool.upstreams.panic)
            effects.emplace_back(LogLine { .level = LogLevel::Warning,
                .event = "panic-routing",
                .fields = { { "service", service.value }, { "on", pool.upstreams.panic ? "true" : "false" },
                    { "ready", std::to_string(pool.upstreams.ready) } } });
        rebuilt = true;
    }
    if (!rebuilt || !state.config.config)
        return;
    for (const ServiceConfig& service : state.config.config->services) {
        const auto ready = [&](const ServiceId& name) {
            const auto found = state.requests.pools.find(name);
            return found != state.requests.pools.end() && found->second.upstreams.ready > 0;
        };
        ServicePool& pool = state.requests.pools[service.name];
        const bool offered
            = ready(service.name) && std::all_of(service.dependsOn.begin(), service.dependsOn.end(), ready);
        if (offered != pool.offered)
            effects.emplace_back(LogLine { .event = offered ? "service-offered" : "service-withdrawn",
                .fields = { { "service", service.name.value } } });
        pool.offered = offered;
    }
}

void tickViews(EntryState& state, EntryEffects& effects)
{
    UpstreamViews& all = state.requests.views;
    if (all.subsetStale)
        refreshSubset(state, effects);
    for (UpstreamView& view : all.views)
        if (!view.host.empty() && view.inSubset && !view.connected && view.connectAt != Milliseconds {}
            && view.connectAt <= state.now)
            requestConnection(view, effects);
    setHeartbeatInterval(state, effects);
    refreshAllRoom(state);
}

} // namespace hickory
