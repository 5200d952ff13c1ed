#pragma once

#include "id_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hickory {

/// An engine host that can be assigned to a service.
struct PlanHost {
    HostId host;
    DataCentreId dataCentre; ///< replicas of a service are spread over data centres
    ServiceId weightsService; ///< service whose weights the host has or fetches, empty when none or not known
    std::uint32_t urgent { 0 }; ///< running and queued requests of the most urgent rank
    std::uint32_t running { 0 }; ///< running requests of all ranks
};

/// A service's requirements.
struct PlanService {
    ServiceId service;
    std::uint32_t minimum { 1 }; ///< configured least number of replicas
    std::uint32_t wanted { 1 }; ///< replicas that demand calls for, between the configured minimum and maximum
    std::vector<HostId> current; ///< hosts of the current placement row, sorted
};

/// Assigns engine hosts to services. Assigned hosts stay with their service as far as possible: a host is released only
/// when its service wants fewer replicas or another service is below its minimum, and never so that its own service
/// falls below its minimum. A released host becomes free in the next plan only, so that each service's own proposer
/// decides which host it loses.
/// @param services in configuration order; a host named in two rows belongs to the first of them
/// @param hosts usable engine hosts
/// @return sorted hosts of each service
std::map<ServiceId, std::vector<HostId>> planPlacement(
    const std::vector<PlanService>& services, const std::vector<PlanHost>& hosts);

} // namespace hickory
