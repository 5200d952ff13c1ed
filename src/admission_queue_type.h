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

/// A request that waits in a fair queue.
struct QueuedItem {
    RequestId request; ///< the request
    std::uint64_t tokens { 0 }; ///< its cost
    bool charged { false }; ///< its cost was charged when it left the queue before
};

/// The waiting requests of one workspace in one queue.
struct Flow {
    double weight { 1.0 }; ///< share relative to the other flows
    double tag { 0 }; ///< virtual time at which its next request starts
    bool fresh { true }; ///< nothing of it was taken since it began to wait
    std::uint64_t tokens { 0 }; ///< cost of its waiting requests
    std::map<std::uint64_t, QueuedItem> items; ///< by order of arrival
};

/// Queue of one rank of one service: start-time fair queueing over workspaces, cost in tokens. Every operation costs
/// at most the logarithm of the number of flows and of waiting requests.
struct FairQueue {
    double virtualTime { 0 }; ///< tag of the flow that was served last
    std::unordered_map<WorkspaceId, Flow> flows; ///< flows that wait, or were served ahead of virtual time
    std::set<std::tuple<double, std::uint64_t, WorkspaceId>> order; ///< waiting flows by tag, then arrival
    std::set<std::pair<std::uint64_t, WorkspaceId>> bySize; ///< waiting flows by tokens
    std::size_t queued { 0 }; ///< requests that wait
    std::uint64_t tokens { 0 }; ///< cost of all waiting requests
    std::uint64_t freshTokens { 0 }; ///< cost of the first requests of fresh flows
    double activeWeight { 0 }; ///< sum of the weights of the waiting flows
};

} // namespace hickory
