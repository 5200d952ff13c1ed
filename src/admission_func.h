#pragma once

#include "entry_state_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace hickory {

/// Why a request is refused before it was given to any upstream.
struct Refusal {
    std::uint16_t status { 503 }; ///< HTTP status
    std::string reason; ///< short machine-readable reason
    Milliseconds retryAfter { 0 }; ///< 0 when sending it again does not help
};

/// Brings a path into the form in which an upstream may understand it: percent-decoded, without query, empty and dot
/// segments, so that no spelling of a path evades a rule for it.
/// @param path path below the service
/// @return normalised path, starts with "/"
std::string normalisePath(std::string_view path);

/// @param service configuration of the service
/// @param path path below the service
/// @return true when a call may run at most once and needs an Idempotency-Key
bool runsAtMostOnce(const ServiceConfig& service, std::string_view path);

/// Checks service, rank, workspace, key and quarantine.
/// @return the refusal, or nothing when the request may be considered
std::optional<Refusal> checkRequest(const EntryState& state, const RequestArrived& call);

/// Estimates how long a request would wait at this entry before it is dispatched.
/// @param state entry
/// @param pool its service
/// @param rank its rank
/// @param workspace its workspace
/// @return estimated wait, 0 when nothing was measured yet
Milliseconds expectedWait(
    const EntryState& state, const ServicePool& pool, RankIndex rank, const WorkspaceId& workspace);

/// Checks bounds, rank target and deadline of a request that cannot be dispatched at once.
/// @return the refusal, or nothing when the request may wait
std::optional<Refusal> checkQueueing(const EntryState& state, const ServicePool& pool, const Request& request);

/// @return index of the queue of a rank under the queue policy
std::size_t queueIndex(const EntryState& state, RankIndex rank);

/// @return flow of a workspace under the queue policy
WorkspaceId flowKey(const EntryState& state, const WorkspaceId& workspace);

/// @return weight of a workspace's flow under the queue policy
double flowWeight(const EntryState& state, const WorkspaceId& workspace);

/// @return longest time that a request may wait in a queue before its first dispatch: what its rank's target leaves
/// after the time that upstreams take to the first part
Milliseconds queueWaitLimit(const EntryState& state, const ServicePool& pool, RankIndex rank);

} // namespace hickory
