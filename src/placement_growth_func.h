#pragma once

#include "clock_type.h"
#include "placement_state_type.h"
#include "settings_type.h"

#include <cstdint>

namespace hickory {

/// What is known of a service's load when its growth is decided.
struct ServiceLoad {
    std::uint32_t replicas { 0 }; ///< hosts of its row
    std::uint32_t ready { 0 }; ///< hosts of its row that are ready
    std::uint32_t concurrency { 1 }; ///< slots of each replica
    std::uint32_t running { 0 }; ///< requests in slots at its agents
    std::uint32_t queued { 0 }; ///< requests that wait at its agents
    std::uint64_t demandTokens { 0 }; ///< queued and running tokens of all entries
    std::uint32_t minimum { 1 }; ///< never below
    std::uint32_t maximum { 1 }; ///< never above
    bool wantedElsewhere { false }; ///< another service waits for a host and none is free
};

/// Decides how many replicas a service shall have.
/// @param growth state of the service, changed
/// @return wanted replicas, between minimum and maximum
std::uint32_t decideGrowth(GrowthState& growth, GrowthPolicy policy, const ServiceLoad& load, Milliseconds now);

} // namespace hickory
