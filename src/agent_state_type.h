#pragma once

#include "clock_type.h"
#include "config_state_type.h"
#include "engine_state_type.h"
#include "follow_state_type.h"
#include "id_type.h"
#include "member_state_type.h"
#include "settings_type.h"
#include "slot_state_type.h"
#include "weights_state_type.h"

#include <cstdint>
#include <random>

namespace hickory {

/// Complete state of an agent. Each part is changed only by the modules named with it.
struct AgentState {
    AgentSettings settings; ///< does not change after the start
    Milliseconds now { 0 }; ///< monotonic time of the event being applied
    Incarnation incarnation; ///< identifies this run of the process
    bool leaving { false }; ///< a graceful shutdown has begun; also set by engine_fence_cmd for a superseded agent
    Milliseconds leavingSince { 0 }; ///< start of the shutdown, meaningless unless leaving
    std::uint64_t statusSequence { 0 }; ///< sequence number of the last published status, 0 before the first
    AgentStatus published; ///< last published status
    std::mt19937_64 random; ///< source of all random choices, seeded at the start
    ConfigState config; ///< changed by follow_cmd
    MemberState members; ///< changed by follow_cmd
    FollowState follow; ///< changed by follow_cmd
    SlotState slots; ///< changed by slot_cmd, slot_dispatch_cmd, slot_limit_cmd and call_row_cmd
    EngineState engine; ///< changed by engine_cmd and engine_fence_cmd; `target` by weights_cmd and rollout_cmd
    WeightsState weights; ///< changed by weights_cmd, the other modules named weights_* and rollout_cmd
};

} // namespace hickory
