#include "peer_state_type.h"

#include "digest_func.h"
#include "table/relay_loop_limits.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    constexpr Milliseconds vouchedWithin { 2000 }; ///< while another entry begins to speak for a data centre
    constexpr Milliseconds recentWithin { 10000 }; ///< ten beacons that name other entries
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
            known.vouched = false;
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

std::vector<std::string> nearTargets(const PeerTable& table, const DataCentreId& dataCentre, const std::string& selfIp)
{
    std::set<std::string> ips;
    std::set<std::string> knownIps;
    for (const auto& [host, known] : table.entries) {
        knownIps.insert(known.entry.ip);
        if (known.entry.dataCentre == dataCentre)
            ips.insert(known.entry.ip);
    }
    // The data centre of a seed is not known before it was heard.
    for (const std::string& seed : table.seeds)
        if (!knownIps.contains(seed))
            ips.insert(seed);
    ips.erase(selfIp);
    return { ips.begin(), ips.end() };
}

std::vector<std::string> farTargets(const PeerTable& table, const DataCentreId& dataCentre)
{
    std::vector<std::string> ips;
    for (const auto& [host, known] : table.entries)
        if (known.entry.dataCentre != dataCentre)
            ips.push_back(known.entry.ip);
    return ips;
}

bool representsDataCentre(const PeerTable& table, const PeerEntry& self, Milliseconds now)
{
    const std::vector<PeerEntry> live = liveEntries(table, now);
    return std::none_of(live.begin(), live.end(),
        [&](const PeerEntry& entry) { return entry.dataCentre == self.dataCentre && entry.host < self.host; });
}

void noteDataCentreEntries(
    PeerTable& table, const DataCentreId& dataCentre, const std::vector<PeerEntry>& entries, Milliseconds now)
{
    for (const PeerEntry& entry : entries) {
        if (entry.dataCentre != dataCentre || entry.ip.empty())
            continue;
        PeerKnown& known = table.entries[entry.host];
        if (entry.incarnation < known.entry.incarnation)
            continue;
        // An entry that is heard directly needs nobody's word.
        if (!known.vouched && now - known.heardAt < table.liveWithin)
            continue;
        known.entry = entry;
        known.heardAt = now;
        known.vouched = true;
        known.firstAt = known.firstAt.value == 0 ? now : known.firstAt;
    }
}

std::vector<PeerEntry> liveEntries(const PeerTable& table, Milliseconds now)
{
    std::vector<PeerEntry> live;
    for (const auto& [host, known] : table.entries)
        if (now - known.heardAt < (known.vouched ? vouchedWithin : table.liveWithin))
            live.push_back(known.entry);
    return live;
}

std::vector<PeerEntry> recentEntries(const PeerTable& table, Milliseconds now)
{
    std::vector<PeerEntry> recent = liveEntries(table, now);
    std::erase_if(
        recent, [&](const PeerEntry& entry) { return now - table.entries.at(entry.host).firstAt > recentWithin; });
    return recent;
}

std::vector<PeerEntry> liveEntriesOf(const PeerTable& table, const DataCentreId& dataCentre, Milliseconds now)
{
    std::vector<PeerEntry> live = liveEntries(table, now);
    std::erase_if(live, [&](const PeerEntry& entry) { return entry.dataCentre != dataCentre; });
    return live;
}

bool saysMore(const EngineReported& before, const EngineReported& after)
{
    constexpr double paceStep = 0.25; ///< smaller changes of pace do not move requests
    return before.ordering != after.ordering || before.report.busy != after.report.busy
        || before.report.bornAt != after.report.bornAt || before.report.models != after.report.models
        || std::abs(before.report.pace - after.report.pace) > paceStep;
}

bool isStoreFollower(const HostId& self, const std::vector<HostId>& entries)
{
    const auto rank = [](const HostId& host) { return placementHash("store-follower", host.value); };
    const auto before
        = std::count_if(entries.begin(), entries.end(), [&](const HostId& host) { return rank(host) < rank(self); });
    return static_cast<std::size_t>(before) < std::max(leastFollowers, entries.size() / entriesPerFollower);
}

std::vector<PeerEntry> tableSources(const std::vector<PeerEntry>& live, const DataCentreId& dataCentre)
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
        if (entry.dataCentre == dataCentre)
            near.push_back(entry);
    }
    if (followers.empty())
        return live;
    return near.empty() ? followers : near;
}

} // namespace hickory
