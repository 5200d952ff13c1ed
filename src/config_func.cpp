#include "config_func.h"

#include "table/config_limits.h"
#include "toml_func.h"

#include <algorithm>
#include <map>
#include <set>

namespace hickory {

namespace {

    using Problem = std::optional<TomlProblem>;

    /// Converts an array of any size, so that TomlReader::choice can deduce its argument.
    template <typename Value> std::span<const NamedValue<Value>> asSpan(const auto& table) { return table; }

    /// @return path of an array element in messages: `key[name]`, or `key[N]` counted from 1 when it has no name
    std::string elementPath(const char* key, const TomlNode& node, std::size_t index)
    {
        const TomlNode* name = node.find("name");
        const bool named = name && name->kind == TomlNode::Kind::Text && !name->text.empty();
        return std::string(key) + "[" + (named ? name->text : std::to_string(index + 1)) + "]";
    }

    RankConfig readRank(TomlReader& reader)
    {
        RankConfig rank;
        rank.name = reader.name("name");
        rank.firstTokenTarget = { reader.integer("first_token_ms", rank.firstTokenTarget.value, firstTokenRange) };
        rank.betweenTokensTarget
            = { reader.integer("between_tokens_ms", rank.betweenTokensTarget.value, betweenTokensRange) };
        rank.weight = reader.number("weight", rank.weight, weightRange);
        rank.floor = reader.number("floor", rank.floor, floorRange);
        return rank;
    }

    void readRanks(TomlReader& root, Config& config, Problem& problem)
    {
        std::set<std::string> seen;
        double floors = 0.0;
        const std::vector<const TomlNode*> nodes = root.tables("rank");
        if (nodes.empty() || nodes.size() > maxRanks)
            root.fail("rank", "expected 1 to " + std::to_string(maxRanks) + " ranks");
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            TomlReader reader(*nodes[index], elementPath("rank", *nodes[index], index), problem);
            const RankConfig rank = readRank(reader);
            if (!seen.insert(rank.name).second)
                reader.fail("name", "duplicate name \"" + rank.name + "\"");
            floors += rank.floor;
            if (floors > 1.0 + floorTolerance)
                reader.fail("floor", "the sum of all floors exceeds 1");
            reader.finish();
            config.ranks.push_back(rank);
        }
    }

    void readWorkspaces(TomlReader& root, Config& config, Problem& problem)
    {
        std::set<std::string> seen;
        const std::vector<const TomlNode*> nodes = root.tables("workspace");
        if (nodes.size() > maxWorkspaces)
            root.fail("workspace", "more than " + std::to_string(maxWorkspaces) + " workspaces");
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            TomlReader reader(*nodes[index], elementPath("workspace", *nodes[index], index), problem);
            WorkspaceConfig workspace;
            workspace.name = { reader.name("name") };
            workspace.weight = reader.number("weight", workspace.weight, weightRange);
            workspace.maxQueued
                = static_cast<std::uint32_t>(reader.integer("max_queued", workspace.maxQueued, workspaceQueueRange));
            if (!seen.insert(workspace.name.value).second)
                reader.fail("name", "duplicate name \"" + workspace.name.value + "\"");
            reader.finish();
            config.workspaces.push_back(workspace);
        }
    }

    bool isDigest(const std::string& text)
    {
        constexpr std::size_t digestDigits = 64;
        return text.size() == digestDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

    ModelConfig readModel(const TomlNode& node, const std::string& path, Problem& problem)
    {
        TomlReader reader(node, path + ".model", problem);
        ModelConfig model;
        model.name = { reader.name("name") };
        model.version = { reader.name("version") };
        model.manifest = { reader.text("manifest", {}, Presence::Required) };
        if (!isDigest(model.manifest.value))
            reader.fail("manifest", "expected the digest of the manifest, 64 lowercase hex digits");
        model.adapters = reader.texts("adapters");
        if (model.adapters.size() > maxAdapters)
            reader.fail("adapters", "more than " + std::to_string(maxAdapters) + " adapters");
        model.role = reader.choice<const char*>("role", "both", asSpan<const char*>(engineRoleNames));
        model.minReplicas = static_cast<std::uint32_t>(reader.integer("min_replicas", 1, replicasRange));
        model.maxReplicas
            = static_cast<std::uint32_t>(reader.integer("max_replicas", model.minReplicas, replicasRange));
        if (model.maxReplicas < model.minReplicas)
            reader.fail("max_replicas", "must not be less than min_replicas");
        reader.finish();
        return model;
    }

    ServiceConfig readService(const TomlNode& node, const std::string& path, Problem& problem)
    {
        TomlReader reader(node, path, problem);
        ServiceConfig service;
        service.name = { reader.name("name") };
        service.kind = reader.choice("kind", service.kind, asSpan<ServiceKind>(serviceKindNames), Presence::Required);
        for (std::string& name : reader.texts("depends_on"))
            service.dependsOn.push_back({ std::move(name) });
        service.repeatable = reader.boolean("repeatable", service.repeatable);
        service.nonRepeatable = reader.texts("non_repeatable");
        for (const std::string& prefix : service.nonRepeatable)
            if (prefix.front() != '/')
                reader.fail("non_repeatable", "\"" + prefix + "\" is not a path; it must start with \"/\"");
        service.fencing = reader.choice("fencing", service.fencing, asSpan<FencingSupport>(fencingNames));
        service.concurrency
            = static_cast<std::uint32_t>(reader.integer("concurrency", service.concurrency, concurrencyRange));
        service.maxUnavailable
            = static_cast<std::uint32_t>(reader.integer("max_out", service.maxUnavailable, maxUnavailableRange));
        service.quarantine
            = Milliseconds { 1000 } * reader.integer("quarantine_s", service.quarantine.value / 1000, quarantineRange);
        const TomlNode* model = reader.table("model");
        if (service.kind == ServiceKind::Engine && !model)
            reader.fail("model", "is missing; an engine service requires a model");
        if (service.kind == ServiceKind::Plain && model)
            reader.fail("model", "must not be set for a plain service");
        if (model)
            service.model = readModel(*model, path, problem);
        reader.finish();
        return service;
    }

    /// Finds a dependency cycle.
    /// @pre every dependency names a service of the configuration
    /// @return names along the cycle, the first repeated at the end; empty when there is no cycle
    std::vector<ServiceId> findCycle(const Config& config)
    {
        const std::vector<ServiceId> ordered = dependencyOrder(config);
        for (const ServiceConfig& service : config.services) {
            if (std::find(ordered.begin(), ordered.end(), service.name) != ordered.end())
                continue;
            // Every service left out of the order depends on another one left out, so following them must lead to a
            // cycle.
            std::vector<ServiceId> chain { service.name };
            while (true) {
                const ServiceConfig* last = config.findService(chain.back());
                const auto next = std::find_if(last->dependsOn.begin(), last->dependsOn.end(),
                    [&](const auto& name) { return std::find(ordered.begin(), ordered.end(), name) == ordered.end(); });
                const auto repeated = std::find(chain.begin(), chain.end(), *next);
                if (repeated != chain.end()) {
                    std::vector<ServiceId> cycle(repeated, chain.end());
                    cycle.push_back(*next);
                    return cycle;
                }
                chain.push_back(*next);
            }
        }
        return {};
    }

    void checkDependencies(const std::vector<const TomlNode*>& nodes, const Config& config, Problem& problem)
    {
        for (std::size_t index = 0; index < config.services.size(); ++index) {
            TomlReader reader(*nodes[index], elementPath("service", *nodes[index], index), problem);
            for (const ServiceId& name : config.services[index].dependsOn)
                if (!config.findService(name))
                    reader.fail("depends_on", "unknown service \"" + name.value + "\"");
        }
        if (problem)
            return;
        const std::vector<ServiceId> cycle = findCycle(config);
        if (cycle.empty())
            return;
        std::string path;
        for (const ServiceId& name : cycle)
            path += (path.empty() ? "" : " -> ") + name.value;
        for (std::size_t index = 0; index < config.services.size(); ++index)
            if (config.services[index].name == cycle.front())
                TomlReader(*nodes[index], elementPath("service", *nodes[index], index), problem)
                    .fail("depends_on", "the dependencies form a cycle: " + path);
    }

    /// Rejects different manifest digests for the same version of a model: hosts would serve different files under one
    /// version.
    void checkManifests(const std::vector<const TomlNode*>& nodes, const Config& config, Problem& problem)
    {
        std::map<std::pair<ModelId, ModelVersion>, ManifestDigest> digests;
        for (std::size_t index = 0; index < config.services.size(); ++index) {
            const std::optional<ModelConfig>& model = config.services[index].model;
            if (!model)
                continue;
            const auto [known, fresh] = digests.try_emplace({ model->name, model->version }, model->manifest);
            if (!fresh && known->second != model->manifest) {
                const TomlNode* table = nodes[index]->find("model");
                TomlReader(*table, elementPath("service", *nodes[index], index) + ".model", problem)
                    .fail("manifest", "another service has a different digest for the same model and version");
            }
        }
    }

    void readServices(TomlReader& root, Config& config, Problem& problem)
    {
        std::set<std::string> seen;
        const std::vector<const TomlNode*> nodes = root.tables("service");
        if (nodes.size() > maxServices)
            root.fail("service", "more than " + std::to_string(maxServices) + " services");
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            const std::string path = elementPath("service", *nodes[index], index);
            config.services.push_back(readService(*nodes[index], path, problem));
            const std::string& name = config.services.back().name.value;
            if (!seen.insert(name).second)
                TomlReader(*nodes[index], path, problem).fail("name", "duplicate name \"" + name + "\"");
        }
        checkDependencies(nodes, config, problem);
        checkManifests(nodes, config, problem);
    }

    Error configError(const TomlProblem& problem)
    {
        return { .code = make_error_code(ErrorCode::InvalidConfig), .step = "parse-config", .detail = problem.text() };
    }

} // namespace

const ServiceConfig* Config::findService(const ServiceId& name) const
{
    const auto found = std::find_if(this->services.begin(), this->services.end(),
        [&](const ServiceConfig& service) { return service.name == name; });
    return found != this->services.end() ? &*found : nullptr;
}

const WorkspaceConfig* Config::findWorkspace(const WorkspaceId& name) const
{
    const auto found = std::find_if(this->workspaces.begin(), this->workspaces.end(),
        [&](const WorkspaceConfig& workspace) { return workspace.name == name; });
    return found != this->workspaces.end() ? &*found : nullptr;
}

std::optional<RankIndex> Config::findRank(const std::string& name) const
{
    for (std::size_t index = 0; index < this->ranks.size(); ++index)
        if (this->ranks[index].name == name)
            return RankIndex { static_cast<std::uint8_t>(index) };
    return std::nullopt;
}

Result<Config> parseConfig(std::string_view text)
{
    if (text.size() > maxConfigBytes)
        return configError(
            { .line = 1, .reason = "the configuration is longer than " + std::to_string(maxConfigBytes) + " bytes" });
    const std::variant<TomlNode, TomlProblem> parsed = parseToml(text);
    if (const auto* syntax = std::get_if<TomlProblem>(&parsed))
        return configError(*syntax);
    Problem problem;
    Config config;
    TomlReader root(std::get<TomlNode>(parsed), {}, problem);
    readRanks(root, config, problem);
    readWorkspaces(root, config, problem);
    readServices(root, config, problem);
    root.finish();
    if (problem)
        return configError(*problem);
    return config;
}

std::vector<ServiceId> dependencyOrder(const Config& config)
{
    std::map<ServiceId, std::size_t> unmetCount;
    std::map<ServiceId, std::vector<ServiceId>> dependants;
    std::vector<ServiceId> ordered;
    for (const ServiceConfig& service : config.services) {
        unmetCount[service.name] = service.dependsOn.size();
        for (const ServiceId& dependency : service.dependsOn)
            dependants[dependency].push_back(service.name);
        if (service.dependsOn.empty())
            ordered.push_back(service.name);
    }
    for (std::size_t index = 0; index < ordered.size(); ++index)
        for (const ServiceId& dependant : dependants[ServiceId { ordered[index] }])
            if (--unmetCount[dependant] == 0)
                ordered.push_back(dependant);
    return ordered;
}

} // namespace hickory
