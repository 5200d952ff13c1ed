#pragma once

#include "call_pool_io.h"
#include "fleet_view_type.h"
#include "relay_state_type.h"

#include <optional>
#include <string>

namespace hickory {

constexpr const char* fleetViewPath = "/v1/peer/fleet"; ///< path of agents' requests on an entry's control address

/// Computes the fleet view for the agents of a service.
/// @param state an entry's state
/// @param service service of the requesting agent
/// @return the view, or nothing while the entry has no configuration
std::optional<FleetView> makeFleetView(const RelayState& state, const ServiceId& service);

/// @return latest moment at which the view's declared weights are known not to have been declared yet, empty when they
/// may have been declared long ago
std::optional<Milliseconds> declaredNotBefore(const RelayState& state, const FleetView& view);

/// An agent's request for the fleet view of its service.
struct FleetViewRequest {
    ServiceId service; ///< service of the agent's engine
    std::uint64_t stamp { 0 }; ///< FleetViewResponse::stamp of the view that the agent holds, 0 when it holds none
};

/// @return path and query string of a request
std::string fleetViewRequestTarget(const FleetViewRequest& request);
/// @param target path and query string of a request
/// @return the request; its stamp is 0 when the query names none
FleetViewRequest decodeFleetViewRequest(const std::string& target);

/// @param view the entry's current view
/// @param unseenFor time since declaredNotBefore(), empty when that is unknown; no part of what is stamped
/// @param stamp the request's stamp
/// @return JSON with the stamp of `view` and `unseenFor`, and with `view` itself only when the two stamps differ
std::string encodeFleetView(const FleetView& view, std::optional<Milliseconds> unseenFor, std::uint64_t stamp);

/// An entry's answer to a FleetViewRequest.
struct FleetViewResponse {
    std::uint64_t stamp { 0 }; ///< hash of the current view's content
    std::optional<FleetView> view; ///< empty when the request's stamp is still current
    std::optional<Milliseconds> declaredNotBefore; ///< of the current view, on the agent's clock; empty when unknown
};

/// @param sentAt when the request was sent; the answer's age is subtracted from it, so that the moment is never too
/// late
/// @return the decoded answer; the fetch's own error, Unavailable for a status other than 200, or Protocol for a
/// malformed body
Result<FleetViewResponse> decodeFleetViewResponse(const Result<FetchResponse>& answer, Milliseconds sentAt);

} // namespace hickory
