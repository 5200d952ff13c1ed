#pragma once

#include "id_type.h"
#include "relay_config_type.h"

#include <string>
#include <vector>

namespace hickory {

/// A host whose agent may give pieces of weights.
struct StagePeer {
    std::string ip; ///< of the host
    DataCentreId dataCentre; ///< data centre

    bool operator==(const StagePeer&) const = default;
};

/// What the agents of a service need to know of the fleet. Entries compute it, so that an agent neither asks the
/// store nor reads the operators' configuration.
struct FleetView {
    ModelId model; ///< that the service's engines serve, empty until known
    std::string originAddress; ///< "ip:port" of the origin of weights
    double originMbps { 0 }; ///< its link, 0 when not known
    WeightsVersion declared { 1 }; ///< newest declared weights of the model
    std::vector<StagePeer> hosts; ///< all hosts of the service, sorted by ip

    bool operator==(const FleetView&) const = default;
};

} // namespace hickory
