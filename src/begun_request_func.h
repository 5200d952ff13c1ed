#pragma once

#include "relay_state_type.h"

namespace hickory {

// The only rules on what may end work that an upstream has begun. Always: the end of the upstream, the caller, the
// request's deadline. Never: silence, since a sound upstream may be silent for a second or so; predictions; a
// configuration.

/// Why a request would be ended although neither its caller nor its deadline ended it.
enum class EndCause : std::uint8_t {
    UpstreamDead, ///< the upstream ended or broke the response off
    Lateness, ///< it is predicted to miss its deadline
    Quarantine, ///< it resembles others that crashed upstreams
    Configuration, ///< the configuration no longer has its service
    Overload, ///< the queues are full
    Stopping, ///< this process stops and it may not end in time
};

/// @return whether a cause ends work that an upstream has begun
bool endsBegunWork(EndCause cause);

/// @return whether an upstream has begun the request, as far as this entry knows: the caller received the head of a
/// response, or it is here
bool hasBegun(const RelayRequest& request);

/// @return whether a cause may end a request
bool mayEnd(const RelayRequest& request, EndCause cause);

/// @return whether a send may be taken back from an upstream that is silent: an engine that has not begun it. Whether a
/// plain upstream has begun shows only in its answer.
bool mayTakeBack(const RelayRequest& request, const ActiveSend& send);

/// @return whether a request that may have run may be sent again
bool isRepeatable(const RelayRequest& request);

/// @return whether a further upstream may be given the request
bool hasAttemptLeft(const RelayRequest& request);

} // namespace hickory
