#pragma once

#include "call_row_type.h"
#include "clock_type.h"
#include "dispatch_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace hickory {

/// Steps of a dispatch at an agent.
enum class DispatchPhase : std::uint8_t {
    Waiting, ///< admitted, no slot yet
    ClaimingRow, ///< holds a slot while its call row is moved to `started`
    Running, ///< given to the upstream
    Recording, ///< the upstream ended; the outcome is being written to the call row
    Releasing, ///< did not start or ended without an outcome; its call row is being moved accordingly
};

/// Why an agent cancelled a running dispatch.
enum class CancelCause : std::uint8_t {
    None, ///< it was not cancelled
    Caller, ///< its entry cancelled it
    Deadline, ///< its caller's deadline passed and the upstream goes on
    EntryLost, ///< the connection of its entry was lost
    Preempted, ///< more urgent work takes its slot
};

/// A store operation on a call row that is awaited or will be repeated.
struct CallRowOperation {
    std::string key; ///< key of the row
    RowVersion version; ///< version that the row must have for the next move
    std::uint64_t operation { 0 }; ///< number of the awaited operation, 0 when none
    std::uint64_t dispatchNumber { 0 }; ///< number in the row that shows which dispatch moved it
    bool reading { false }; ///< the awaited operation is a read that settles a lost answer
    Milliseconds sentAt; ///< when the awaited operation was sent
    Milliseconds retryAt; ///< earliest time of the next operation when none is awaited
    std::uint32_t failures { 0 }; ///< operations without an answer since the last one with an answer
};

/// One dispatch from its admission to its answer.
struct Dispatch {
    DispatchCall call; ///< as received
    DispatchPhase phase { DispatchPhase::Waiting }; ///< progress
    Milliseconds arrivedAt; ///< when it was received
    Milliseconds deadline; ///< when its caller gives up
    Milliseconds startedAt; ///< when it was given to the upstream
    bool firstPart { false }; ///< the upstream has produced a part
    bool abandoned { false }; ///< its entry cancelled it or is gone
    bool answered { false }; ///< Recording: the entry was answered at the deadline
    CancelCause cancel { CancelCause::None }; ///< why CancelUpstream was sent
    CallRowOperation row; ///< non-repeatable calls only
    DispatchResult result; ///< Recording and Releasing: answer to be sent afterwards
    std::string answer; ///< Recording: answer to be stored
    std::string contentType; ///< Recording: type of the answer
    bool answerTooLong { false }; ///< Recording: the answer exceeds what is recorded
};

/// A call row that must be moved because its attempt does not run: to `cancelled` when it never ran, to `started`
/// without an incarnation when its outcome will never be known.
struct RowRelease {
    CallRow row; ///< content to write
    CallRowOperation step; ///< progress
};

/// Shares of one rank, derived from the configuration.
struct RankShare {
    std::uint32_t reserved { 0 }; ///< whole slots of the floor
    double spareShare { 1.0 }; ///< share of the slots that are not reserved: rest of the floor and weight
    double floor { 0.0 }; ///< share of the waiting places that other ranks cannot take
    double finish { 0.0 }; ///< virtual finish time of the last start on a spare slot
};

/// Fair queueing over the workspaces of one rank.
struct RankFairness {
    double virtualTime { 0.0 }; ///< start time of the dispatch that started last
    std::map<WorkspaceId, double> finish; ///< finish time of a workspace's last start, if after virtualTime
};

/// Concurrency limit that follows the measured latency.
struct AdaptiveLimit {
    double value { 0.0 }; ///< limit in force before rounding, 0 before the first configuration
    double least { 1.0 }; ///< limit is never lower: one slot for each rank that has a floor
    double shortLatency { 0.0 }; ///< ms, follows the last few samples
    double longLatency { 0.0 }; ///< ms, follows the last few hundred samples
    std::uint32_t samples { 0 }; ///< samples since the upstream changed, saturating
    bool loaded { false }; ///< at least half the slots were in use at a sample since the last adaptation
    Milliseconds adaptedAt; ///< when the limit was last adapted
};

/// Slots, waiting dispatches and call rows at an agent.
struct SlotState {
    std::map<AttemptKey, Dispatch> dispatches; ///< all that are not answered yet
    std::deque<AttemptKey> waiting; ///< dispatches in phase Waiting in order of arrival
    std::deque<RowRelease> releases; ///< rows to be moved although their attempts do not run
    std::deque<AttemptKey> closed; ///< attempts that must never start any more, oldest first, bounded
    std::vector<RankShare> ranks; ///< by rank index
    std::vector<RankFairness> fairness; ///< by rank index
    std::map<WorkspaceId, double> workspaceWeights; ///< from the configuration
    ServiceId service; ///< service that the shares were derived for
    AdaptiveLimit limit; ///< concurrency limit
    std::uint32_t concurrency { 0 }; ///< slots of the service in the configuration, 0 when not configured
    double spareVirtualTime { 0.0 }; ///< virtual start time of the last start on a spare slot
    std::uint64_t lastOperation { 0 }; ///< number of the last store operation
    Milliseconds storeDownUntil; ///< until then only one call row is moved at a time
    Milliseconds notReadySince { -1 }; ///< when the upstream stopped being ready, -1 while it is ready
    Milliseconds leavingSince { -1 }; ///< when the agent began to leave, -1 before
};

} // namespace hickory
