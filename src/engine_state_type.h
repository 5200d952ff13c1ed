#pragma once

#include "agent_event_type.h"
#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// What an engine shall run.
struct EngineTarget {
    ServiceId service; ///< service it shall serve
    ModelId model; ///< model name
    ModelVersion version; ///< version
    ManifestDigest manifest; ///< manifest whose chunks are all verified and stored
    std::string weightsDigest; ///< digest of all bytes, compared with what the engine reports
    std::vector<std::string> adapters; ///< adapters to load
    std::string role; ///< engine role

    bool operator==(const EngineTarget&) const = default;
};

/// Steps of bringing a target into service.
enum class EnginePhase : std::uint8_t {
    Idle, ///< nothing loaded, or nothing to do
    Draining, ///< waits for running requests of the old version
    Loading, ///< an order is out
    Verifying, ///< waits until the engine reports the target
    Serving, ///< the verified target is in service
    Failed, ///< the order failed; see detail
};

/// The engine behind an agent. `target` is set by weights_cmd when the weights are complete and a permit is held;
/// everything else is changed by engine_cmd.
struct EngineState {
    std::optional<EngineTarget> target; ///< what shall run
    std::optional<EngineTarget> serving; ///< what runs and was verified
    EnginePhase phase { EnginePhase::Idle }; ///< progress towards target
    std::string detail; ///< why phase is Failed, or why the upstream is not ready
    FencingNumber fence; ///< this agent's number, 0 before it has one
    bool fenceCurrent { false }; ///< the number was confirmed since the last pause longer than the lease
    UpstreamState upstream; ///< last state the upstream reported
    std::uint32_t failures { 0 }; ///< requests failed since `serving` became ready
    std::uint64_t order { 0 }; ///< number of the last OrderLoad
};

} // namespace hickory
