#include "lookup_home_func.h"

#include "home_region_func.h"
#include "query_func.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace hickory {

namespace {

    /// @return regions of the homes of a host's routes; empty if one of its routes has none, or it has no route
    std::set<RegionId> homesOfHost(const RelayConfig& config, const std::string& host)
    {
        std::string name = host.substr(0, host.find_first_of(":%"));
        std::transform(
            name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        std::set<RegionId> homes;
        for (const RelayRoute& route : config.routes) {
            if (route.host != name)
                continue;
            if (route.homes.empty())
                return {};
            homes.insert(route.homes.begin(), route.homes.end());
        }
        return homes;
    }

} // namespace

LookupQuery decodeLookupQuery(const std::string& target)
{
    return { .host = queryValue(target, "name"),
        .region = { queryValue(target, "region") },
        .dataCentre = { queryValue(target, "zone") } };
}

std::vector<LookupEntry> chooseLookupEntries(const RelayConfig* config, const std::map<DataCentreId, RegionId>& regions,
    const LookupQuery& query, const std::vector<LookupEntry>& entries)
{
    std::set<RegionId> wanted = config ? homesOfHost(*config, query.host) : std::set<RegionId> {};
    if (wanted.empty())
        return entries;
    wanted.insert(query.region.empty() ? regionOf(regions, query.dataCentre) : query.region);
    wanted.erase(RegionId {}); // entries of an unknown region are in no home
    std::vector<LookupEntry> chosen;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(chosen),
        [&](const LookupEntry& entry) { return wanted.contains(regionOf(regions, entry.dataCentre)); });
    return chosen.empty() ? entries : chosen;
}

} // namespace hickory
