#pragma once

#include "relay_state_type.h"

namespace hickory {

/// Urgency of a request: the workspace's rank goes first, the route's orders the requests within it.
/// @param workspaceRank empty where the workspace has none; it then counts as 1
/// @return 0 is first, 9 is last
std::uint8_t computeUrgency(std::optional<std::uint8_t> workspaceRank, std::uint8_t routeRank);

/// Place of a request in its service's queue.
/// Answers floods of a less urgent rank: urgent requests that can be on time go first, and requests that can no
/// longer be on time wait until those that can are served. Within an urgency the newest goes first: under overload the
/// oldest would all be served at the edge of their time, and most of them late.
QueueKey makeQueueKey(const RelayRequest& request, RelayQueuePolicy policy, Milliseconds now);

/// Predicts how long a request would wait in its service's queue.
/// Answers overload in which all would wait until their time is over: who cannot be served is told at once.
/// @return predicted wait, from the requests that go before it and the recent rate of placements
Milliseconds predictQueueWait(const RelayState& state, const RelayRequest& request, Milliseconds now);

/// @return whether a request that found no room may wait
bool mayQueue(const RelayState& state, const RelayRequest& request, Milliseconds now);

/// @return whether a waiting request can no longer be answered within its caller's time
bool cannotMeetDeadline(const RelayRequest& request, Milliseconds now);

/// @return whether even the longest answer that a request allows ends before a moment, if it is placed now
bool finishesBefore(const RelayRequest& request, Milliseconds moment, Milliseconds now);

/// When a refused caller should come back: after the predicted wait, spread so that those refused together do not
/// return together, and within the part of its time for which callers honour the advice. Callers come back once:
/// where no upstream can run the request, as late as they will.
/// @param noUpstream no upstream of the service could run it now
/// @return delay from now
Milliseconds retryAfterDelay(RelayState& state, const RelayRequest& request, bool noUpstream, Milliseconds now);

} // namespace hickory
