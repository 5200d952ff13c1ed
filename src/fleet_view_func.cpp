#include "fleet_view_func.h"

#include "digest_func.h"
#include "query_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint16_t statusOk = 200;

    Error failure(ErrorCode code, const std::string& detail)
    {
        return { .code = make_error_code(code), .step = "read-fleet-view", .peer = {}, .detail = detail };
    }

} // namespace

std::optional<FleetView> makeFleetView(const RelayState& state, const ServiceId& service)
{
    if (!state.config)
        return std::nullopt;
    FleetView view;
    for (const auto& [name, serviceConfig] : state.config->services) {
        if (!serviceConfig.originAddress.empty()) {
            view.originAddress = serviceConfig.originAddress;
            view.originMbps = serviceConfig.originMbps;
        }
        if (name == service && serviceConfig.engine && !serviceConfig.engine->models.empty())
            view.model = serviceConfig.engine->models.front();
    }
    const auto declared = state.declared.find(view.model);
    if (declared != state.declared.end() && !declared->second.empty())
        view.declared = declared->second.rbegin()->first;
    for (const auto& [id, upstream] : state.upstreams)
        if (upstream.listed && upstream.entry.service == service)
            view.hosts.push_back({ .ip = upstream.entry.address.substr(0, upstream.entry.address.rfind(':')),
                .dataCentre = upstream.entry.dataCentre });
    std::sort(view.hosts.begin(), view.hosts.end(),
        [](const WeightsPeer& left, const WeightsPeer& right) { return left.ip < right.ip; });
    return view;
}

std::optional<Milliseconds> declaredNotBefore(const RelayState& state, const FleetView& view)
{
    const auto model = state.declared.find(view.model);
    if (model == state.declared.end())
        return std::nullopt;
    const auto version = model->second.find(view.declared);
    return version == model->second.end() ? std::nullopt : version->second.notBefore;
}

std::string fleetViewRequestTarget(const FleetViewRequest& request)
{
    return std::string(fleetViewPath) + "?service=" + request.service.value + "&stamp=" + std::to_string(request.stamp);
}

FleetViewRequest decodeFleetViewRequest(const std::string& target)
{
    return { .service = { queryValue(target, "service") }, .stamp = queryNumber(target, "stamp") };
}

std::string encodeFleetView(const FleetView& view, std::optional<Milliseconds> unseenFor, std::uint64_t stamp)
{
    Json hosts = Json::array();
    for (const WeightsPeer& host : view.hosts)
        hosts.push_back({ host.ip, host.dataCentre.value });
    const Json document { { "model", view.model.value }, { "origin", view.originAddress },
        { "origin_mbps", view.originMbps }, { "declared", view.declared.value }, { "hosts", std::move(hosts) } };
    const std::uint64_t currentStamp = stableHash("fleet-view", document.dump());
    Json answer { { "stamp", currentStamp } };
    if (currentStamp != stamp)
        answer["view"] = document;
    if (unseenFor)
        answer["unseen_ms"] = unseenFor->value;
    return answer.dump();
}

Result<FleetViewResponse> decodeFleetViewResponse(const Result<FetchResponse>& answer, Milliseconds sentAt)
{
    if (!answer)
        return answer.error();
    if (answer.value().head.status != statusOk)
        return failure(ErrorCode::Unavailable, "status " + std::to_string(answer.value().head.status));
    try {
        const Json document = Json::parse(answer.value().body);
        FleetViewResponse decoded { .stamp = document.at("stamp").get<std::uint64_t>() };
        if (document.contains("unseen_ms"))
            decoded.declaredNotBefore = sentAt - Milliseconds { document.at("unseen_ms").get<std::int64_t>() };
        if (!document.contains("view"))
            return decoded;
        const Json& body = document.at("view");
        FleetView view { .model = { body.at("model").get<std::string>() },
            .originAddress = body.at("origin").get<std::string>(),
            .originMbps = body.at("origin_mbps").get<double>(),
            .declared = { body.at("declared").get<std::uint64_t>() } };
        for (const Json& host : body.at("hosts"))
            view.hosts.push_back(
                { .ip = host.at(0).get<std::string>(), .dataCentre = { host.at(1).get<std::string>() } });
        decoded.view = std::move(view);
        return decoded;
    } catch (const Json::exception& problem) {
        return failure(ErrorCode::Protocol, problem.what());
    }
}

} // namespace hickory
