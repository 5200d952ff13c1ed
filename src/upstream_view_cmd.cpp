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

    /// Engine hosts of unknown service that an entry connects to, to learn which service they have, while fewer hosts
    /// than the subset size are known to have a service.
    constexpr std::size_t maxProbedHosts = 64;
    /// Longest delay before the first retry of a lost connection; doubled with each failure in a row. The actual delay
    /// is random between half of this value and all of it.
    constexpr Milliseconds initialReconnectDelay { 250 };
    /// Upper limit of the doubled delay before a lost connection is retried.
    constexpr Milliseconds maxReconnectDelay { 10000 };
    /// Heartbeats missed in a row after which an agent gets no new work.
    constexpr std::uint32_t maxMissedHeartbeats = 3;
    /// Points of each candidate on the hash ring; enough to keep the shares of neighbours within a factor of two.
    constexpr std::size_t ringPointsPerHost = 8;
    /// Shortest time between heartbeats to one agent.
    constexpr Milliseconds minHeartbeatInterval { 1000 };
    /// Time between heartbeats to one agent grows by this for each connection, which limits an entry to 10 heartbeats
    /// per second in all.
    constexpr Milliseconds heartbeatIntervalPerConnection { 100 };

    /// @return distance of a host from this entry, see UpstreamView::tier
    std::uint8_t tierOf(const EntryState& state, const Member& member)
    {
        if (member.dataCentre == state.settings.process.dataCentre)
            return 0;
        return member.region == state.settings.process.region ? 1 : 2;
    }

    /// @return index of the view of a member; the view is made if there is none
    std::uint32_t findOrAddView(EntryState& state, const Member& member)
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

    /// Adds the hosts of one service's subset to `wanted`.
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
            for (HostId& host : chooseSubset(key, unknown, maxProbedHosts))
                wanted.insert(std::move(host));
    }

    /// Opens the connection of a view and cancels its scheduled retry.
    void openConnection(UpstreamView& view, EntryEffects& effects)
    {
        view.reconnectAt = {};
        effects.emplace_back(ConnectAgent { .host = view.host, .address = view.address });
    }

    /// Adapts the heartbeat interval to the number of connections.
    void updateHeartbeatInterval(EntryState& state, EntryEffects& effects)
    {
        UpstreamViews& all = state.requests.views;
        const Milliseconds interval = std::max(minHeartbeatInterval, heartbeatIntervalPerConnection * all.connections);
        if (interval == all.heartbeatInterval)
            return;
        all.heartbeatInterval = interval;
        effects.emplace_back(SetHeartbeatInterval { .interval = interval });
    }

    /// Closes the connection of a view and frees its element of UpstreamViews::views for reuse.
    /// @pre no request is in flight at its upstream
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

    /// @param panic ignore missed heartbeats and ejections
    /// @return true when new attempts may be sent to the upstream
    bool isCandidate(const EntryState& state, const UpstreamView& view, bool panic)
    {
        if (!view.connected || !view.status.ready || view.status.leaving
            || state.members.leavingNotices.contains(view.host))
            return false;
        return panic || (view.missed < maxMissedHeartbeats && view.ejectedUntil <= state.now);
    }

    void buildRing(const UpstreamViews& all, const std::vector<std::uint32_t>& tier, std::vector<RingPoint>& ring)
    {
        ring.clear();
        for (const std::uint32_t index : tier)
            for (std::size_t point = 0; point < ringPointsPerHost; ++point)
                ring.push_back({ stableHash("ring/" + std::to_string(point), all.views[index].host.value), index });
        std::sort(ring.begin(), ring.end());
    }

    void rebuildPool(EntryState& state, const ServiceId& service, UpstreamPool& pool)
    {
        UpstreamViews& all = state.requests.views;
        std::uint32_t healthy = 0;
        const std::size_t ranks = state.config.config ? state.config.config->ranks.size() : 0;
        pool = { .stale = false };
        pool.withRoom.resize(ranks);
        std::uint32_t expected = 0;
        for (const UpstreamView& view : all.views) {
            if (view.host.empty() || view.status.service != service)
                continue;
            expected += view.inSubset ? 1 : 0;
            pool.ready += isCandidate(state, view, true) ? 1 : 0;
            healthy += isCandidate(state, view, false) ? 1 : 0;
        }
        pool.panic = pool.ready > healthy && healthy * 2 < expected;
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
        UpstreamView& view = all.views[findOrAddView(state, member)];
        const std::string address = std::exchange(view.address, member.address);
        view.dataCentre = member.dataCentre;
        view.region = member.region;
        view.tier = tierOf(state, member);
        if (known && address != view.address && !view.connected)
            openConnection(view, effects);
    }
    for (std::uint32_t index = 0; index < all.views.size(); ++index) {
        UpstreamView& view = all.views[index];
        if (view.host.empty())
            continue;
        const bool before = std::exchange(view.inSubset, wanted.contains(view.host));
        if (view.inSubset && !before && !view.connected)
            openConnection(view, effects);
        // A leaving host stays connected while it is listed, because it still completes its requests.
        const bool listed = findMember(state.members, view.host) != nullptr;
        const bool finishing = listed && view.connected && isLeaving(state.members, view.host);
        if (!view.inSubset && !finishing && view.requests.empty())
            dropView(state, index, effects);
    }
    std::erase_if(
        all.lastServices, [&](const auto& entry) { return findMember(state.members, entry.first) == nullptr; });
    for (auto& [service, pool] : state.requests.pools)
        pool.upstreams.stale = true;
    updateHeartbeatInterval(state, effects);
}

void setViewConnected(EntryState& state, UpstreamView& view)
{
    if (!view.connected)
        ++state.requests.views.connections;
    view.connected = true;
    view.unreachable = false;
    view.connectFailures = 0;
    view.reconnectAt = {};
    view.missed = 0;
    view.errorRate = 0;
    view.endedAttempts = 0;
    view.latencyMs = 0;
    view.latencySamples = 0;
    markPoolStale(state, view.status.service);
}

void setViewDisconnected(EntryState& state, UpstreamView& view)
{
    if (view.connected)
        --state.requests.views.connections;
    view.slowStart = view.slowStart || view.connected;
    view.connected = false;
    view.others.clear();
    const std::uint32_t doublings = std::min(view.connectFailures++, 6U);
    const Milliseconds delay = std::min(maxReconnectDelay, initialReconnectDelay * (std::int64_t { 1 } << doublings));
    const auto jitter = static_cast<std::int64_t>(state.random() % static_cast<std::uint64_t>(delay.value / 2 + 1));
    view.reconnectAt = state.now + delay / 2 + Milliseconds { jitter };
    markPoolStale(state, view.status.service);
}

bool updateViewStatus(EntryState& state, UpstreamView& view, const AgentStatus& status)
{
    if (status.incarnation == view.status.incarnation && status.sequence < view.status.sequence)
        return false;
    const bool changed = status.ready != view.status.ready || status.leaving != view.status.leaving
        || status.service != view.status.service || status.version != view.status.version
        || view.missed >= maxMissedHeartbeats;
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
        if (!view.host.empty() && view.inSubset && !view.connected && view.reconnectAt != Milliseconds {}
            && view.reconnectAt <= state.now)
            openConnection(view, effects);
    updateHeartbeatInterval(state, effects);
    refreshAllRoom(state);
}

} // namespace hickory
