#pragma once

#include "relay_state_type.h"

#include <vector>

namespace hickory {

// One queue holds requests with different homes. Only those that may use the same upstreams delay each other. While no
// request has homes and nothing is evacuated, all of a service's requests do.

/// @return requests that wait for the upstreams of the region, among those that may run the request, for which fewest
/// wait
std::size_t queuedAgainst(const RelayState& state, const RelayRequest& request);

/// @return time until the requests before a key are dispatched, in the region, among those that may run the request, in
/// which that is soonest
Milliseconds waitBehind(const RelayState& state, const RelayRequest& request, const QueueKey& key, Milliseconds now);

/// @return whether no queued request that may use the same upstreams goes before a request that just arrived
bool isFirstInQueue(const RelayState& state, const RelayRequest& request);

/// What one pass over a queue has found to have no room. A request shares the fate of those before it that may use all
/// of its upstreams, so that a pass asks about each set of homes once.
struct NoRoom {
    struct Part {
        AllowedRegions allowed; ///< regions in which a request may run that found no room
        /// It had no upstream excluded, so there is no room in any part of these regions either.
        bool coversParts { false };
    };
    std::vector<Part> parts; ///< one for each request that found none
};

/// Notes that a request found no upstream with room.
void recordNoRoom(NoRoom& noRoom, const RelayRequest& request);
/// @return whether a request that may run in these regions finds no room either
bool isWithoutRoom(const NoRoom& noRoom, const AllowedRegions& allowed);
/// @return whether no queued request of the service finds room
bool areAllWithoutRoom(const NoRoom& noRoom, const RelayServiceState& service);

} // namespace hickory
