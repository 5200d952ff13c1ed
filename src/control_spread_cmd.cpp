#include "control_spread_cmd.h"

#include "config_record_func.h"
#include "member_func.h"
#include "table/control_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    void pushTo(const EntryState& state, const HostId& host, bool toEntry, EntryEffects& effects)
    {
        const Member* member = findMember(state.members, host);
        if (member)
            effects.emplace_back(PushConfig {
                .peer = host, .address = member->address, .toEntry = toEntry, .record = state.config.record });
    }

    /// Pushes the active configuration to up to pushFanout other entries and to home agents with an older generation.
    /// @param from host to leave out; empty or "peer" when the sender is not known or there is none
    void propagate(EntryState& state, const HostId& from, EntryEffects& effects)
    {
        std::size_t pushed = 0;
        for (const HostId& peer : randomPeers(state)) {
            if (peer == from)
                continue;
            if (pushed++ == pushFanout)
                break;
            pushTo(state, peer, true, effects);
        }
        for (const auto& [host, agent] : state.control.homeAgents)
            if (agent.status.generation < state.config.record.generation)
                pushTo(state, host, false, effects);
    }

} // namespace

std::vector<HostId> randomPeers(EntryState& state)
{
    std::vector<HostId> peers = liveEntries(state.members);
    std::erase(peers, state.settings.process.host);
    std::shuffle(peers.begin(), peers.end(), state.random);
    std::stable_partition(
        peers.begin(), peers.end(), [&](const HostId& peer) { return !state.control.unreachable.contains(peer); });
    return peers;
}

bool adoptAndPropagate(
    EntryState& state, const ConfigRecord& record, const HostId& from, const std::string& source, EntryEffects& effects)
{
    std::vector<LogLine> log;
    const bool adopted = adoptConfig(state.config, record, source, log);
    for (LogLine& line : log)
        effects.emplace_back(std::move(line));
    if (!adopted)
        return false;
    effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Gauge,
        .name = "config_generation",
        .value = static_cast<double>(record.generation.value) });
    propagate(state, from, effects);
    return true;
}

bool isDesignatedPoller(const EntryState& state)
{
    // Entries that gossip cannot reach may have failed although they are still listed; other entries replace them.
    std::vector<HostId> candidates = liveEntries(state.members);
    std::erase_if(candidates, [&](const HostId& host) { return state.control.unreachable.contains(host); });
    const std::vector<HostId> ordered = rendezvousOrder("config-poll", std::move(candidates));
    const auto end = ordered.begin() + static_cast<std::ptrdiff_t>(std::min(ordered.size(), configPollers));
    return std::find(ordered.begin(), end, state.settings.process.host) != end;
}

void fetchConfigFrom(EntryState& state, const HostId& peer, EntryEffects& effects)
{
    const Member* member = findMember(state.members, peer);
    if (!member || state.now < state.control.nextFetch)
        return;
    state.control.nextFetch = state.now + fetchInterval;
    effects.emplace_back(
        FetchConfig { .peer = peer, .address = member->address, .known = state.config.record.generation });
}

} // namespace hickory
