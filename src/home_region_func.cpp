#include "home_region_func.h"

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

    /// @return the route of another configuration that has the name of a route, or its host and prefix if it has none
    const RelayRoute* findSameRoute(const RelayConfig& config, const RelayRoute& route)
    {
        const auto found = std::find_if(config.routes.begin(), config.routes.end(), [&](const RelayRoute& other) {
            return other.name == route.name
                && (!route.name.empty() || (other.host == route.host && other.prefix == route.prefix));
        });
        return found == config.routes.end() ? nullptr : &*found;
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
    if (const RelayRoute* route = findSameRoute(*inForce, *request.route))
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

ShutOut shutOutCause(const RelayState& state, const ServiceId& service, const AllowedRegions& allowed)
{
    if (!allowed && state.evacuated.empty())
        return ShutOut::None;
    ShutOut cause = allowed ? ShutOut::Homes : ShutOut::None;
    for (const auto& [id, view] : state.upstreams) {
        if (!view.listed || view.entry.leaving || view.entry.service != service)
            continue;
        if (mayRunIn(state, allowed, view.entry.dataCentre))
            return ShutOut::None;
        if (allowsRegion(allowed, regionOf(state.options.regions, view.entry.dataCentre)))
            cause = ShutOut::Evacuation;
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
