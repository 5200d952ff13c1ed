#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace hickory {

/// A request in a fair queue.
struct QueuedItem {
    RequestId request; ///< key of RequestState::requests
    std::uint64_t tokens { 0 }; ///< estimated cost, 0 when unknown
    bool charged { false }; ///< its cost was charged by an earlier dispatch; it is not charged again
};

/// The queued requests of one workspace in one queue.
struct Flow {
    double weight { 1.0 }; ///< share relative to the other flows, > 0
    double startTag { 0 }; ///< virtual start time of its next request
    /// Not served since it became backlogged, and at that time its start tag did not exceed FairQueue::virtualTime.
    bool newlyBacklogged { true };
    std::uint64_t tokens { 0 }; ///< total cost of its queued requests
    std::map<std::uint64_t, QueuedItem> items; ///< by sequence number of the arrival
};

/// Queue of one rank of one service: start-time fair queueing (SFQ) over workspaces, with the cost of a request in
/// tokens. Every operation takes amortised logarithmic time in the number of flows and of queued requests; the one that
/// empties the queue also removes the idle flows, in linear time.
struct FairQueue {
    double virtualTime { 0 }; ///< highest start tag of the requests served since the queue was last empty
    std::unordered_map<WorkspaceId, Flow> flows; ///< backlogged flows, and idle ones with their last start tag
    std::set<std::tuple<double, std::uint64_t, WorkspaceId>> byStartTag; ///< backlogged flows by tag, then arrival
    std::set<std::pair<std::uint64_t, WorkspaceId>> byTokens; ///< backlogged flows by total cost
    std::size_t queued { 0 }; ///< queued requests over all flows
    std::uint64_t tokens { 0 }; ///< total cost of the queued requests
    std::uint64_t newlyBackloggedTokens { 0 }; ///< cost of the first requests of the newly backlogged flows
    double backloggedWeight { 0 }; ///< sum of the weights of the backlogged flows
};

} // namespace hickory
