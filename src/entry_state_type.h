#pragma once

#include "clock_type.h"
#include "config_state_type.h"
#include "control_state_type.h"
#include "id_type.h"
#include "member_state_type.h"
#include "placement_state_type.h"
#include "request_state_type.h"
#include "settings_type.h"

#include <random>

namespace hickory {

/// Complete state of an entry. Each part is changed only by the modules named with it.
struct EntryState {
    EntrySettings settings; ///< does not change after the start
    Milliseconds now { 0 }; ///< monotonic time of the event being applied
    Incarnation incarnation; ///< identifies this run of the process
    bool leaving { false }; ///< a graceful shutdown has begun
    Milliseconds leavingSince { 0 }; ///< start of the shutdown, meaningless unless leaving
    std::mt19937_64 random; ///< source of all random choices, seeded at the start
    ConfigState config; ///< changed by control_spread_cmd, when a configuration is adopted
    MemberState members; ///< changed by control_cmd
    /// Acceptance and distribution of configurations, operator calls. Changed by control_cmd, control_apply_cmd,
    /// control_spread_cmd and operator_cmd.
    ControlState control;
    /// Admission, routing, retries, crash suspicions. Changed by request_cmd and the other modules named request_*, by
    /// retry_cmd, route_room_cmd, suspect_cmd, upstream_view_cmd and upstream_view_health_cmd.
    RequestState requests;
    PlacementState placement; ///< changed by placement_cmd and placement_demand_cmd
};

} // namespace hickory
