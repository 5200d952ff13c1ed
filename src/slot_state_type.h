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

/// Phase of a dispatch at an agent.
enum class DispatchPhase : std::uint8_t {
    Waiting, ///< admitted, waits for a slot
    ClaimingRow, ///< holds a slot while its call row is being changed to `started`
    Running, ///< holds a slot and runs at the upstream
    Recording, ///< ended at the upstream; the outcome is being written to the call row
    Releasing, ///< did not start, or ended without a known outcome; its call row is being updated
};

/// Reason why an agent cancelled a running dispatch.
enum class CancelCause : std::uint8_t {
    None, ///< not cancelled
    Caller, ///< cancelled by its entry, e.g. because the caller disconnected
    Deadline, ///< its deadline passed while it was running
    EntryLost, ///< the connection of its entry was lost
    Preempted, ///< its slot is needed by a more urgent rank
};

/// Progress of the store operations on one call row. At most one is pending at a time.
struct CallRowOperation {
    std::string key; ///< store key of the row
    RowVersion version; ///< expected version of the next compare-and-set
    std::uint64_t operation { 0 }; ///< number of the pending operation, 0 when none is pending
    std::uint64_t dispatchNumber { 0 }; ///< number written to the row; tells dispatches of the same attempt apart
    bool reading { false }; ///< the pending operation is a read, which resolves a write with unknown result
    Milliseconds sentAt; ///< when the last operation was sent
    Milliseconds retryAt; ///< earliest time of the next operation when none is pending
    std::uint32_t failures { 0 }; ///< consecutive operations without an answer; sets the backoff
};

/// One dispatch from its arrival until its result was sent and its call row is settled.
struct Dispatch {
    DispatchCall call; ///< metadata as received
    std::uint64_t connection { 0 }; ///< number of the connection that it came over
    DispatchPhase phase { DispatchPhase::Waiting };
    Milliseconds arrivedAt; ///< when it was received
    Milliseconds deadline; ///< arrival time plus the timeout of the call
    Milliseconds startedAt; ///< when it was started at the upstream
    bool firstPart { false }; ///< the upstream has sent the first part of the response
    bool abandoned { false }; ///< its entry cancelled it or disconnected
    bool answered { false }; ///< a result was sent, in phase Recording before the outcome is stored
    CancelCause cancel { CancelCause::None }; ///< why CancelUpstream was sent, None while it was not
    CallRowOperation row; ///< operations on its call row, unused for repeatable calls
    DispatchResult result; ///< phases Recording and Releasing: result to send when the row is settled
    std::string answer; ///< phase Recording: response body to store
    std::string contentType; ///< phase Recording: content type of the response
    bool answerTooLong { false }; ///< phase Recording: the response exceeds the size limit, only the outcome is stored
};

/// A call row to be updated because its attempt isn't running: to `cancelled` when it never ran, to `started` without
/// an incarnation when its outcome will never be known.
struct RowRelease {
    CallRow row; ///< new content of the row
    CallRowOperation step; ///< progress of the store operations that write `row`, with their retries
};

/// Shares of one rank, derived from the configuration.
struct RankShare {
    std::uint32_t reservedSlots { 0 }; ///< slots guaranteed by the floor, rounded down
    double spareWeight { 1.0 }; ///< weight for unreserved slots: rounded-off part of the floor plus a share of the rest
    double floor { 0.0 }; ///< configured floor: share of the slots and of the queue that other ranks can't take
    double finishTime { 0.0 }; ///< virtual finish time of the last dispatch started on a spare slot
};

/// Fair queueing over the workspaces of one rank.
struct RankFairness {
    double virtualTime { 0.0 }; ///< virtual start time of the last started dispatch
    std::map<WorkspaceId, double> finishTime; ///< virtual finish times of the last starts, if ahead of virtualTime
};

/// Concurrency limit that adapts to the measured latency.
struct AdaptiveLimit {
    double value { 0.0 }; ///< limit before rounding, slots; 0 before the first configuration
    double minimum { 1.0 }; ///< lower bound of the limit: one slot for each rank that has a floor
    double shortTermLatency { 0.0 }; ///< smoothed time to the first part over the last few samples, ms
    double longTermLatency { 0.0 }; ///< smoothed time to the first part over the last few hundred samples, ms
    std::uint32_t samples { 0 }; ///< number of samples since the last reset, saturating
    bool underLoad { false }; ///< at least half of the slots were in use at some sample since the last adaptation
    Milliseconds adaptedAt; ///< when the limit was last adapted
};

/// Concurrency slots of an agent: dispatches, their call rows and the shares of ranks and workspaces.
struct SlotState {
    std::map<AttemptKey, Dispatch> dispatches; ///< all dispatches that have not ended
    std::deque<AttemptKey> waiting; ///< dispatches in phase Waiting, in order of arrival
    std::deque<RowRelease> releases; ///< call rows to be updated for attempts that aren't running
    std::deque<AttemptKey> closedAttempts; ///< attempts that must not start any more, oldest first, bounded
    std::vector<RankShare> ranks; ///< shares by rank index, at least one after the first configuration
    std::vector<RankFairness> fairness; ///< fair queueing state by rank index
    std::map<WorkspaceId, double> workspaceWeights; ///< weights of the configured workspaces, > 0; 1 for any other
    ServiceId service; ///< service that the shares were derived for, empty when it is not configured
    AdaptiveLimit limit; ///< adaptive part of the concurrency limit
    std::uint32_t concurrency { 0 }; ///< configured slots of the service, 0 when it is not configured
    double spareVirtualTime { 0.0 }; ///< virtual start time of the last dispatch started on a spare slot
    std::uint64_t lastOperation { 0 }; ///< number of the last store operation on a call row
    Milliseconds storeDownUntil; ///< until then the store counts as unavailable and one call row is tried at a time
    Milliseconds notReadySince { -1 }; ///< when the upstream stopped being ready, -1 while it is ready
    Milliseconds leavingSince { -1 }; ///< when the first tick saw the agent leaving, -1 before
};

} // namespace hickory
