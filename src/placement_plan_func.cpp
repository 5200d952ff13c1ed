#include "placement_plan_func.h"

#include "digest_func.h"
#include "placement_row_func.h"

#include <algorithm>
#include <tuple>

namespace hickory {

namespace {

    /// A plan in progress.
    struct Planner {
        std::map<HostId, const PlanHost*> usable; ///< engine hosts that can be assigned, by id
        std::map<ServiceId, std::vector<HostId>> plan; ///< hosts assigned so far, sorted, by service
        std::vector<const PlanHost*> freeHosts; ///< usable hosts that no row names

        std::size_t replicasInDataCentre(const ServiceId& service, const DataCentreId& dataCentre)
        {
            return static_cast<std::size_t>(std::count_if(this->plan[service].begin(), this->plan[service].end(),
                [&](const HostId& host) { return this->usable[host]->dataCentre == dataCentre; }));
        }

        /// Assigns the best free host: one that has the service's weights, then one in the data centre with the fewest
        /// replicas.
        /// @return false when no host is free
        bool addBestHost(const ServiceId& service)
        {
            const auto cost = [&](const PlanHost* host) {
                return std::tuple(host->weightsService != service,
                    this->replicasInDataCentre(service, host->dataCentre), ~stableHash(service.value, host->host.value),
                    host->host);
            };
            const auto best = std::min_element(this->freeHosts.begin(), this->freeHosts.end(),
                [&](const PlanHost* left, const PlanHost* right) { return cost(left) < cost(right); });
            if (best == this->freeHosts.end())
                return false;
            insertHost(this->plan[service], (*best)->host);
            this->freeHosts.erase(best);
            return true;
        }

        /// Releases the host that costs least to lose: fewest urgent requests, then fewest running requests, then the
        /// data centre with the most replicas.
        void releaseCheapestHost(const ServiceId& service)
        {
            std::vector<HostId>& hosts = this->plan[service];
            const auto cost = [&](const HostId& host) {
                const PlanHost* view = this->usable[host];
                return std::tuple(view->urgent, view->running, ~this->replicasInDataCentre(service, view->dataCentre),
                    stableHash(service.value, host.value), host);
            };
            const auto best = std::min_element(hosts.begin(), hosts.end(),
                [&](const HostId& left, const HostId& right) { return cost(left) < cost(right); });
            if (best != hosts.end())
                hosts.erase(best);
        }
    };

} // namespace

std::map<ServiceId, std::vector<HostId>> planPlacement(
    const std::vector<PlanService>& services, const std::vector<PlanHost>& hosts)
{
    Planner planner;
    for (const PlanHost& host : hosts)
        planner.usable.emplace(host.host, &host);
    std::map<HostId, ServiceId> owners;
    for (const PlanService& service : services) {
        planner.plan[service.service];
        for (const HostId& host : service.current)
            if (planner.usable.contains(host) && owners.emplace(host, service.service).second)
                insertHost(planner.plan[service.service], host);
    }
    for (const PlanHost& host : hosts)
        if (!owners.contains(host.host))
            planner.freeHosts.push_back(&host);
    for (const PlanService& service : services)
        while (planner.plan[service.service].size() < service.minimum && planner.addBestHost(service.service)) { }
    std::size_t shortfall = 0;
    for (const PlanService& service : services) {
        const std::size_t count = planner.plan[service.service].size();
        shortfall += service.minimum > count ? service.minimum - count : 0;
    }
    for (const PlanService& service : services) {
        std::vector<HostId>& assigned = planner.plan[service.service];
        while (assigned.size() > std::max(service.wanted, service.minimum))
            planner.releaseCheapestHost(service.service);
        for (; shortfall > 0 && assigned.size() > service.minimum; --shortfall)
            planner.releaseCheapestHost(service.service);
    }
    for (const PlanService& service : services)
        while (shortfall == 0 && planner.plan[service.service].size() < service.wanted
            && planner.addBestHost(service.service)) { }
    return planner.plan;
}

} // namespace hickory
