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

/// Steps of holding the fencing number.
enum class FenceStep : std::uint8_t {
    Needed, ///< the row must be read before the next order
    Reading, ///< a read of the row is awaited
    Writing, ///< a write of the row is awaited
    Held, ///< the row names this incarnation
    Superseded, ///< the row names a newer agent of this host
};

/// Progress with row `fence/{host}`.
struct FenceProgress {
    FenceStep step { FenceStep::Needed }; ///< where it stands
    FencingNumber wanted; ///< number in the awaited write
    std::uint64_t operation { 0 }; ///< number of the last store operation
    Milliseconds sentAt; ///< when the awaited operation was sent
    Milliseconds retryAt; ///< earliest time of the next read
    std::uint32_t failures { 0 }; ///< operations without an answer since the last one with an answer
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
    FenceProgress fenceProgress; ///< how the number is taken and checked
    std::optional<EngineTarget> ordered; ///< target of the last order, empty when it must be ordered again
    Milliseconds phaseSince; ///< when the phase was entered
    Milliseconds orderAt; ///< earliest time of the next order
    std::uint32_t orderFailures { 0 }; ///< orders that failed or were not verified, since the last verified one
    bool retryFailed { false }; ///< the engine restarted since the last failed order
    bool upstreamKnown { false }; ///< `upstream` is an answer of the upstream and no failure contradicts it
    bool pollPending { false }; ///< an answer to PollUpstream is awaited
    Milliseconds pollSentAt; ///< when the last PollUpstream was sent
    Milliseconds stateAt; ///< when `upstream` was received
    Milliseconds lastEventAt { -1 }; ///< time of the last event seen here; a gap shows a pause of the process
};

} // namespace hickory
