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

/// Whole state of an agent's reducer. Each part is changed only by the functions named with it.
struct AgentState {
    AgentSettings settings; ///< fixed at start
    Milliseconds now { 0 }; ///< time of the event being reduced
    Incarnation incarnation; ///< life of this process
    bool leaving { false }; ///< a planned stop has begun
    Milliseconds leavingSince { 0 }; ///< when it began
    std::uint64_t statusSequence { 0 }; ///< sequence of the last status
    AgentStatus published; ///< status after the last event
    std::mt19937_64 random; ///< seeded at start
    ConfigState config; ///< changed by follow_cmd
    MemberState members; ///< changed by follow_cmd
    FollowState follow; ///< changed by follow_cmd
    SlotState slots; ///< changed by slot_cmd
    EngineState engine; ///< changed by engine_cmd, except `target` by weights_cmd
    WeightsState weights; ///< changed by weights_cmd
};

} // namespace hickory
