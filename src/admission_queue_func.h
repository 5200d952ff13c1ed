#pragma once

#include "admission_queue_type.h"

#include <optional>

namespace hickory {

/// Appends a request to its flow, at the place that its order of arrival gives it.
/// @param queue the queue
/// @param flow workspace, or the empty id where all share one flow
/// @param weight share of the flow
/// @param sequence order of arrival
/// @param item the request
/// @pre no item with that sequence waits in the flow
void pushItem(FairQueue& queue, const WorkspaceId& flow, double weight, std::uint64_t sequence, const QueuedItem& item);

/// @return the request whose turn it is, or nothing when none waits
std::optional<QueuedItem> frontItem(const FairQueue& queue);

/// Takes the request whose turn it is and charges its cost to its flow.
/// @pre queue.queued > 0
QueuedItem popItem(FairQueue& queue);

/// Takes a request out of turn; nothing is charged.
/// @return false when it does not wait there
bool removeItem(FairQueue& queue, const WorkspaceId& flow, std::uint64_t sequence);

/// @return the newest request of the flow with the most waiting tokens, or nothing when none waits
std::optional<QueuedItem> newestOfLargestFlow(const FairQueue& queue);

/// Estimates the cost that is served before a new request of a flow.
/// @param queue the queue
/// @param flow the flow
/// @param weight its share
/// @return tokens ahead of the request
double tokensAhead(const FairQueue& queue, const WorkspaceId& flow, double weight);

} // namespace hickory
