#include "peer_state_type.h"

#include "digest_func.h"
#include "table/relay_loop_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickory {

namespace {

    /// Live timeout of entries that are heard indirectly; bridges the time until another entry represents their data
    /// centre.
    constexpr Milliseconds indirectLiveTimeout { 2000 };
    /// Beacons to other data centres name an entry for this time after it became known. Every third summary names them,
    /// at least about every 1.5 s, so that each is named several times.
    constexpr Milliseconds recentWithin { 10000 };
    /// An entry of the same data centre that was silent for longer, three beacons, may be dead.
    constexpr Milliseconds announcerTimeout = beaconPeriod * 3;
    constexpr std::size_t homesPerAgent = 2; ///< so that reports go on while one of them is dead or frozen
    /// An agent chooses another entry after this time without an answer: three beacons of an entry to its agents.
    constexpr Milliseconds homeAnswerTimeout { 1500 };
    constexpr Milliseconds homeRetryDelay { 10000 }; ///< after which an entry that did not answer is tried again
    constexpr std::size_t maxListedElsewhere = 16; ///< entries of other data centres in one list
    /// Peers are removed after this silence, which is longer than a host takes to restart.
    constexpr Milliseconds removeAfter { 30000 };

} // namespace

void recordBeacon(
    PeerTable& table, const HostId& self, const PeerBeacon& beacon, const std::string& ip, Milliseconds now)
{
    if (beacon.from.host == self)
        return;
    if (beacon.from.front.empty())
        table.agents[ip] = now;
    else {
        KnownPeer& known = table.entries[beacon.from.host];
        if (beacon.from.incarnation >= known.entry.incarnation) {
            known.entry = beacon.from;
            known.entry.ip = ip;
            known.lastHeardAt = now;
            known.indirect = false;
            known.unansweredSince = {};
            known.firstSeenAt = known.firstSeenAt.value == 0 ? now : known.firstSeenAt;
        }
    }
    for (const PeerInfo& entry : beacon.known) {
        if (entry.host == self || entry.ip.empty())
            continue;
        const auto [found, isNew] = table.entries.try_emplace(entry.host);
        if (isNew)
            found->second = { .entry = entry, .firstSeenAt = now };
        found->second.listedAt = now;
    }
}

std::vector<PeerInfo> homeEntries(
    const PeerTable& table, const HostId& agent, const DataCentreId& dataCentre, Milliseconds now)
{
    std::vector<std::pair<std::pair<bool, std::uint64_t>, const PeerInfo*>> ranked;
    for (const auto& [host, known] : table.entries) {
        const Milliseconds heardAt = std::max(known.lastHeardAt, known.listedAt);
        const Milliseconds unanswered
            = known.unansweredSince.value == 0 ? Milliseconds {} : now - known.unansweredSince;
        if (now - heardAt > table.liveTimeout || (unanswered > homeAnswerTimeout && unanswered < homeRetryDelay))
            continue;
        ranked.push_back(
            { { known.entry.dataCentre != dataCentre, stableHash(agent.value, host.value) }, &known.entry });
    }
    std::sort(ranked.begin(), ranked.end());
    // Entries elsewhere stand in only where there is none here.
    const bool anyHere = !ranked.empty() && !ranked.front().first.first;
    std::vector<PeerInfo> homes;
    for (const auto& [rank, entry] : ranked)
        if (homes.size() < homesPerAgent && rank.first != anyHere)
            homes.push_back(*entry);
    return homes;
}

void recordReportSent(PeerTable& table, const std::vector<PeerInfo>& homes, Milliseconds now)
{
    for (const PeerInfo& home : homes) {
        KnownPeer& known = table.entries.at(home.host);
        const bool isDue = known.unansweredSince.value == 0 || now - known.unansweredSince >= homeRetryDelay;
        known.unansweredSince = isDue ? now : known.unansweredSince;
    }
}

std::vector<PeerInfo> peerList(
    const PeerTable& table, const DataCentreId& dataCentre, std::uint32_t round, Milliseconds now)
{
    std::vector<PeerInfo> list;
    std::vector<PeerInfo> others;
    for (PeerInfo& entry : liveEntries(table, now))
        (entry.dataCentre == dataCentre ? list : others).push_back(std::move(entry));
    for (std::size_t index = 0; index < std::min(others.size(), maxListedElsewhere); ++index)
        list.push_back(others[(round * maxListedElsewhere + index) % others.size()]);
    return list;
}

void removeSilentPeers(PeerTable& table, Milliseconds now)
{
    std::erase_if(table.entries, [&](const auto& item) {
        const KnownPeer& known = item.second;
        // An agent hears from its homes only; the others are named in their beacons.
        return now - std::max({ known.lastHeardAt, known.firstSeenAt, known.listedAt }) > removeAfter;
    });
    std::erase_if(table.agents, [&](const auto& item) { return now - item.second > removeAfter; });
}

std::vector<std::string> beaconTargets(const PeerTable& table, const std::string& selfIp)
{
    std::set<std::string> ips = table.seeds;
    for (const auto& [host, known] : table.entries)
        ips.insert(known.entry.ip);
    ips.erase(selfIp);
    return { ips.begin(), ips.end() };
}

std::vector<std::string> dataCentreTargets(
    const PeerTable& table, const DataCentreId& dataCentre, const std::string& selfIp)
{
    std::set<std::string> ips;
    std::set<std::string> knownIps;
    for (const auto& [host, known] : table.entries) {
        knownIps.insert(known.entry.ip);
        if (known.entry.dataCentre == dataCentre)
            ips.insert(known.entry.ip);
    }
    // The data centre of a seed is unknown until its first beacon.
    for (const std::string& seed : table.seeds)
        if (!knownIps.contains(seed))
            ips.insert(seed);
    ips.erase(selfIp);
    return { ips.begin(), ips.end() };
}

Milliseconds dataCentreBeaconPeriod(std::size_t targets)
{
    return std::clamp(
        dataCentreDatagramInterval * static_cast<std::int64_t>(targets), beaconPeriod, maxDataCentreBeaconPeriod);
}

std::vector<std::string> otherDataCentreTargets(const PeerTable& table, const DataCentreId& dataCentre)
{
    std::vector<std::string> ips;
    for (const auto& [host, known] : table.entries)
        if (known.entry.dataCentre != dataCentre)
            ips.push_back(known.entry.ip);
    return ips;
}

bool representsDataCentre(const PeerTable& table, const PeerInfo& self, Milliseconds now)
{
    const std::vector<PeerInfo> live = liveEntries(table, now);
    return std::none_of(live.begin(), live.end(),
        [&](const PeerInfo& entry) { return entry.dataCentre == self.dataCentre && entry.host < self.host; });
}

bool announcesToOtherDataCentres(const PeerTable& table, const PeerInfo& self, Milliseconds now)
{
    return std::none_of(table.entries.begin(), table.entries.end(), [&](const auto& item) {
        const KnownPeer& known = item.second;
        return known.entry.dataCentre == self.dataCentre && known.entry.host < self.host && !known.indirect
            && now - known.lastHeardAt <= announcerTimeout;
    });
}

void recordIndirectEntries(
    PeerTable& table, const DataCentreId& dataCentre, const std::vector<PeerInfo>& entries, Milliseconds now)
{
    for (const PeerInfo& entry : entries) {
        if (entry.dataCentre != dataCentre || entry.ip.empty())
            continue;
        KnownPeer& known = table.entries[entry.host];
        if (entry.incarnation < known.entry.incarnation)
            continue;
        // An entry's own beacons are more accurate than a summary.
        if (!known.indirect && now - known.lastHeardAt < table.liveTimeout)
            continue;
        known.entry = entry;
        known.lastHeardAt = now;
        known.indirect = true;
        known.firstSeenAt = known.firstSeenAt.value == 0 ? now : known.firstSeenAt;
    }
}

std::vector<PeerInfo> liveEntries(const PeerTable& table, Milliseconds now)
{
    std::vector<PeerInfo> live;
    for (const auto& [host, known] : table.entries)
        if (now - known.lastHeardAt < (known.indirect ? indirectLiveTimeout : table.liveTimeout))
            live.push_back(known.entry);
    return live;
}

std::vector<PeerInfo> recentEntries(const PeerTable& table, Milliseconds now)
{
    std::vector<PeerInfo> recent = liveEntries(table, now);
    std::erase_if(
        recent, [&](const PeerInfo& entry) { return now - table.entries.at(entry.host).firstSeenAt > recentWithin; });
    return recent;
}

std::vector<PeerInfo> liveEntriesIn(const PeerTable& table, const DataCentreId& dataCentre, Milliseconds now)
{
    std::vector<PeerInfo> live = liveEntries(table, now);
    std::erase_if(live, [&](const PeerInfo& entry) { return entry.dataCentre != dataCentre; });
    return live;
}

bool changedBeyondLoad(const EngineReported& before, const EngineReported& after, bool slowdownVaries)
{
    constexpr double slowdownStep = 0.25; ///< smaller changes do not affect the choice of an upstream
    return before.orderPending != after.orderPending || before.clearing != after.clearing
        || before.report.busy != after.report.busy || before.report.processStartedAt != after.report.processStartedAt
        || before.report.models != after.report.models
        || (!slowdownVaries && !after.slowdownStated
            && std::abs(before.report.slowdown - after.report.slowdown) > slowdownStep);
}

bool isStorePoller(const HostId& self, const std::vector<HostId>& entries)
{
    const auto rank = [](const HostId& host) { return stableHash("store-follower", host.value); };
    const auto before
        = std::count_if(entries.begin(), entries.end(), [&](const HostId& host) { return rank(host) < rank(self); });
    return static_cast<std::size_t>(before) < std::max(minStorePollers, entries.size() / entriesPerStorePoller);
}

Milliseconds storeRetryDelay(bool isPoller, std::size_t entries)
{
    constexpr Milliseconds pollerDelay { 250 };
    constexpr Milliseconds maxDelay { 2000 };
    constexpr std::int64_t entriesPerDelay = 8;
    if (isPoller)
        return pollerDelay;
    return std::clamp(pollerDelay * (static_cast<std::int64_t>(entries) / entriesPerDelay), pollerDelay, maxDelay);
}

std::optional<PeerInfo> tableReader(const std::vector<PeerInfo>& live, const PeerInfo& self)
{
    const auto rank = [](const PeerInfo& entry) { return stableHash("table-reader", entry.host.value); };
    const PeerInfo* first = &self;
    for (const PeerInfo& entry : live)
        if (entry.ready && entry.dataCentre == self.dataCentre && rank(entry) < rank(*first))
            first = &entry;
    return first == &self ? std::nullopt : std::optional(*first);
}

PeerInfo largeRowsSource(
    const std::vector<PeerInfo>& live, const PeerInfo& self, const PeerInfo& told, std::uint32_t attempts)
{
    // Attempts are a tablesPeriod apart, and a configuration must be in force here within some seconds.
    constexpr std::uint32_t maxReaderAttempts = 4;
    if (told.dataCentre == self.dataCentre || attempts >= maxReaderAttempts)
        return told;
    return tableReader(live, self).value_or(told);
}

std::vector<PeerInfo> tableSources(const std::vector<PeerInfo>& live, const DataCentreId& dataCentre)
{
    std::vector<HostId> ready;
    for (const PeerInfo& entry : live)
        if (entry.ready)
            ready.push_back(entry.host);
    std::vector<PeerInfo> followers;
    std::vector<PeerInfo> sameDataCentre;
    for (const PeerInfo& entry : live) {
        if (!entry.ready || !isStorePoller(entry.host, ready))
            continue;
        followers.push_back(entry);
        if (entry.dataCentre == dataCentre)
            sameDataCentre.push_back(entry);
    }
    if (followers.empty())
        return live;
    return sameDataCentre.empty() ? followers : sameDataCentre;
}

} // namespace hickory
