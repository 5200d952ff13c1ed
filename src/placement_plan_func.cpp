#include "placement_plan_func.h"

#include "digest_func.h"
#include "placement_row_func.h"

#include <algorithm>
#include <tuple>

namespace hickory {

namespace {

    struct Planner {
        std::map<HostId, const PlanHost*> usable; ///< every usable host
        std::map<ServiceId, std::vector<HostId>> plan; ///< hosts so far
        std::vector<const PlanHost*> free; ///< hosts of no row

        std::size_t inDataCentre(const ServiceId& service, const DataCentreId& dataCentre)
        {
            return static_cast<std::size_t>(std::count_if(this->plan[service].begin(), this->plan[service].end(),
                [&](const HostId& host) { return this->usable[host]->dataCentre == dataCentre; }));
        }

        /// Adds the best free host: one that holds the weights, then the place with the fewest replicas.
        bool add(const ServiceId& service)
        {
            const auto cost = [&](const PlanHost* host) {
                return std::tuple(host->holds != service, this->inDataCentre(service, host->dataCentre),
                    ~placementHash(service.value, host->host.value), host->host);
            };
            const auto best = std::min_element(this->free.begin(), this->free.end(),
                [&](const PlanHost* left, const PlanHost* right) { return cost(left) < cost(right); });
            if (best == this->free.end())
                return false;
            insertHost(this->plan[service], (*best)->host);
            this->free.erase(best);
            return true;
        }

        /// Releases the host whose loss costs least: no urgent work, little work, the fullest place.
        void release(const ServiceId& service)
        {
            std::vector<HostId>& hosts = this->plan[service];
            const auto cost = [&](const HostId& host) {
                const PlanHost* view = this->usable[host];
                return std::tuple(view->urgent, view->running, ~this->inDataCentre(service, view->dataCentre),
                    placementHash(service.value, host.value), host);
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
    std::map<HostId, ServiceId> claims;
    for (const PlanService& service : services) {
        planner.plan[service.service];
        for (const HostId& host : service.current)
            if (planner.usable.contains(host) && claims.emplace(host, service.service).second)
                insertHost(planner.plan[service.service], host);
    }
    for (const PlanHost& host : hosts)
        if (!claims.contains(host.host))
            planner.free.push_back(&host);
    for (const PlanService& service : services)
        while (planner.plan[service.service].size() < service.minimum && planner.add(service.service)) { }
    std::size_t missing = 0;
    for (const PlanService& service : services) {
        const std::size_t count = planner.plan[service.service].size();
        missing += service.minimum > count ? service.minimum - count : 0;
    }
    for (const PlanService& service : services) {
        std::vector<HostId>& mine = planner.plan[service.service];
        while (mine.size() > std::max(service.wanted, service.minimum))
            planner.release(service.service);
        for (; missing > 0 && mine.size() > service.minimum; --missing)
            planner.release(service.service);
    }
    for (const PlanService& service : services)
        while (missing == 0 && planner.plan[service.service].size() < service.wanted && planner.add(service.service)) {
        }
    return planner.plan;
}

} // namespace hickory
