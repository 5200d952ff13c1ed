#pragma once

#include "id_type.h"
#include "relay_config_type.h"

#include <string>
#include <vector>

namespace hickory {

/// A host whose agent may serve pieces of weights to other agents.
struct WeightsPeer {
    std::string ip; ///< address without a port
    DataCentreId dataCentre; ///< data centre of the host

    bool operator==(const WeightsPeer&) const = default;
};

/// The part of the configuration and the membership that the agents of a service need. Entries compute it, so that
/// agents neither query the store nor parse the operators' configuration.
struct FleetView {
    ModelId model; ///< model that the service's engines serve, empty when the configuration names none
    std::string originAddress; ///< "ip:port" of the origin of weights
    double originMbps { 0 }; ///< bandwidth of the origin's link in Mbit/s, 0 when not configured
    WeightsVersion declared { 1 }; ///< newest declared weights of the model
    std::vector<WeightsPeer> hosts; ///< listed upstream hosts of the service, sorted by ip

    bool operator==(const FleetView&) const = default;
};

} // namespace hickory
