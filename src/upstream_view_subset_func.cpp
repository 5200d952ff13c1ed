#include "upstream_view_subset_func.h"

#include "member_func.h"

#include <map>
#include <string>

namespace hickory {

std::vector<HostId> chooseSubset(std::string_view key, const std::vector<const Member*>& candidates, std::size_t size)
{
    std::vector<HostId> chosen;
    if (candidates.size() <= size) {
        for (const Member* member : candidates)
            chosen.push_back(member->host);
        return chosen;
    }
    std::map<DataCentreId, std::vector<HostId>> byDataCentre;
    for (const Member* member : candidates)
        byDataCentre[member->dataCentre].push_back(member->host);
    for (auto& [dataCentre, hosts] : byDataCentre)
        hosts = rendezvousOrder(key, std::move(hosts));
    for (std::size_t round = 0; chosen.size() < size; ++round)
        for (const auto& [dataCentre, hosts] : byDataCentre)
            if (round < hosts.size() && chosen.size() < size)
                chosen.push_back(hosts[round]);
    return chosen;
}

} // namespace hickory
