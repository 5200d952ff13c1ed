#pragma once

#include "id_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hickory {

/// An engine host that may be given to a service.
struct PlanHost {
    HostId host; ///< the host
    DataCentreId dataCentre; ///< its data centre
    ServiceId holds; ///< service whose version it holds or fetches, empty when none
    std::uint32_t urgent { 0 }; ///< requests of the most urgent rank that it runs
    std::uint32_t running { 0 }; ///< requests that it runs
};

/// What a service asks for.
struct PlanService {
    ServiceId service; ///< the service
    std::uint32_t minimum { 1 }; ///< never below
    std::uint32_t wanted { 1 }; ///< replicas asked for, between minimum and the maximum
    std::vector<HostId> current; ///< hosts of the row in force, sorted
};

/// Assigns engine hosts to services. Hosts in service stay where they are as far as possible; a host is taken from a
/// service only when it asks for fewer or another service is below its minimum, and never below its own minimum. A
/// host that is released is free in the next plan only, so that a service's own proposer decides which host goes.
/// @param services in the order of the text; a host that two rows name belongs to the first
/// @param hosts usable engine hosts
/// @return sorted hosts of each service
std::map<ServiceId, std::vector<HostId>> planPlacement(
    const std::vector<PlanService>& services, const std::vector<PlanHost>& hosts);

} // namespace hickory
