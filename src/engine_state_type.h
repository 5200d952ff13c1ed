#pragma once

#include "agent_event_type.h"
#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Model, version and options that an engine is to run.
struct EngineTarget {
    ServiceId service; ///< service that the engine is to serve
    ModelId model;
    ModelVersion version;
    ManifestDigest manifest; ///< manifest whose chunks are all verified and stored on this host
    std::string weightsDigest; ///< BLAKE2b-256 of all weight bytes, hex; must equal the digest that the engine reports
    std::vector<std::string> adapters; ///< adapters to load, in any order
    std::string role; ///< engine role, as in the configuration

    bool operator==(const EngineTarget&) const = default;
};

/// Progress of an engine towards its target.
enum class EnginePhase : std::uint8_t {
    Idle, ///< no target, or bringing it into service has not begun
    Draining, ///< waits for the running requests of the old version to end
    Loading, ///< a load order was sent and has not ended
    Verifying, ///< the load ended; waits until the engine reports the target
    Serving, ///< the engine reported the target
    Failed, ///< the load order failed; see EngineState::detail
};

/// Progress of acquiring and confirming the fencing number.
enum class FenceStep : std::uint8_t {
    Needed, ///< the fence row must be read before the next load order
    Reading, ///< a read of the fence row has not been answered
    Writing, ///< a write of the fence row has not been answered
    Held, ///< the fence row names this incarnation
    Superseded, ///< the fence row names a newer agent of this host
};

/// State of the operations on the row `fence/{host}`.
struct FenceProgress {
    FenceStep step { FenceStep::Needed };
    FencingNumber pendingNumber; ///< number in the last write; valid in step Writing
    std::uint64_t operation { 0 }; ///< number of the last store operation; answers with another number are ignored
    Milliseconds sentAt; ///< when the last store operation was sent
    Milliseconds retryAt; ///< earliest time of the next read
    std::uint32_t failures { 0 }; ///< store operations without an answer since the number was last confirmed
};

/// State of the engine or plain upstream of an agent. `target` is set by weights_cmd and rollout_cmd once the weights
/// are complete and a rollout permit is held. Fencing, i.e. `fence`, `fenceCurrent`, `fenceProgress` and `lastEventAt`,
/// is changed by engine_fence_cmd, everything else by engine_cmd.
struct EngineState {
    std::optional<EngineTarget> target; ///< what the engine is to run, empty when nothing
    std::optional<EngineTarget> serving; ///< what the engine reported after a load, empty when not verified
    EnginePhase phase { EnginePhase::Idle };
    std::string detail; ///< why the engine is not serving, for operators; empty while Serving
    FencingNumber fence; ///< fencing number of this agent, 0 before it has one
    bool fenceCurrent { false }; ///< `fence` was confirmed since the last pause longer than the lease
    UpstreamState upstream; ///< last state that the upstream reported
    std::uint32_t failures { 0 }; ///< requests that failed since `serving` was verified
    std::uint64_t order { 0 }; ///< number of the last load order, 0 before the first
    FenceProgress fenceProgress;
    std::optional<EngineTarget> ordered; ///< target of the last load order, empty before the first
    Milliseconds phaseSince; ///< when `phase` was entered
    Milliseconds nextOrderAt; ///< earliest time of the next load order
    std::uint32_t orderFailures { 0 }; ///< consecutive load orders that failed or were not verified
    bool restartedAfterFailure { false }; ///< the engine restarted since the last load order was sent
    bool upstreamStateCurrent { false }; ///< `upstream` is current: it was reported and no failure since contradicts it
    bool pollPending { false }; ///< a PollUpstream has not been answered
    Milliseconds pollSentAt; ///< when the last PollUpstream was sent
    Milliseconds upstreamStateAt; ///< when `upstream` was received
    Milliseconds lastEventAt {
        -1
    }; ///< time of the last event, -1 before the first; a gap shows a pause of the process
};

} // namespace hickory
