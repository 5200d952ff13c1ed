#pragma once

#include "clock_type.h"
#include "placement_state_type.h"
#include "settings_type.h"

#include <cstdint>

namespace hickory {

/// A service's load and limits, as used to decide its number of replicas.
struct ServiceLoad {
    std::uint32_t replicas { 0 }; ///< hosts in its placement row
    std::uint32_t ready { 0 }; ///< hosts in its placement row whose engine is ready
    std::uint32_t concurrency { 1 }; ///< slots (concurrent requests) of each replica
    std::uint32_t running { 0 }; ///< requests that occupy slots, as reported by its agents
    std::uint32_t queued { 0 }; ///< requests queued at its agents
    std::uint64_t demandTokens { 0 }; ///< tokens of queued and running requests, summed over all entries
    std::uint32_t minimum { 1 }; ///< configured least number of replicas
    std::uint32_t maximum { 1 }; ///< configured greatest number of replicas, at least `minimum`
    bool hostsContended { false }; ///< another service waits for a host and none is free: idle ones are released sooner
};

/// Decides how many replicas a service needs.
/// @param growth the service's state from the previous decision, updated
/// @param policy how fast the number of replicas rises under load
/// @param now time of the event being reduced
/// @return wanted replicas, between minimum and maximum
std::uint32_t decideGrowth(GrowthState& growth, GrowthPolicy policy, const ServiceLoad& load, Milliseconds now);

} // namespace hickory
