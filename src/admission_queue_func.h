#pragma once

#include "admission_queue_type.h"

#include <optional>

namespace hickory {

/// Inserts a request into its flow, in order of arrival. A retried request therefore returns to its old position.
/// @param queue the queue
/// @param flow workspace, or the empty id when all requests share one flow
/// @param weight share of the flow relative to the others, > 0; used when the flow becomes backlogged
/// @param sequence sequence number of the arrival
/// @param item the request
/// @pre the flow has no item with that sequence number
void pushItem(FairQueue& queue, const WorkspaceId& flow, double weight, std::uint64_t sequence, const QueuedItem& item);

/// @return the first request of the flow with the smallest start tag, or nothing when the queue is empty
std::optional<QueuedItem> frontItem(const FairQueue& queue);

/// Removes the request that frontItem() returns and charges its cost to its flow, once per request.
/// @pre queue.queued > 0
QueuedItem popItem(FairQueue& queue);

/// Removes any request without charging its cost.
/// @return false when the flow has no such request
bool removeItem(FairQueue& queue, const WorkspaceId& flow, std::uint64_t sequence);

/// @return the newest request of the flow with the highest total cost, or nothing when the queue is empty
std::optional<QueuedItem> newestOfLargestFlow(const FairQueue& queue);

/// Estimates the cost of the queued requests that are served before a new request of a flow.
/// @param queue the queue
/// @param flow key of the flow
/// @param weight share of the flow relative to the others, > 0
/// @return cost in tokens
double tokensAhead(const FairQueue& queue, const WorkspaceId& flow, double weight);

} // namespace hickory
