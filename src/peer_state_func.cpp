#include "peer_state_type.h"

#include "digest_func.h"
#include "table/relay_loop_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr Milliseconds liveWithin { 1000 }; ///< ten beacons missed
    constexpr Milliseconds forgetAfter { 30000 }; ///< longer than a host takes to restart

} // namespace

void notePeer(PeerTable& table, const HostId& self, const PeerBeacon& beacon, const std::string& ip, Milliseconds now)
{
    if (beacon.from.host == self)
        return;
    if (beacon.from.front.empty())
        table.agents[ip] = now;
    else {
        PeerKnown& known = table.entries[beacon.from.host];
        if (beacon.from.incarnation >= known.entry.incarnation) {
            known.entry = beacon.from;
            known.entry.ip = ip;
            known.heardAt = now;
            known.firstAt = known.firstAt.value == 0 ? now : known.firstAt;
        }
    }
    for (const PeerEntry& entry : beacon.known)
        if (entry.host != self && !table.entries.contains(entry.host) && !entry.ip.empty())
            table.entries[entry.host] = { .entry = entry, .firstAt = now };
}

void forgetSilentPeers(PeerTable& table, Milliseconds now)
{
    std::erase_if(table.entries,
        [&](const auto& item) { return now - std::max(item.second.heardAt, item.second.firstAt) > forgetAfter; });
    std::erase_if(table.agents, [&](const auto& item) { return now - item.second > forgetAfter; });
}

std::vector<std::string> beaconTargets(const PeerTable& table, const std::string& selfIp)
{
    std::set<std::string> ips = table.seeds;
    for (const auto& [host, known] : table.entries)
        ips.insert(known.entry.ip);
    ips.erase(selfIp);
    return { ips.begin(), ips.end() };
}

std::vector<PeerEntry> liveEntries(const PeerTable& table, Milliseconds now)
{
    std::vector<PeerEntry> live;
    for (const auto& [host, known] : table.entries)
        if (now - known.heardAt < liveWithin)
            live.push_back(known.entry);
    return live;
}

bool isStoreFollower(const HostId& self, const std::vector<HostId>& entries)
{
    const auto rank = [](const HostId& host) { return placementHash("store-follower", host.value); };
    const auto before = std::count_if(
        entries.begin(), entries.end(), [&](const HostId& host) { return rank(host) < rank(self); });
    return static_cast<std::size_t>(before) < std::max(leastFollowers, entries.size() / entriesPerFollower);
}

std::vector<PeerEntry> tableSources(const std::vector<PeerEntry>& live, const PlaceId& place)
{
    std::vector<HostId> ready;
    for (const PeerEntry& entry : live)
        if (entry.ready)
            ready.push_back(entry.host);
    std::vector<PeerEntry> followers;
    std::vector<PeerEntry> near;
    for (const PeerEntry& entry : live) {
        if (!entry.ready || !isStoreFollower(entry.host, ready))
            continue;
        followers.push_back(entry);
        if (entry.place == place)
            near.push_back(entry);
    }
    if (followers.empty())
        return live;
    return near.empty() ? followers : near;
}

} // namespace hickory
