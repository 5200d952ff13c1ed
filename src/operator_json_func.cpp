#include "operator_json_func.h"

#include "member_func.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>

namespace hickory {

namespace {

    using Json = nlohmann::json;

    /// Serialises JSON. Invalid UTF-8, e.g. in an upstream's message, is replaced; by default the library throws on it.
    std::string serialise(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    Json agentJson(const AgentStatus& agent)
    {
        const auto sum = [&](auto field) {
            return std::accumulate(agent.ranks.begin(), agent.ranks.end(), std::uint64_t { 0 },
                [field](std::uint64_t total, const RankLoad& load) { return total + load.*field; });
        };
        return { { "host", agent.host.value }, { "place", agent.dataCentre.value }, { "service", agent.service.value },
            { "ready", agent.ready }, { "leaving", agent.leaving }, { "model", agent.model.value },
            { "version", agent.version.value }, { "generation", agent.generation.value }, { "limit", agent.limit },
            { "running", sum(&RankLoad::running) }, { "queued", sum(&RankLoad::queued) },
            { "wanted_version", agent.wantedVersion.value }, { "chunks_have", agent.chunksHave },
            { "chunks_total", agent.chunksTotal }, { "failures", agent.failures }, { "detail", agent.detail } };
    }

    Json entryJson(const EntryStatus& entry)
    {
        Json agents = Json::array();
        for (const AgentStatus& agent : entry.agents)
            agents.push_back(agentJson(agent));
        return { { "host", entry.host.value }, { "generation", entry.generation.value },
            { "reachable", entry.reachable }, { "leaving", entry.leaving }, { "agents", std::move(agents) } };
    }

    /// @return newest generation reported by or for each host; a host may be reported by several entries
    std::map<HostId, Generation> generationsByHost(const std::vector<EntryStatus>& entries)
    {
        std::map<HostId, Generation> generations;
        for (const EntryStatus& entry : entries) {
            if (entry.reachable)
                generations[entry.host] = std::max(generations[entry.host], entry.generation);
            for (const AgentStatus& agent : entry.agents)
                generations[agent.host] = std::max(generations[agent.host], agent.generation);
        }
        return generations;
    }

} // namespace

std::string errorJson(const std::string& error, const std::string& detail)
{
    return serialise({ { "error", error }, { "detail", detail } });
}

std::string showJson(const ConfigRecord& record)
{
    return serialise({ { "generation", record.generation.value }, { "digest", record.digest },
        { "change_id", record.changeId.value }, { "text", record.text } });
}

std::string checkJson(const Config& config)
{
    return serialise({ { "ok", true }, { "services", config.services.size() }, { "ranks", config.ranks.size() },
        { "workspaces", config.workspaces.size() } });
}

std::string diffJson(Generation generation, const std::vector<std::string>& changes)
{
    return serialise({ { "generation", generation.value }, { "changes", changes } });
}

std::string historyJson(const std::vector<HistoryEntry>& entries)
{
    Json rows = Json::array();
    for (const HistoryEntry& entry : entries)
        rows.push_back({ { "generation", entry.generation.value }, { "change_id", entry.changeId.value },
            { "digest", entry.digest }, { "known", entry.known } });
    return serialise({ { "history", std::move(rows) } });
}

std::string statusJson(const MemberState& members, const HostId& self, const std::vector<EntryStatus>& entries)
{
    const std::map<HostId, Generation> generations = generationsByHost(entries);
    Generation newest;
    for (const auto& [host, generation] : generations)
        newest = std::max(newest, generation);
    Json waiting = Json::array();
    // An entry that is missing from its own list has not read the list yet and cannot tell which hosts to wait for.
    if (!findMember(members, self))
        waiting.push_back(self.value);
    for (const Member& member : members.list.members) {
        if (isLeaving(members, member.host))
            continue;
        const auto found = generations.find(member.host);
        if (found == generations.end() || found->second < newest)
            waiting.push_back(member.host.value);
    }
    Json rows = Json::array();
    for (const EntryStatus& entry : entries)
        rows.push_back(entryJson(entry));
    const bool inForce = newest.value > 0 && waiting.empty();
    return serialise({ { "generation", newest.value }, { "entries", std::move(rows) }, { "in_force", inForce },
        { "waiting_for", std::move(waiting) } });
}

std::string entriesJson(EntryState& state)
{
    const ProcessSettings& process = state.settings.process;
    std::vector<const Member*> live;
    for (const HostId& host : liveEntries(state.members))
        if (host != process.host || !state.leaving)
            live.push_back(findMember(state.members, host));
    // Clients use the first address: shuffling equally close entries spreads the load over them.
    std::shuffle(live.begin(), live.end(), state.random);
    const auto distance = [&](const Member* member) {
        const int unreachable = state.control.unreachable.contains(member->host) ? 3 : 0;
        return unreachable + (member->dataCentre == process.dataCentre ? 0 : member->region == process.region ? 1 : 2);
    };
    std::stable_sort(live.begin(), live.end(),
        [&](const Member* left, const Member* right) { return distance(left) < distance(right); });
    Json rows = Json::array();
    for (const Member* member : live)
        rows.push_back(
            { { "host", member->host.value }, { "address", member->http }, { "place", member->dataCentre.value } });
    return serialise({ { "ttl_ms", state.settings.entriesTimeToLive.value }, { "entries", std::move(rows) } });
}

} // namespace hickory
