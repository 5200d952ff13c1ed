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

/// Whole state of an entry's reducer. Each part is changed only by the functions named with it.
struct EntryState {
    EntrySettings settings; ///< fixed at start
    Milliseconds now { 0 }; ///< time of the event being reduced
    Incarnation incarnation; ///< life of this process
    bool leaving { false }; ///< a planned stop has begun
    Milliseconds leavingSince { 0 }; ///< when it began
    std::mt19937_64 random; ///< seeded at start
    ConfigState config; ///< changed by control_cmd
    MemberState members; ///< changed by control_cmd
    ControlState control; ///< changed by control_cmd: acceptance, spreading, operator calls
    RequestState requests; ///< changed by request_cmd: admission, routing, retries, suspects
    PlacementState placement; ///< changed by placement_cmd
};

} // namespace hickory
