#include "home_region_func.h"

#include "table/relay_limits.h"

#include <algorithm>
#include <iterator>

namespace hickory {

namespace {

    /// @param homes of a route or a workspace, as configured
    AllowedRegions asAllowed(const std::vector<RegionId>& homes)
    {
        if (homes.empty())
            return std::nullopt;
        std::vector<RegionId> regions;
        for (const RegionId& home : homes)
            if (!home.empty())
                regions.push_back(home);
        std::sort(regions.begin(), regions.end());
        regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
        return regions;
    }

    bool isNameUnique(const RelayConfig& config, const std::string& name)
    {
        return std::count_if(config.routes.begin(), config.routes.end(), [&](const RelayRoute& route) {
            return route.name == name;
        }) == 1;
    }

    /// @param before configuration that the route belongs to
    /// @return the route's counterpart in another configuration: that of the same name, host and prefix, else of the
    /// same host and prefix, else of the same name if only one route has it in either configuration; or nullptr
    const RelayRoute* findSameRoute(const RelayConfig& config, const RelayRoute& route, const RelayConfig& before)
    {
        const RelayRoute* samePlace = nullptr;
        const RelayRoute* sameName = nullptr;
        for (const RelayRoute& other : config.routes) {
            const bool isSamePlace = other.host == route.host && other.prefix == route.prefix;
            if (isSamePlace && other.name == route.name)
                return &other;
            if (isSamePlace && !samePlace)
                samePlace = &other;
            if (other.name == route.name)
                sameName = &other;
        }
        if (samePlace || !sameName || route.name.empty())
            return samePlace;
        return isNameUnique(config, route.name) && isNameUnique(before, route.name) ? sameName : nullptr;
    }

    AllowedRegions workspaceRegions(const RelayConfig& config, const WorkspaceId& workspace)
    {
        if (workspace.empty())
            return std::nullopt;
        const auto found = std::find_if(config.workspaces.begin(), config.workspaces.end(),
            [&](const RelayWorkspace& other) { return other.name == workspace; });
        return found == config.workspaces.end() ? std::nullopt : asAllowed(found->homes);
    }

} // namespace

AllowedRegions intersectRegions(const AllowedRegions& left, const AllowedRegions& right)
{
    if (!left || !right)
        return left ? left : right;
    std::vector<RegionId> both;
    std::set_intersection(left->begin(), left->end(), right->begin(), right->end(), std::back_inserter(both));
    return both;
}

bool overlaps(const AllowedRegions& left, const AllowedRegions& right)
{
    if (!left || !right)
        return (!left || !left->empty()) && (!right || !right->empty());
    return std::any_of(left->begin(), left->end(), [&](const RegionId& region) { return allowsRegion(right, region); });
}

bool includesRegions(const AllowedRegions& outer, const AllowedRegions& inner)
{
    if (!outer || !inner)
        return !outer;
    return std::includes(outer->begin(), outer->end(), inner->begin(), inner->end());
}

bool allowsRegion(const AllowedRegions& allowed, const RegionId& region)
{
    return !allowed || (!region.empty() && std::binary_search(allowed->begin(), allowed->end(), region));
}

AllowedRegions allowedRegions(const RelayRequest& request, const RelayConfig* inForce)
{
    AllowedRegions allowed
        = intersectRegions(asAllowed(request.route->homes), workspaceRegions(*request.config, request.workspace));
    if (!inForce || inForce == request.config.get())
        return allowed;
    if (const RelayRoute* route = findSameRoute(*inForce, *request.route, *request.config))
        allowed = intersectRegions(allowed, asAllowed(route->homes));
    return intersectRegions(allowed, workspaceRegions(*inForce, request.workspace));
}

bool hasHomes(const RelayConfig& config)
{
    const auto isBound = [](const auto& row) { return !row.homes.empty(); };
    return std::any_of(config.routes.begin(), config.routes.end(), isBound)
        || std::any_of(config.workspaces.begin(), config.workspaces.end(), isBound);
}

const RegionId& regionOf(const std::map<DataCentreId, RegionId>& regions, const DataCentreId& dataCentre)
{
    static const RegionId unknown;
    const auto found = regions.find(dataCentre);
    return found == regions.end() ? unknown : found->second;
}

bool mayRunIn(const RelayState& state, const AllowedRegions& allowed, const DataCentreId& dataCentre)
{
    if (!state.evacuated.empty() && state.evacuated.contains(dataCentre))
        return false;
    return !allowed || allowsRegion(allowed, regionOf(state.options.regions, dataCentre));
}

bool awaitsOperatorsTable(const RelayState& state, Milliseconds now)
{
    return state.tableUnconfirmed && (state.options.evacuationsConfigured || state.homesInUse)
        && now - *state.resumedAt < operatorsTableWait;
}

ShutOut shutOutCause(const RelayState& state, const ServiceId& service, const AllowedRegions& allowed)
{
    if (!allowed && state.evacuated.empty())
        return ShutOut::None;
    ShutOut cause = ShutOut::None;
    for (const auto& [id, view] : state.upstreams) {
        if (!view.listed || view.entry.leaving || view.entry.service != service)
            continue;
        if (mayRunIn(state, allowed, view.entry.dataCentre))
            return ShutOut::None;
        if (allowsRegion(allowed, regionOf(state.options.regions, view.entry.dataCentre)))
            cause = ShutOut::Evacuation;
        else if (cause == ShutOut::None)
            cause = ShutOut::Homes;
    }
    return cause;
}

const char* shutOutReason(ShutOut cause)
{
    switch (cause) {
    case ShutOut::Homes:
        return "home-regions";
    case ShutOut::Evacuation:
        return "evacuated";
    case ShutOut::None:
        break;
    }
    return nullptr;
}

} // namespace hickory
