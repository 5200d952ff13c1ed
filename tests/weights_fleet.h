#pragma once

#include "manifest_func.h"
#include "placement_row_func.h"
#include "weights_cmd.h"

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulates agents that distribute weights and roll out versions. Effects are answered in memory, in order of
/// simulated time. The simulation has a serial link of the origin, a serial uplink of each host, a table with
/// compare-and-set and engines that load in a fixed time.
class WeightsFleet {
public:
    std::vector<hickory::AgentState> agents; ///< sorted by host name
    std::map<std::string, std::pair<std::uint64_t, std::string>> table; ///< version and value of each row by key
    std::map<hickory::ManifestDigest, hickory::Manifest> manifests; ///< manifests of the published versions, by digest
    std::mt19937_64 random { 7 };
    std::int64_t now { 1000 }; ///< simulated time in ms
    double originRate { 1000 }; ///< rate of the origin's link in bytes a millisecond
    double hostRate { 2000 }; ///< rate of each host's uplink in bytes a millisecond
    double corruptShare { 0 }; ///< share of the chunks from peers that arrive corrupt, 0 to 1
    bool storeDown { false }; ///< table operations are answered with Unavailable
    std::set<std::size_t> dead; ///< indices of agents that have crashed but are still listed as members
    std::set<std::string> failingVersions; ///< versions whose load fails
    std::int64_t loadTime { 300 }; ///< ms that an engine needs to load a version
    std::uint64_t originBytes { 0 }; ///< bytes read from the origin
    std::uint64_t crossRegionBytes { 0 }; ///< bytes of chunks sent to other regions
    std::uint64_t mapQueries { 0 }; ///< chunk map queries sent
    std::size_t maxOutOfService { 0 }; ///< highest number of hosts at once that had served a version and were reloading

    /// Adds hosts "h000", "h001" and so on, assigned to the regions in turn.
    void start(std::size_t count, const std::vector<std::string>& regions, hickory::FetchPolicy policy)
    {
        hickory::MemberList list { .version = 1 };
        for (std::size_t index = 0; index < count; ++index) {
            const std::string& region = regions[index % regions.size()];
            list.members.push_back({ .host = { name(index) },
                .role = hickory::MemberRole::Upstream,
                .kind = hickory::ServiceKind::Engine,
                .dataCentre = { region + "-a" },
                .region = { region },
                .address = name(index) });
        }
        std::sort(list.members.begin(), list.members.end(),
            [](const auto& left, const auto& right) { return left.host < right.host; });
        for (const hickory::Member& member : list.members) {
            hickory::AgentState agent;
            agent.settings.process = { .host = member.host, .dataCentre = member.dataCentre, .region = member.region };
            agent.settings.engine = true;
            agent.settings.fetchPolicy = policy;
            agent.engine.upstream.reachable = true;
            agent.incarnation = { this->random() };
            agent.random.seed(this->random());
            agent.members.list = list;
            this->agents.push_back(std::move(agent));
            this->loadingSince.push_back(0);
        }
    }

    /// @return name of the host with that index
    static std::string name(std::size_t index)
    {
        const std::string digits = std::to_string(index);
        return "h" + std::string(3 - digits.size(), '0') + digits;
    }

    /// Publishes a version with generated content.
    /// @return digest of its manifest
    hickory::ManifestDigest publish(const std::string& version, std::size_t chunks, std::size_t chunkSize = 10000)
    {
        std::string content;
        while (content.size() < chunks * chunkSize)
            content += version + std::to_string(content.size());
        content.resize(chunks * chunkSize);
        hickory::Manifest manifest
            = hickory::buildManifest({ "model" }, { version }, "model-" + version, content, { chunkSize });
        this->manifests[manifest.digest] = manifest;
        return manifest.digest;
    }

    /// Applies a configuration at every agent.
    void configure(std::uint64_t generation, const std::vector<hickory::ServiceConfig>& services)
    {
        auto config = std::make_shared<hickory::Config>();
        config->services = services;
        for (std::size_t index = 0; index < this->agents.size(); ++index) {
            hickory::AgentState& agent = this->agents[index];
            agent.now = { this->now };
            agent.config.record.generation = { generation };
            agent.config.config = config;
            hickory::AgentEffects effects;
            hickory::applyConfigToWeights(agent, effects);
            this->perform(index, effects);
        }
    }

    /// Writes the placement row of a service.
    void place(const std::string& service, const std::vector<hickory::HostId>& hosts)
    {
        auto& [version, value] = this->table["placement/" + service];
        ++version;
        value = hickory::placementRowJson(
            { .generation = { 1 }, .proposer = { "e1" }, .reason = "test", .hosts = hosts });
    }

    std::vector<hickory::HostId> allHosts() const
    {
        std::vector<hickory::HostId> hosts;
        for (const hickory::AgentState& agent : this->agents)
            hosts.push_back(agent.settings.process.host);
        return hosts;
    }

    /// @return number of agents that serve a version
    std::size_t servingCount(const std::string& version) const
    {
        return static_cast<std::size_t>(std::count_if(this->agents.begin(), this->agents.end(),
            [&](const auto& agent) { return agent.engine.serving && agent.engine.serving->version.value == version; }));
    }

    /// @return number of agents that hold all chunks of a version, with a matching total digest
    std::size_t completeCount(const hickory::ManifestDigest& digest) const
    {
        return static_cast<std::size_t>(std::count_if(this->agents.begin(), this->agents.end(), [&](const auto& agent) {
            const auto found = agent.weights.downloads.find(digest);
            return found != agent.weights.downloads.end() && found->second.whole;
        }));
    }

    /// Advances simulated time until a condition holds.
    /// @param limit longest time to advance, in ms
    /// @return true when the condition holds
    template <typename Condition> bool runUntil(Condition condition, std::int64_t limit)
    {
        const std::int64_t end = this->now + limit;
        while (this->now < end && !condition()) {
            while (!this->events.empty() && this->events.top().at <= this->now) {
                const PendingEvent event = this->events.top();
                this->events.pop();
                if (!this->dead.contains(event.agent))
                    this->deliver(event.agent, event.body);
            }
            if (this->now % tickInterval == 0)
                for (std::size_t index = 0; index < this->agents.size(); ++index)
                    if (!this->dead.contains(index))
                        this->tick(index);
            ++this->now;
        }
        return condition();
    }

private:
    static constexpr std::int64_t tickInterval = 50;
    static constexpr std::int64_t latency = 2; ///< ms until an answer without transfer time arrives

    /// An event to be delivered to an agent.
    struct PendingEvent {
        std::int64_t at; ///< simulated time of delivery
        std::uint64_t order; ///< orders events of the same time
        std::size_t agent;
        hickory::AgentEventBody body;

        /// Earlier events compare as greater, so that they are at the top of the priority queue.
        bool operator<(const PendingEvent& other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    std::priority_queue<PendingEvent> events;
    std::uint64_t order { 0 }; ///< PendingEvent::order of the last event
    double originBusyUntil { 0 }; ///< when the origin's link has sent all chunks requested so far
    std::map<std::string, double> uplinkBusyUntil; ///< the same of each host's uplink, by address
    std::vector<std::int64_t> loadingSince; ///< by agent: when its engine began to load, 0 when it does not

    void schedule(std::size_t agent, std::int64_t at, hickory::AgentEventBody body)
    {
        this->events.push({ at, ++this->order, agent, std::move(body) });
    }

    std::size_t indexOf(const std::string& address) const
    {
        std::size_t index = 0;
        while (this->agents[index].settings.process.host.value != address)
            ++index;
        return index;
    }

    void tick(std::size_t index)
    {
        hickory::AgentState& agent = this->agents[index];
        agent.now = { this->now };
        hickory::AgentEffects effects;
        hickory::tickWeights(agent, effects);
        this->perform(index, effects);
        this->runEngine(index);
    }

    /// Simulates the engine of an agent: loads its target and takes it into service.
    void runEngine(std::size_t index)
    {
        hickory::EngineState& engine = this->agents[index].engine;
        std::int64_t& since = this->loadingSince[index];
        if (!engine.target || (engine.serving && *engine.serving == *engine.target)) {
            since = 0;
            engine.phase = engine.target ? hickory::EnginePhase::Serving : hickory::EnginePhase::Idle;
            if (!engine.target)
                engine.serving.reset();
            return;
        }
        const bool served = engine.serving.has_value();
        if (since == 0 || served) {
            since = this->now;
            engine.phase = hickory::EnginePhase::Loading;
            engine.serving.reset();
            this->outOfService.insert(served ? index : this->agents.size());
        } else if (this->now - since >= this->loadTime) {
            const bool fails = this->failingVersions.contains(engine.target->version.value);
            engine.phase = fails ? hickory::EnginePhase::Failed : hickory::EnginePhase::Serving;
            if (!fails) {
                engine.serving = engine.target;
                engine.failures = 0;
                this->outOfService.erase(index);
            }
        }
        this->outOfService.erase(this->agents.size());
        this->maxOutOfService = std::max(this->maxOutOfService, this->outOfService.size());
    }

    std::set<std::size_t> outOfService; ///< agents that had served a version and are reloading

    void deliver(std::size_t index, const hickory::AgentEventBody& body)
    {
        hickory::AgentState& agent = this->agents[index];
        agent.now = { this->now };
        hickory::AgentEffects effects;
        if (const auto* manifest = std::get_if<hickory::ManifestReceived>(&body))
            hickory::applyManifestReceived(agent, *manifest, effects);
        if (const auto* map = std::get_if<hickory::ChunkMapReceived>(&body))
            hickory::applyChunkMap(agent, *map, effects);
        if (const auto* chunk = std::get_if<hickory::ChunkFetched>(&body)) {
            hickory::ChunkFetched event = *chunk;
            const auto found = agent.weights.downloads.find(event.manifest);
            event.versionComplete = event.result == hickory::ChunkResult::Verified
                && found != agent.weights.downloads.end() && found->second.held + 1 == found->second.chunks.size();
            hickory::applyChunkFetched(agent, event, effects);
        }
        if (const auto* row = std::get_if<hickory::StoreAnswer>(&body))
            hickory::applyWeightsStoreAnswer(agent, *row, effects);
        this->perform(index, effects);
    }

    void perform(std::size_t index, const hickory::AgentEffects& effects)
    {
        for (const hickory::AgentEffect& effect : effects) {
            if (const auto* fetch = std::get_if<hickory::FetchChunk>(&effect))
                this->fetchChunk(index, *fetch);
            if (const auto* query = std::get_if<hickory::QueryChunkMap>(&effect))
                this->queryMap(index, *query);
            if (const auto* read = std::get_if<hickory::StoreRead>(&effect))
                this->accessTable(index, read->token, read->key, nullptr);
            if (const auto* write = std::get_if<hickory::StoreWrite>(&effect))
                this->accessTable(index, write->token, write->key, write);
            if (const auto* manifest = std::get_if<hickory::FetchManifest>(&effect)) {
                hickory::ManifestReceived event { .digest = manifest->digest, .ok = true };
                event.manifest = this->manifests.at(manifest->digest);
                this->schedule(index, this->now + latency, event);
            }
        }
    }

    /// Reads a row, or writes it when `write` is not null.
    void accessTable(
        std::size_t index, const hickory::StoreToken& token, const std::string& key, const hickory::StoreWrite* write)
    {
        hickory::StoreAnswer event { .token = token };
        if (!this->storeDown) {
            auto row = this->table.find(key);
            const std::uint64_t version = row == this->table.end() ? 0 : row->second.first;
            event.status = version > 0 ? hickory::StoreStatus::Ok : hickory::StoreStatus::Absent;
            if (write && write->ifVersion.value == version)
                row = this->table.insert_or_assign(key, std::pair(version + 1, write->value)).first;
            else if (write)
                event.status = hickory::StoreStatus::Conflict;
            if (write && write->ifVersion.value == version)
                event.status = hickory::StoreStatus::Ok;
            if (row != this->table.end()) {
                event.version = { row->second.first };
                event.value = row->second.second;
            }
        }
        this->schedule(index, this->now + latency, event);
    }

    /// @return chunks of a version at an agent, nullptr when it is dead or does not download the version
    const std::vector<hickory::ChunkProgress>* chunksOf(std::size_t index, const hickory::ManifestDigest& digest) const
    {
        const auto found = this->agents[index].weights.downloads.find(digest);
        return this->dead.contains(index) || found == this->agents[index].weights.downloads.end()
            ? nullptr
            : &found->second.chunks;
    }

    void queryMap(std::size_t index, const hickory::QueryChunkMap& query)
    {
        ++this->mapQueries;
        const std::size_t peer = this->indexOf(query.address);
        hickory::ChunkMapReceived event {
            .peer = query.peer, .manifest = query.manifest, .ok = !this->dead.contains(peer)
        };
        if (const auto* chunks = this->chunksOf(peer, query.manifest))
            for (const hickory::ChunkProgress& chunk : *chunks)
                event.have.push_back(chunk.have);
        this->schedule(index, this->now + latency, event);
    }

    void fetchChunk(std::size_t index, const hickory::FetchChunk& fetch)
    {
        const hickory::Manifest& manifest = this->manifests.at(fetch.manifest);
        const double size = static_cast<double>(manifest.chunks[fetch.index.value].size.value);
        hickory::ChunkFetched event { .manifest = fetch.manifest, .index = fetch.index, .source = fetch.source };
        double& link = fetch.source.peer.empty() ? this->originBusyUntil : this->uplinkBusyUntil[fetch.source.address];
        bool served = true;
        if (!fetch.source.peer.empty()) {
            const std::size_t peer = this->indexOf(fetch.source.address);
            const auto* chunks = this->chunksOf(peer, fetch.manifest);
            served = chunks && fetch.index.value < chunks->size() && (*chunks)[fetch.index.value].have;
            if (served && this->agents[peer].settings.process.region != this->agents[index].settings.process.region)
                this->crossRegionBytes += static_cast<std::uint64_t>(size);
        }
        if (!served) {
            this->schedule(index, this->now + (this->dead.empty() ? latency : fetch.timeout.value), event);
            return;
        }
        link = std::max(link, static_cast<double>(this->now))
            + size / (fetch.source.peer.empty() ? this->originRate : this->hostRate);
        const std::int64_t end = static_cast<std::int64_t>(link) + latency;
        event.elapsed = { end - this->now };
        event.received = { static_cast<std::uint64_t>(size) };
        if (fetch.source.peer.empty())
            this->originBytes += static_cast<std::uint64_t>(size);
        const bool corrupt
            = !fetch.source.peer.empty() && static_cast<double>(this->random() % 1000) < this->corruptShare * 1000;
        event.result = event.elapsed > fetch.timeout ? hickory::ChunkResult::Failed
            : corrupt                                ? hickory::ChunkResult::Corrupt
                                                     : hickory::ChunkResult::Verified;
        this->schedule(index, event.elapsed > fetch.timeout ? this->now + fetch.timeout.value : end, event);
    }
};

/// @return configuration of an engine service
inline hickory::ServiceConfig engineService(const std::string& name, const std::string& version,
    const hickory::ManifestDigest& manifest, std::uint32_t maxUnavailable = 2)
{
    return { .name = { name },
        .kind = hickory::ServiceKind::Engine,
        .maxUnavailable = maxUnavailable,
        .model = hickory::ModelConfig {
            .name = { "model" }, .version = { version }, .manifest = manifest, .minReplicas = 1, .maxReplicas = 64 } };
}
