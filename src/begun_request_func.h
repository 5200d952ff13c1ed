#pragma once

#include "relay_state_type.h"

namespace hickory {

/// Why a request, or its send in flight, would be ended before its response is whole. A caller that leaves always ends
/// its request.
enum class EndCause : std::uint8_t {
    UpstreamDead, ///< the upstream ended, broke the response off or counts as dead
    Deadline, ///< the request's deadline: the caller's, the route's timeout or the end of a drain
    Silence, ///< the upstream sent nothing for some time
    Lateness, ///< the request is predicted to miss its deadline
    Weights, ///< newer weights were declared
    Quarantine, ///< the request resembles others that crashed upstreams
    Configuration, ///< the configuration no longer has the service
    Overload, ///< the queues are full
    Stopping, ///< this process stops and the request may not end in time
};

/// @return whether an upstream has begun the request, as far as this entry knows: the caller received the head of a
/// response, or it is here
bool hasBegun(const RelayRequest& request);

/// The only rule on what may end a request that an upstream has begun. A sound upstream may be silent for a second or
/// so, and predictions may be wrong, so both end only requests that no upstream has begun.
/// @return whether a cause may end a request
bool mayEnd(const RelayRequest& request, EndCause cause);

/// @return whether a further upstream may be given the request. A stream that its caller has in part uses up an attempt
/// only at upstreams that began it.
bool hasAttemptLeft(const RelayRequest& request);

} // namespace hickory
