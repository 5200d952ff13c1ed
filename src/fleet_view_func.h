#pragma once

#include "call_pool_io.h"
#include "fleet_view_type.h"
#include "relay_state_type.h"

#include <optional>
#include <string>

namespace hickory {

constexpr const char* fleetViewPath = "/v1/peer/fleet"; ///< asked by agents on an entry's control address

/// @param state of an entry
/// @param service that asks
/// @return what the entry knows, or nothing without a configuration
std::optional<FleetView> makeFleetView(const RelayState& state, const ServiceId& service);

/// What an agent asks an entry.
struct FleetQuestion {
    ServiceId service; ///< of its engine
    std::uint64_t stamp { 0 }; ///< of the view that it has, 0 for none
};

/// @return path and query of the question
std::string fleetQuestionTarget(const FleetQuestion& question);
/// @return the question in a path and query; the stamp is 0 when it is missing
FleetQuestion decodeFleetQuestion(const std::string& target);

/// @param stamp of the view that the agent has
/// @return JSON with a stamp, and the view when the agent's stamp differs
std::string encodeFleetView(const FleetView& view, std::uint64_t stamp);

/// An entry's answer to an agent.
struct FleetAnswer {
    std::uint64_t stamp { 0 }; ///< of the view
    std::optional<FleetView> view; ///< empty when the agent has it
};

/// @return the answer, or Protocol when it is not one
Result<FleetAnswer> decodeFleetAnswer(const Result<FetchAnswer>& answer);

} // namespace hickory
