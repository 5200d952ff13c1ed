#include "placement_row_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickory {

namespace {

    using Json = nlohmann::json;

    Json hostsJson(const std::vector<HostId>& hosts)
    {
        Json json = Json::array();
        for (const HostId& host : hosts)
            json.push_back(host.value);
        return json;
    }

    std::vector<HostId> hostsFromJson(const Json& json)
    {
        std::vector<HostId> hosts;
        for (const Json& host : json)
            hosts.push_back({ host.get<std::string>() });
        std::sort(hosts.begin(), hosts.end());
        hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
        return hosts;
    }

    Json modelJson(const ModelConfig& model)
    {
        return { { "name", model.name.value }, { "version", model.version.value }, { "manifest", model.manifest.value },
            { "adapters", model.adapters }, { "role", model.role } };
    }

    ModelConfig modelFromJson(const Json& json)
    {
        return { .name = { json.at("name").get<std::string>() },
            .version = { json.at("version").get<std::string>() },
            .manifest = { json.at("manifest").get<std::string>() },
            .adapters = json.at("adapters").get<std::vector<std::string>>(),
            .role = json.at("role").get<std::string>() };
    }

    Error parseError(const char* step, const std::string& detail)
    {
        return { .code = ErrorCode::Protocol, .step = step, .detail = detail };
    }

} // namespace

std::string placementKey(const ServiceId& service) { return "placement/" + service.value; }

std::string permitKey(const ServiceId& service) { return "permits/" + service.value; }

std::string placementRowJson(const PlacementRow& row)
{
    return Json {
        { "generation", row.generation.value }, { "proposer", row.proposer.value }, { "reason", row.reason },
        { "hosts", hostsJson(row.hosts) }
    }.dump();
}

Result<PlacementRow> parsePlacementRow(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        return PlacementRow { .generation = { json.at("generation").get<std::uint64_t>() },
            .proposer = { json.at("proposer").get<std::string>() },
            .reason = json.at("reason").get<std::string>(),
            .hosts = hostsFromJson(json.at("hosts")) };
    } catch (const Json::exception& exception) {
        return parseError("parse-placement-row", exception.what());
    }
}

std::string permitRowJson(const PermitRow& row)
{
    Json json { { "generation", row.generation.value }, { "model", modelJson(row.model) },
        { "done", hostsJson(row.done) }, { "failed", hostsJson(row.failed) }, { "passed", row.passed },
        { "stopped", row.stopped }, { "reason", row.reason }, { "out", Json::array() } };
    if (row.previous)
        json["previous"] = modelJson(*row.previous);
    for (const PermitHolder& holder : row.holders)
        json["out"].push_back({ { "host", holder.host.value }, { "incarnation", holder.incarnation.value },
            { "renewal", holder.renewal } });
    return json.dump();
}

Result<PermitRow> parsePermitRow(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        PermitRow row { .generation = { json.at("generation").get<std::uint64_t>() },
            .model = modelFromJson(json.at("model")),
            .done = hostsFromJson(json.at("done")),
            .failed = hostsFromJson(json.at("failed")),
            .passed = json.at("passed").get<bool>(),
            .stopped = json.at("stopped").get<bool>(),
            .reason = json.at("reason").get<std::string>() };
        if (json.contains("previous"))
            row.previous = modelFromJson(json["previous"]);
        for (const Json& holder : json.at("out"))
            row.holders.push_back({ .host = { holder.at("host").get<std::string>() },
                .incarnation = { holder.at("incarnation").get<std::uint64_t>() },
                .renewal = holder.at("renewal").get<std::uint64_t>() });
        return row;
    } catch (const Json::exception& exception) {
        return parseError("parse-permit-row", exception.what());
    }
}

bool sameTarget(const ModelConfig& left, const ModelConfig& right)
{
    return left.name == right.name && left.version == right.version && left.manifest == right.manifest
        && left.adapters == right.adapters && left.role == right.role;
}

const ServiceConfig* findEngineService(const Config& config, const ServiceId& name)
{
    const auto found = std::find_if(config.services.begin(), config.services.end(),
        [&](const ServiceConfig& service) { return service.name == name && service.model; });
    return found == config.services.end() ? nullptr : &*found;
}

bool containsHost(const std::vector<HostId>& hosts, const HostId& host)
{
    return std::binary_search(hosts.begin(), hosts.end(), host);
}

void insertHost(std::vector<HostId>& hosts, const HostId& host)
{
    const auto position = std::lower_bound(hosts.begin(), hosts.end(), host);
    if (position == hosts.end() || *position != host)
        hosts.insert(position, host);
}

void eraseHost(std::vector<HostId>& hosts, const HostId& host)
{
    const auto position = std::lower_bound(hosts.begin(), hosts.end(), host);
    if (position != hosts.end() && *position == host)
        hosts.erase(position);
}

} // namespace hickory
