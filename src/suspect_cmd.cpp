#include "suspect_cmd.h"

#include "control_cmd.h"
#include "member_func.h"
#include "request_cmd.h"
#include "request_log_func.h"

#include <algorithm>
#include <optional>

namespace hickory {

namespace {

    /// Suspicions kept; a crash adds at most the requests in flight on one upstream.
    constexpr std::size_t maxSuspects = 1024;
    /// Peers that are told of a new suspicion at once; each forwards what is new to it.
    constexpr std::size_t spreadPeers = 4;
    /// Connections of one place lost within this time are taken for one event.
    constexpr Milliseconds lossWindow { 1000 };
    /// Connections of one place that must be lost together to blame the place.
    constexpr std::size_t dataCentreLossThreshold = 3;
    /// Equal requests that one crash ended are reported within this time; no upstream restarts faster.
    constexpr Milliseconds sameCrashWindow { 1000 };
    /// Suspicions are forgotten after this time when the service has no longer quarantine.
    constexpr Milliseconds minMemory { 600000 };

    void storeSuspect(SuspectTable& table, const SuspectKey& key, const Suspect& suspect)
    {
        if (const auto found = table.entries.find(key); found != table.entries.end())
            table.byAge.erase({ found->second.changed, key.first, key.second });
        table.entries[key] = suspect;
        table.byAge.emplace(suspect.changed, key.first, key.second);
        while (table.entries.size() > maxSuspects) {
            const auto oldest = table.byAge.begin();
            table.entries.erase({ std::get<ServiceId>(*oldest), std::get<BodyDigest>(*oldest) });
            table.byAge.erase(oldest);
        }
    }

    std::size_t lossesOf(const EntryState& state, const DataCentreId& dataCentre)
    {
        const auto& losses = state.requests.suspects.losses;
        return static_cast<std::size_t>(std::count_if(
            losses.begin(), losses.end(), [&](const RecentLoss& loss) { return loss.dataCentre == dataCentre; }));
    }

    /// @return the loss of the host's connection in the last second, or nullptr
    RecentLoss* lossOf(EntryState& state, const HostId& host)
    {
        for (RecentLoss& loss : state.requests.suspects.losses)
            if (loss.host == host && loss.lostAt + lossWindow >= state.now)
                return &loss;
        return nullptr;
    }

    void withdrawLoss(EntryState& state, const RecentLoss& loss)
    {
        SuspectTable& table = state.requests.suspects;
        for (const SuspectKey& key : loss.keys) {
            const auto found = table.entries.find(key);
            if (found == table.entries.end() || found->second.crashes == 0)
                continue;
            Suspect suspect = found->second;
            --suspect.crashes;
            suspect.changed = state.now;
            storeSuspect(table, key, suspect);
        }
    }

} // namespace

bool recordCrash(EntryState& state, const SuspectKey& key, const HostId& host, EntryEffects& effects)
{
    RecentLoss* loss = lossOf(state, host);
    if (loss && dataCentreWasLost(state, loss->dataCentre))
        return false;
    SuspectTable& table = state.requests.suspects;
    const auto found = table.entries.find(key);
    Suspect suspect = found == table.entries.end() ? Suspect {} : found->second;
    // Equal requests in flight on the same upstream die by the same crash.
    const bool sameCrash
        = suspect.crashes > 0 && suspect.lastHost == host && suspect.changed + sameCrashWindow >= state.now;
    if (sameCrash)
        return false;
    ++suspect.crashes;
    suspect.changed = state.now;
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
    const SuspectKey key { request.call.service, request.call.bodyDigest };
    const auto found = table.entries.find(key);
    if (found == table.entries.end() || found->second.crashes == 0 || found->second.changed > request.dispatchedAt)
        return;
    storeSuspect(table, key, Suspect { .crashes = 0, .changed = state.now });
    LogLine line = requestLine("suspicion-cleared", request);
    line.fields.emplace_back("host", request.host.value);
    effects.emplace_back(std::move(line));
}

bool mergeSuspicions(EntryState& state, const std::vector<Suspicion>& suspicions)
{
    /// Clocks and delays of messages make the same moment differ by this much between two entries.
    constexpr Milliseconds tolerance { 100 };
    bool learned = false;
    for (const Suspicion& received : suspicions) {
        const SuspectKey key { received.service, received.bodyDigest };
        const Milliseconds changed = state.now - std::max(Milliseconds {}, received.age);
        const auto found = state.requests.suspects.entries.find(key);
        if (found == state.requests.suspects.entries.end()) {
            if (received.crashes == 0)
                continue;
            storeSuspect(state.requests.suspects, key, { .crashes = received.crashes, .changed = changed });
            learned = true;
            continue;
        }
        const Suspect known = found->second;
        const bool newer = changed > known.changed + tolerance;
        const bool raises = received.crashes > known.crashes && (known.crashes > 0 || newer);
        const bool clears = received.crashes == 0 && known.crashes > 0 && newer;
        if (!raises && !clears)
            continue;
        storeSuspect(state.requests.suspects, key,
            { .crashes = received.crashes, .changed = std::max(known.changed, changed), .lastHost = known.lastHost });
        learned = true;
    }
    return learned;
}

void gossipSuspicions(EntryState& state, EntryEffects& effects)
{
    std::vector<HostId> peers = liveEntries(state.members);
    std::erase(peers, state.settings.process.host);
    const GossipMessage message = localGossip(state);
    for (std::size_t sent = 0; sent < spreadPeers && !peers.empty(); ++sent) {
        const std::size_t index = state.random() % peers.size();
        const HostId peer = peers[index];
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
        if (const Member* member = findMember(state.members, peer))
            effects.emplace_back(SendGossip { .peer = peer, .address = member->address, .message = message });
    }
}

void recordConnectionLoss(EntryState& state, const UpstreamView& view, EntryEffects& effects)
{
    std::deque<RecentLoss>& losses = state.requests.suspects.losses;
    while (!losses.empty() && losses.front().lostAt + lossWindow < state.now)
        losses.pop_front();
    losses.push_back({ .lostAt = state.now, .dataCentre = view.dataCentre, .host = view.host });
    if (!dataCentreWasLost(state, view.dataCentre))
        return;
    for (RecentLoss& loss : losses) {
        if (loss.dataCentre != view.dataCentre)
            continue;
        withdrawLoss(state, loss);
        loss.keys.clear();
    }
    effects.emplace_back(LogLine { .level = LogLevel::Warning,
        .event = "place-lost",
        .fields = { { "place", view.dataCentre.value }, { "agents", std::to_string(lossesOf(state, view.dataCentre)) },
            { "reason", "connections-lost-together" } } });
}

bool dataCentreWasLost(const EntryState& state, const DataCentreId& dataCentre)
{
    return lossesOf(state, dataCentre) >= dataCentreLossThreshold;
}

void expireSuspicions(EntryState& state)
{
    SuspectTable& table = state.requests.suspects;
    while (!table.byAge.empty()) {
        const auto oldest = table.byAge.begin();
        const ServiceId& name = std::get<ServiceId>(*oldest);
        const ServiceConfig* service = state.config.config ? state.config.config->findService(name) : nullptr;
        const Milliseconds memory = service ? std::max(minMemory, service->quarantine) : minMemory;
        if (std::get<Milliseconds>(*oldest) + memory > state.now)
            return;
        table.entries.erase({ name, std::get<BodyDigest>(*oldest) });
        table.byAge.erase(oldest);
    }
}

} // namespace hickory
