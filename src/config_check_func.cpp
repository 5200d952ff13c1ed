#include "config_check_func.h"

#include "platform_decode_func.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hickory {

namespace {

    using Json = nlohmann::json;
    using Findings = std::vector<std::string>;

    Error documentError(const std::string& detail)
    {
        return { .code = make_error_code(ErrorCode::Protocol), .step = "read-document", .peer = "", .detail = detail };
    }

    /// Parses JSON. The parser's own message quotes the text, which may be a key.
    Result<Json> parseDocument(const std::string& text)
    {
        try {
            Json document = Json::parse(text);
            if (!document.is_object())
                return documentError("document is not a JSON object");
            return document;
        } catch (const Json::parse_error& error) {
            const std::string before = text.substr(0, error.byte > 0 ? error.byte - 1 : 0);
            return documentError("invalid JSON in line "
                + std::to_string(1 + std::count(before.begin(), before.end(), '\n')) + ", column "
                + std::to_string(before.size() - (before.rfind('\n') + 1) + 1));
        }
    }

    /// @return what decodeConfig() reports for a document, empty if it can be read
    std::string decodeFault(const Json& document)
    {
        const Result<RelayConfig> config
            = platform::decodeConfig(document.dump(-1, ' ', false, Json::error_handler_t::replace));
        if (config)
            return "";
        const std::string& detail = config.error().detail;
        const std::size_t end = detail.find("] ");
        return detail.starts_with("[json.exception") && end != std::string::npos ? detail.substr(end + 2) : detail;
    }

    /// @return "kind NAME", or "kind #N" for a row without a usable name
    std::string placeOf(const char* kind, const Json& row, std::size_t index)
    {
        const auto name = row.is_object() ? row.find("name") : row.end();
        const bool named = row.is_object() && name != row.end() && name->is_string() && *name != "";
        return std::string(kind) + " " + (named ? name->get<std::string>() : "#" + std::to_string(index + 1));
    }

    using FaultOf = std::function<std::string(const Json&)>;

    /// Reports each member of an object that cannot be read, by decoding it as the only one of the object in a sound
    /// one.
    /// @param sound readable object with all members that are required
    /// @param place beginning of each report
    /// @param faultOf decodes a document with an object in this place; empty if it can be read
    void locateFaults(
        const Json& object, const Json& sound, const std::string& place, const FaultOf& faultOf, Findings& faults)
    {
        const std::size_t earlierFaults = faults.size();
        if (object.is_object()) {
            for (const auto& item : object.items()) {
                const auto decodeMember = [&](const Json& member) {
                    Json probe = sound;
                    probe[item.key()] = member;
                    return faultOf(probe);
                };
                const std::string fault = decodeMember(item.value());
                if (fault.empty())
                    continue;
                const std::string memberPlace = place + item.key() + ": ";
                if (const auto inner = sound.find(item.key()); inner != sound.end() && inner->is_object())
                    locateFaults(item.value(), *inner, memberPlace, decodeMember, faults);
                else
                    faults.push_back(memberPlace + fault);
            }
            for (const auto& item : sound.items()) {
                Json probe = sound;
                probe.erase(item.key());
                if (const std::string fault = faultOf(probe); !fault.empty() && !object.contains(item.key()))
                    faults.push_back(place + fault);
            }
        }
        if (const std::string fault = faultOf(object); faults.size() == earlierFaults && !fault.empty())
            faults.push_back(place + (object.is_object() ? fault : "not a JSON object"));
    }

    /// @return a document that can be read
    Json soundDocument()
    {
        return { { "version", 1 }, { "routes", Json::array() }, { "services", Json::array() },
            { "limits", Json::object() } };
    }

    /// @return a readable route with the members that a route needs
    Json soundRoute(const Json& row)
    {
        Json route { { "host", "h" }, { "prefix", "/" }, { "kind", "idempotent" }, { "timeout_ms", 1 } };
        if (row.is_object() && row.contains("traffic_split"))
            route["traffic_split"] = Json::array({ { { "service", "s" }, { "weight", 1 } } });
        else
            route["service"] = "s";
        return route;
    }

    Json soundService(const Json& /*row*/)
    {
        const Json engine { { "slots", 1 }, { "step_ms", 1 }, { "read_per_s", 1 }, { "models", Json::array() },
            { "usual", Json::object() } };
        return { { "name", "s" }, { "engine", engine } };
    }

    Json soundWorkspace(const Json& /*row*/) { return { { "name", "w" }, { "api_keys", Json::array() } }; }

    /// Decodes each row of a list alone, and reports what cannot be read.
    /// @param list member of the document
    /// @param sound readable row
    void locateRowFaults(
        const Json& document, const char* list, const char* kind, Json (*sound)(const Json&), Findings& faults)
    {
        const auto rows = document.find(list);
        if (rows == document.end() || !rows->is_array())
            return;
        for (std::size_t index = 0; index < rows->size(); ++index)
            locateFaults(
                rows->at(index), sound(rows->at(index)), placeOf(kind, rows->at(index), index) + ": ",
                [&](const Json& row) {
                    Json alone = soundDocument();
                    alone[list] = Json::array({ row });
                    return decodeFault(alone);
                },
                faults);
    }

    /// Reports what cannot be read outside the rows.
    void locateOtherFaults(Json document, Findings& faults)
    {
        for (const char* list : { "routes", "services", "tenants" })
            if (document.contains(list) && document.at(list).is_array())
                document[list] = Json::array();
        locateFaults(document, soundDocument(), "document: ", decodeFault, faults);
    }

    std::string join(const Findings& lines)
    {
        std::string text;
        for (const std::string& line : lines)
            text += (text.empty() ? "" : "\n") + line;
        return text;
    }

    std::string quoted(const std::string& text) { return "\"" + text + "\""; }

    std::string routePlace(const RelayConfig& config, const RelayRoute& route)
    {
        return "route " + (route.name.empty() ? "#" + std::to_string(1 + (&route - config.routes.data())) : route.name);
    }

    /// @return whether some region, known or not, is in both lists; an empty list has all
    bool haveCommonHome(const std::vector<RegionId>& left, const std::vector<RegionId>& right)
    {
        return left.empty() || right.empty() || std::any_of(left.begin(), left.end(), [&](const RegionId& region) {
            return std::find(right.begin(), right.end(), region) != right.end();
        });
    }

    /// The unnamed region stands for an unreadable list, which decodeConfig() warns about.
    bool isUnreadable(const std::vector<RegionId>& homes) { return homes.size() == 1 && homes.front().empty(); }

    void checkMatching(const RelayConfig& config, const RelayRoute& route, Findings& findings)
    {
        const std::string place = routePlace(config, route);
        for (const RelayRoute& earlier : config.routes) {
            if (&earlier == &route)
                break;
            if (!route.name.empty() && earlier.name == route.name)
                findings.push_back(place + ": name: used by more than one route");
            if (earlier.host == route.host && earlier.prefix == route.prefix)
                findings.push_back(
                    place + ": prefix: never matches, same host and prefix as " + routePlace(config, earlier));
        }
        if (route.host.empty() || route.host.find(':') != std::string::npos)
            findings.push_back(place + ": host: never matches, " + quoted(route.host) + " is no host without port");
        if (!route.prefix.starts_with("/"))
            findings.push_back(
                place + ": prefix: never matches, " + quoted(route.prefix) + " does not begin with a slash");
        else if (route.prefix.find('?') != std::string::npos)
            findings.push_back(place + ": prefix: never matches, the query is not part of the path");
        if (!route.prefix.ends_with("/"))
            findings.push_back(place + ": prefix: " + quoted(route.prefix)
                + " does not end with a slash, also matches longer names of the last part");
    }

    void checkShares(const RelayConfig& config, const RelayRoute& route, Findings& findings)
    {
        const std::string place = routePlace(config, route);
        for (const RouteShare& share : route.shares) {
            if (!config.services.contains(share.service))
                findings.push_back(place + ": service: " + quoted(share.service.value) + " does not exist");
            if (!(share.weight > 0))
                findings.push_back(
                    place + ": traffic_split: share of " + quoted(share.service.value) + " is never chosen, weight 0");
        }
    }

    std::string milliseconds(Milliseconds time) { return std::to_string(time.value) + " ms"; }

    void checkTimes(const RelayConfig& config, const RelayRoute& route, Findings& findings)
    {
        const std::string place = routePlace(config, route) + ": ";
        if (route.timeout < route.objective)
            findings.push_back(place + "timeout_ms: " + milliseconds(route.timeout)
                + " is shorter than target_latency_ms, " + milliseconds(route.objective));
        if (route.timeout < route.gapObjective)
            findings.push_back(place + "target_gap_ms: " + milliseconds(route.gapObjective)
                + " is longer than timeout_ms, " + milliseconds(route.timeout));
    }

    void checkKeys(const RelayConfig& config, Findings& findings)
    {
        const auto needsKey = [](const RelayRoute& route) { return !route.keyless; };
        const bool anyNeedsKey = std::any_of(config.routes.begin(), config.routes.end(), needsKey);
        for (const RelayRoute& route : config.routes)
            if (route.keyless && anyNeedsKey)
                findings.push_back(
                    routePlace(config, route) + ": public: needs no key, while other routes of the document do");
        if (anyNeedsKey && !config.needsKeys)
            findings.push_back("tenants: no such list, so no route needs a key");
        else if (anyNeedsKey && config.workspaces.empty())
            findings.push_back(
                "tenants: the list is empty, so no key is valid and every route that is not public refuses "
                "all requests");
    }

    /// Reads what decoding loses: repeated rows, repeated keys and figures that are raised to a minimum.
    void checkRows(const Json& document, const RelayConfig& config, Findings& findings)
    {
        std::size_t index = 0;
        for (const Json& row : document.at("routes")) {
            if (const auto found = row.find("max_attempts"); found != row.end() && found->is_number() && *found < 1)
                findings.push_back(routePlace(config, config.routes.at(index)) + ": max_attempts: must be at least 1");
            ++index;
        }
        std::set<std::string> services;
        for (const Json& row : document.at("services"))
            if (const std::string name = row.at("name").get<std::string>(); !services.insert(name).second)
                findings.push_back("service " + name + ": name: used by more than one service, the last one counts");
        std::map<std::string, std::size_t> owners;
        std::set<std::string> workspaces;
        index = 0;
        for (const Json& row : document.contains("tenants") ? document.at("tenants") : Json::array()) {
            const std::string place = placeOf("workspace", row, index);
            if (!workspaces.insert(place).second)
                findings.push_back(place + ": name: used by more than one workspace");
            if (row.at("api_keys").empty())
                findings.push_back(place + ": api_keys: no key, so no caller can use it");
            for (const Json& key : row.at("api_keys")) {
                const std::string text = key.get<std::string>();
                const auto [owner, isNew] = owners.emplace(text, index);
                if (text.empty())
                    findings.push_back(place + ": api_keys: an empty key");
                else if (!isNew && owner->second == index)
                    findings.push_back(place + ": api_keys: key " + shortenKey(text) + " is listed twice");
                else if (!isNew)
                    findings.push_back(place + ": api_keys: key " + shortenKey(text) + " also belongs to workspace "
                        + config.workspaces.at(owner->second).name.value + ", the last one counts");
                owner->second = index;
            }
            ++index;
        }
    }

    void checkLimits(const RelayConfig& config, Findings& findings)
    {
        const FrontLimits& limits = config.limits;
        if (limits.bodyBytes.value == 0)
            findings.push_back("limits: max_body_bytes: 0 allows no body");
        if (limits.headBytes.value == 0)
            findings.push_back("limits: max_header_bytes: 0 allows no request");
        if (limits.headTimeout.value <= 0)
            findings.push_back("limits: header_timeout_ms: must be above 0");
        if (limits.headTimeout > limits.idleTimeout)
            findings.push_back("limits: header_timeout_ms: " + milliseconds(limits.headTimeout)
                + " is longer than idle_timeout_ms, " + milliseconds(limits.idleTimeout));
        for (const auto& [name, service] : config.services) {
            if (service.coldRequestsPerSecond > 0 && service.coldPeriod.value == 0)
                findings.push_back("service " + name.value + ": cold_start_s: missing, but cold_per_s is set");
            if (service.coldRequestsPerSecond == 0 && service.coldPeriod.value > 0)
                findings.push_back("service " + name.value + ": cold_per_s: missing, so cold_start_s has no effect");
        }
    }

    void checkHomes(const RelayConfig& config, const std::set<RegionId>& regions, Findings& findings)
    {
        const auto checkNames = [&](const std::string& place, const std::vector<RegionId>& homes) {
            for (const RegionId& region : homes)
                if (!regions.empty() && !region.empty() && !regions.contains(region))
                    findings.push_back(
                        place + ": allowed_regions: no data centre is in region " + quoted(region.value));
        };
        for (const RelayRoute& route : config.routes)
            checkNames(routePlace(config, route), route.homes);
        for (const RelayWorkspace& workspace : config.workspaces)
            checkNames("workspace " + workspace.name.value, workspace.homes);
        for (const RelayRoute& route : config.routes)
            for (const RelayWorkspace& workspace : config.workspaces)
                if (!isUnreadable(route.homes) && !isUnreadable(workspace.homes) && !route.keyless
                    && !haveCommonHome(route.homes, workspace.homes))
                    findings.push_back(routePlace(config, route) + ": allowed_regions: none in common with workspace "
                        + workspace.name.value);
    }

    void checkUpstreams(const RelayConfig& config, const ConfigSurroundings& surroundings, Findings& findings)
    {
        if (!surroundings.upstreams)
            return;
        std::map<ServiceId, std::set<RegionId>> served;
        std::set<DataCentreId> unknown;
        for (const UpstreamEntry& upstream : *surroundings.upstreams) {
            if (upstream.leaving)
                continue;
            const auto region = surroundings.dataCentres.find(upstream.dataCentre);
            const bool known = region != surroundings.dataCentres.end();
            served[upstream.service].insert(known ? region->second : RegionId {});
            if (!known && !surroundings.dataCentres.empty() && unknown.insert(upstream.dataCentre).second)
                findings.push_back("data centre " + upstream.dataCentre.value + ": region not given, is in no home");
        }
        std::set<ServiceId> reported;
        for (const RelayRoute& route : config.routes)
            for (const RouteShare& share : route.shares) {
                const auto found = served.find(share.service);
                if (found == served.end()) {
                    if (config.services.contains(share.service) && reported.insert(share.service).second)
                        findings.push_back("service " + share.service.value + ": no upstream that is not draining");
                    continue;
                }
                if (surroundings.dataCentres.empty())
                    continue;
                for (const RegionId& home : route.homes)
                    if (!home.empty() && !found->second.contains(home))
                        findings.push_back(routePlace(config, route) + ": allowed_regions: service "
                            + share.service.value + " has no upstream in region " + quoted(home.value));
            }
        // Only workspaces that narrow a route are of interest here: the route's own homes are checked above.
        if (surroundings.dataCentres.empty())
            return;
        std::set<std::string> lines;
        for (const RelayWorkspace& workspace : config.workspaces)
            for (const RelayRoute& route : config.routes)
                for (const RouteShare& share : route.shares)
                    for (const RegionId& home : workspace.homes)
                        if (const auto found = served.find(share.service); !home.empty() && !route.keyless
                            && found != served.end() && !found->second.contains(home)
                            && haveCommonHome(route.homes, { home })
                            && lines.insert(workspace.name.value + " " + share.service.value + " " + home.value).second)
                            findings.push_back("workspace " + workspace.name.value + ": allowed_regions: service "
                                + share.service.value + " has no upstream in region " + quoted(home.value));
    }

} // namespace

std::string shortenKey(const std::string& key)
{
    constexpr std::size_t shownCharacters = 4; // enough to find the key, too few to use it
    return key.substr(0, std::min(shownCharacters, key.size() / 2)) + "...";
}

Result<RelayConfig> readConfigDocument(const std::string& text)
{
    const Result<Json> document = parseDocument(text);
    if (!document)
        return document.error();
    Result<RelayConfig> config = platform::decodeConfig(text);
    if (config)
        return config;
    Findings faults;
    locateOtherFaults(document.value(), faults);
    locateRowFaults(document.value(), "routes", "route", soundRoute, faults);
    locateRowFaults(document.value(), "services", "service", soundService, faults);
    locateRowFaults(document.value(), "tenants", "workspace", soundWorkspace, faults);
    if (faults.empty())
        faults.push_back("document: " + config.error().detail);
    return documentError(join(faults));
}

Result<ConfigCheck> checkConfigDocument(const std::string& text, const ConfigSurroundings& surroundings)
{
    Result<RelayConfig> config = readConfigDocument(text);
    if (!config)
        return config.error();
    ConfigCheck check { .config = config.value() };
    check.findings = check.config.warnings;
    for (const RelayRoute& route : check.config.routes) {
        checkMatching(check.config, route, check.findings);
        checkShares(check.config, route, check.findings);
        checkTimes(check.config, route, check.findings);
    }
    checkRows(Json::parse(text), check.config, check.findings);
    checkKeys(check.config, check.findings);
    checkLimits(check.config, check.findings);
    checkHomes(check.config, surroundings.regions, check.findings);
    checkUpstreams(check.config, surroundings, check.findings);
    return check;
}

ConfigSurroundings parseRegions(const std::string& list)
{
    ConfigSurroundings surroundings;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        const std::size_t equals = item.find('=');
        const RegionId region { equals == std::string::npos ? item : item.substr(equals + 1) };
        if (region.empty())
            continue;
        surroundings.regions.insert(region);
        if (equals != std::string::npos)
            surroundings.dataCentres[{ item.substr(0, equals) }] = region;
    }
    return surroundings;
}

Result<std::vector<UpstreamEntry>> readUpstreamRows(const std::string& text)
{
    const Result<Json> document = parseDocument(text);
    if (!document)
        return document.error();
    std::vector<UpstreamEntry> upstreams;
    for (const auto& item : document.value().items()) {
        const Result<UpstreamEntry> upstream = platform::decodeUpstream(item.key(), item.value().dump());
        if (!upstream)
            return documentError("upstream " + item.key() + ": " + upstream.error().detail);
        upstreams.push_back(upstream.value());
    }
    return upstreams;
}

} // namespace hickory
