#include "suspect_cmd.h"

#include "control_cmd.h"
#include "member_func.h"
#include "request_cmd.h"
#include "request_log_func.h"

#include <algorithm>
#include <optional>

namespace hickory {

namespace {

    /// Maximum number of suspicions. One crash adds at most the requests in flight at one upstream.
    constexpr std::size_t maxSuspects = 1024;
    /// Number of random peers to which a new suspicion is sent at once; each forwards what is new to it.
    constexpr std::size_t gossipFanout = 4;
    /// Connections to one data centre that are lost within this time count as one event.
    constexpr Milliseconds lossCorrelationWindow { 1000 };
    /// Connections to one data centre that must be lost together to count as the loss of the data centre.
    constexpr std::size_t dataCentreLossThreshold = 3;
    /// Equal requests that ended at the same host within this time ended by the same crash; no upstream restarts
    /// faster.
    constexpr Milliseconds sameCrashWindow { 1000 };
    /// Minimum time for which a suspicion is kept; a longer quarantine of the service extends it.
    constexpr Milliseconds minRetention { 600000 };

    /// Inserts or replaces a suspicion and drops the oldest ones beyond the maximum.
    void storeSuspect(SuspectTable& table, const SuspectKey& key, const Suspect& suspect)
    {
        if (const auto found = table.entries.find(key); found != table.entries.end())
            table.byAge.erase({ found->second.changedAt, key.first, key.second });
        table.entries[key] = suspect;
        table.byAge.emplace(suspect.changedAt, key.first, key.second);
        while (table.entries.size() > maxSuspects) {
            const auto oldest = table.byAge.begin();
            table.entries.erase({ std::get<ServiceId>(*oldest), std::get<RequestDigest>(*oldest) });
            table.byAge.erase(oldest);
        }
    }

    /// @return recent connection losses in a data centre
    std::size_t lossCount(const EntryState& state, const DataCentreId& dataCentre)
    {
        const auto& recentLosses = state.requests.suspects.recentLosses;
        return static_cast<std::size_t>(std::count_if(recentLosses.begin(), recentLosses.end(),
            [&](const RecentLoss& loss) { return loss.dataCentre == dataCentre; }));
    }

    /// @return the loss of the connection to a host within the correlation window, or nullptr
    RecentLoss* recentLossOf(EntryState& state, const HostId& host)
    {
        for (RecentLoss& loss : state.requests.suspects.recentLosses)
            if (loss.host == host && loss.lostAt + lossCorrelationWindow >= state.now)
                return &loss;
        return nullptr;
    }

    /// Reverts the crashes that were recorded for the requests in flight at a lost connection.
    void withdrawSuspicions(EntryState& state, const RecentLoss& loss)
    {
        SuspectTable& table = state.requests.suspects;
        for (const SuspectKey& key : loss.keys) {
            const auto found = table.entries.find(key);
            if (found == table.entries.end() || found->second.crashes == 0)
                continue;
            Suspect suspect = found->second;
            --suspect.crashes;
            suspect.changedAt = state.now;
            storeSuspect(table, key, suspect);
        }
    }

} // namespace

bool recordCrash(EntryState& state, const SuspectKey& key, const HostId& host, EntryEffects& effects)
{
    RecentLoss* loss = recentLossOf(state, host);
    if (loss && isDataCentreLost(state, loss->dataCentre))
        return false;
    SuspectTable& table = state.requests.suspects;
    const auto found = table.entries.find(key);
    Suspect suspect = found == table.entries.end() ? Suspect {} : found->second;
    // Equal requests in flight at the same upstream end by the same crash.
    const bool sameCrash
        = suspect.crashes > 0 && suspect.lastHost == host && suspect.changedAt + sameCrashWindow >= state.now;
    if (sameCrash)
        return false;
    ++suspect.crashes;
    suspect.changedAt = state.now;
    suspect.lastHost = host;
    storeSuspect(table, key, suspect);
    if (loss)
        loss->keys.push_back(key);
    effects.emplace_back(LogLine { .level = LogLevel::Warning,
        .event = "suspect",
        .fields = { { "service", key.first.value }, { "digest", key.second.value }, { "host", host.value },
            { "crashes", std::to_string(suspect.crashes) } } });
    countMetric(effects, "suspicions_total", "service=\"" + key.first.value + "\"");
    return true;
}

void clearSuspicion(EntryState& state, const Request& request, EntryEffects& effects)
{
    SuspectTable& table = state.requests.suspects;
    if (table.entries.empty())
        return;
    const SuspectKey key { request.call.service, request.call.requestDigest };
    const auto found = table.entries.find(key);
    if (found == table.entries.end() || found->second.crashes == 0 || found->second.changedAt > request.dispatchedAt)
        return;
    storeSuspect(table, key, Suspect { .crashes = 0, .changedAt = state.now });
    LogLine line = requestLine("suspicion-cleared", request);
    line.fields.emplace_back("host", request.host.value);
    effects.emplace_back(std::move(line));
}

bool mergeSuspicions(EntryState& state, const std::vector<Suspicion>& suspicions)
{
    /// Maximum difference between the times that two entries derive for the same event, caused by message delays.
    constexpr Milliseconds clockTolerance { 100 };
    bool updated = false;
    for (const Suspicion& received : suspicions) {
        const SuspectKey key { received.service, received.requestDigest };
        const Milliseconds changedAt = state.now - std::max(Milliseconds {}, received.age);
        const auto found = state.requests.suspects.entries.find(key);
        if (found == state.requests.suspects.entries.end()) {
            if (received.crashes == 0)
                continue;
            storeSuspect(state.requests.suspects, key, { .crashes = received.crashes, .changedAt = changedAt });
            updated = true;
            continue;
        }
        const Suspect known = found->second;
        const bool newer = changedAt > known.changedAt + clockTolerance;
        const bool raises = received.crashes > known.crashes && (known.crashes > 0 || newer);
        const bool clears = received.crashes == 0 && known.crashes > 0 && newer;
        if (!raises && !clears)
            continue;
        storeSuspect(state.requests.suspects, key,
            { .crashes = received.crashes,
                .changedAt = std::max(known.changedAt, changedAt),
                .lastHost = known.lastHost });
        updated = true;
    }
    return updated;
}

void gossipSuspicions(EntryState& state, EntryEffects& effects)
{
    std::vector<HostId> peers = liveEntries(state.members);
    std::erase(peers, state.settings.process.host);
    const GossipMessage message = localGossip(state);
    for (std::size_t sent = 0; sent < gossipFanout && !peers.empty(); ++sent) {
        const std::size_t index = state.random() % peers.size();
        const HostId peer = peers[index];
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
        if (const Member* member = findMember(state.members, peer))
            effects.emplace_back(SendGossip { .peer = peer, .address = member->address, .message = message });
    }
}

void recordConnectionLoss(EntryState& state, const UpstreamView& view, EntryEffects& effects)
{
    std::deque<RecentLoss>& recentLosses = state.requests.suspects.recentLosses;
    while (!recentLosses.empty() && recentLosses.front().lostAt + lossCorrelationWindow < state.now)
        recentLosses.pop_front();
    recentLosses.push_back({ .lostAt = state.now, .dataCentre = view.dataCentre, .host = view.host });
    if (!isDataCentreLost(state, view.dataCentre))
        return;
    for (RecentLoss& loss : recentLosses) {
        if (loss.dataCentre != view.dataCentre)
            continue;
        withdrawSuspicions(state, loss);
        loss.keys.clear();
    }
    effects.emplace_back(LogLine { .level = LogLevel::Warning,
        .event = "place-lost",
        .fields = { { "place", view.dataCentre.value }, { "agents", std::to_string(lossCount(state, view.dataCentre)) },
            { "reason", "connections-lost-together" } } });
}

bool isDataCentreLost(const EntryState& state, const DataCentreId& dataCentre)
{
    return lossCount(state, dataCentre) >= dataCentreLossThreshold;
}

void expireSuspicions(EntryState& state)
{
    SuspectTable& table = state.requests.suspects;
    while (!table.byAge.empty()) {
        const auto oldest = table.byAge.begin();
        const ServiceId& name = std::get<ServiceId>(*oldest);
        const ServiceConfig* service = state.config.config ? state.config.config->findService(name) : nullptr;
        const Milliseconds retention = service ? std::max(minRetention, service->quarantine) : minRetention;
        if (std::get<Milliseconds>(*oldest) + retention > state.now)
            return;
        table.entries.erase({ name, std::get<RequestDigest>(*oldest) });
        table.byAge.erase(oldest);
    }
}

} // namespace hickory
