#pragma once

#include "relay_state_type.h"

#include <map>

namespace hickory {

/// @return the regions in which both lists allow a request
AllowedRegions intersectRegions(const AllowedRegions& left, const AllowedRegions& right);

/// @return whether a region exists in which both lists allow a request
bool overlaps(const AllowedRegions& left, const AllowedRegions& right);

/// @return whether every region of the inner list is one of the outer list
bool includesRegions(const AllowedRegions& outer, const AllowedRegions& inner);

/// @return whether a region is in the list. No region but an empty list of restrictions includes the unknown region.
bool allowsRegion(const AllowedRegions& allowed, const RegionId& region);

/// Combines the homes of a request's route and workspace. Those of the configuration at its arrival and of the one now
/// in force bind, as far as the latter still has the route and the workspace.
/// @param inForce newest configuration; may be null or the one at arrival
/// @pre the request has a route
AllowedRegions allowedRegions(const RelayRequest& request, const RelayConfig* inForce);

/// @return whether a route or a workspace of a configuration has homes
bool hasHomes(const RelayConfig& config);

/// @return region of a data centre; empty when the settings do not name it, then it is in no home
const RegionId& regionOf(const std::map<DataCentreId, RegionId>& regions, const DataCentreId& dataCentre);

/// The hard limit on where a request runs.
/// @return whether a data centre is in the homes of a request and is not evacuated
bool mayRunIn(const RelayState& state, const AllowedRegions& allowed, const DataCentreId& dataCentre);

/// Whether evacuations and homes may have changed unnoticed while this process stood still, so that nothing may be
/// sent. False where operators of the deployment restrict nothing, and after the longest wait for a confirmation.
bool awaitsOperatorsTable(const RelayState& state, Milliseconds now);

/// Why no listed upstream of a request's service may run it, whatever its load and health.
enum class ShutOut : std::uint8_t {
    None, ///< one may run it, or none is listed at all
    Homes, ///< none is in the homes of the request
    Evacuation, ///< those in its homes are in evacuated data centres
};

/// @return why neither load nor health but homes and evacuations keep a request from all upstreams
ShutOut shutOutCause(const RelayState& state, const ServiceId& service, const AllowedRegions& allowed);

/// @return the reason that callers and the log are told, or nullptr for ShutOut::None
const char* shutOutReason(ShutOut cause);

} // namespace hickory
