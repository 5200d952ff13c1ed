#pragma once

#include "entry_state_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace hickory {

/// Rejection of a request that was not dispatched to any upstream.
struct Refusal {
    std::uint16_t status { 503 }; ///< HTTP status of the response
    std::string reason; ///< machine-readable reason in headers, logs and metrics
    Milliseconds retryAfter { 0 }; ///< value of Retry-After, 0 when a retry does not help
};

/// Normalises a path: decodes percent-encoding and removes the query, the fragment, and empty and dot segments. Path
/// rules are matched against the result, so that no alternative spelling of a path bypasses them.
/// @param path path below the service
/// @return normalised path, starts with "/"
std::string normalisePath(std::string_view path);

/// Checks whether a call is non-repeatable by the configuration of its service.
/// @param service configuration of the service
/// @param path path below the service
/// @return true when the call may run at most once and therefore requires an Idempotency-Key
bool isNonRepeatable(const ServiceConfig& service, std::string_view path);

/// Checks an arriving request: configuration in force, service, rank, workspace, Idempotency-Key, ready upstreams and
/// quarantine.
/// @return the refusal, or nothing when the request may be queued or dispatched
std::optional<Refusal> checkRequest(const EntryState& state, const RequestArrived& call);

/// Estimates how long a new request would wait in the queue of this entry before it is dispatched.
/// @param state entry
/// @param pool service of the request
/// @param rank rank of the request
/// @param workspace workspace of the request
/// @return expected wait, 0 before the first measurement
Milliseconds expectedWait(
    const EntryState& state, const ServicePool& pool, RankIndex rank, const WorkspaceId& workspace);

/// Checks whether a request that cannot be dispatched at once may be queued: the queue limit of its workspace, and the
/// expected wait against the latency target of its rank and against its deadline.
/// @return the refusal, or nothing when the request may be queued
std::optional<Refusal> checkQueueing(const EntryState& state, const ServicePool& pool, const Request& request);

/// @return index in ServicePool::queues of the queue for a rank; 0 for all ranks under QueuePolicy::Fifo
std::size_t queueIndex(const EntryState& state, RankIndex rank);

/// @return key of the flow for a workspace; empty, a single shared flow, unless the policy is QueuePolicy::RankFair
WorkspaceId flowKey(const EntryState& state, const WorkspaceId& workspace);

/// @return weight of the flow for a workspace, > 0; 1 unless the policy is QueuePolicy::RankFair
double flowWeight(const EntryState& state, const WorkspaceId& workspace);

/// @return longest time that a request may wait in the queue before its first dispatch: the latency target of its rank
/// less the time that upstreams take to the first part, but at least a fixed share of the target
Milliseconds queueWaitLimit(const EntryState& state, const ServicePool& pool, RankIndex rank);

} // namespace hickory
