#pragma once

#include "relay_state_type.h"

namespace hickory {

/// Combines the ranks of workspace and route: the workspace's outweighs the route's.
/// @param workspaceRank 0 is most urgent; empty counts as 1
/// @param routeRank 0 is most urgent; above 2 counts as 2
/// @return urgency, 0 is first, 9 is last
std::uint8_t computeUrgency(std::optional<std::uint8_t> workspaceRank, std::uint8_t routeRank);

/// Makes the sort key of a request in its service's queue.
/// Keeps urgent requests on time when less urgent ones flood the service: the urgent go first, and requests that can no
/// longer meet their objective wait until those that can are dispatched. Within an urgency the latest objectiveAt goes
/// first: with the earliest first, an overloaded service would dispatch each request just before its objective and
/// answer most late.
QueueKey makeQueueKey(const RelayRequest& request, RelayQueuePolicy policy, Milliseconds now);

/// Predicts how long a request would wait in its service's queue, so that under overload a request that cannot be
/// served in time is refused at once instead of at its deadline.
/// @return predicted wait, from the requests before it that may use the same upstreams and the recent rate of
/// dispatches
Milliseconds predictQueueWait(const RelayState& state, const RelayRequest& request, Milliseconds now);

/// @return whether a request may be queued: the queue is not full and the predicted wait leaves time to serve it
bool mayQueue(const RelayState& state, const RelayRequest& request, Milliseconds now);

/// Load pattern: a service's engines have all lost their weights, after a loss of power, or all hold older ones than
/// may be used. Callers return once; whoever is refused for longer than that is not served at all.
/// @return whether a request that no upstream can run may wait: engines load weights, are expected to have them in time
/// to answer, and few requests wait for them. At most half of the slots are kept for these, which are late by then, so
/// that callers who come when the engines are back are still on time.
bool mayAwaitWeights(const RelayState& state, const RelayRequest& request, Milliseconds now);

/// @return whether a queued request would miss its deadline even if it were dispatched now
bool cannotMeetDeadline(const RelayRequest& request, Milliseconds now);

/// @return whether the caller of a queued request would leave before its first event even if it were dispatched now
bool cannotBeginInTime(const RelayRequest& request, Milliseconds now);

/// Decides what a process that stops may still pass on. Another entry can take what it refuses at once, so it takes
/// only what ends before the drain: by the deadline of its caller or route, or, if it came early in the drain and its
/// caller could repeat it, by prediction. No prediction holds for certain, as an upstream may be silent again and
/// again.
/// @return whether a request that no upstream has begun may be sent to one now; always true unless this process stops
bool mayBegin(const RelayState& state, const RelayRequest& request, Milliseconds now);

/// Chooses the Retry-After of a refused request: the predicted wait, with jitter so that callers refused together do
/// not return together. It never exceeds a share of the request's remaining time, because callers ignore longer delays.
/// Callers return only once, so where no upstream can run the request they get the longest delay that they follow.
/// Where all upstreams pause, the delay ends no sooner than the first pause if it may be that long.
/// A process that stops sends callers to another entry at once. Load pattern: all entries are restarted a second apart,
/// and none takes requests for some seconds; then it sends them back as late as they follow.
/// @param noUpstream no upstream of the service could run the request now
/// @return delay from now
Milliseconds retryAfterDelay(RelayState& state, const RelayRequest& request, bool noUpstream, Milliseconds now);

} // namespace hickory
