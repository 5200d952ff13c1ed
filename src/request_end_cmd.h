#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

#include <string>

namespace hickory {

/// How a request ends that did not succeed.
struct RequestFailure {
    Outcome outcome { Outcome::NotRun }; ///< of the last attempt
    std::uint16_t status { 503 }; ///< HTTP status
    std::string reason; ///< short machine-readable reason
    Milliseconds retryAfter { 0 }; ///< 0 when sending it again does not help
    std::string step; ///< where it ended
};

/// Sets when the request is next looked at by the timer; never later than its deadline.
void setWake(EntryState& state, Request& request, Milliseconds at);

/// Takes the present attempt out of all counts of its upstream and service. Does nothing when there is none.
void releaseAttempt(EntryState& state, Request& request);

/// Takes a request out of the queues of its service.
void dequeueRequest(EntryState& state, Request& request);

/// Ends a request whose answer is whole.
void finishRequest(EntryState& state, Request& request, EntryEffects& effects);

/// Ends a request that did not succeed. The caller is told `not-run` only if no earlier attempt may have run, and its
/// connection is broken instead when it has parts of an answer. The request is gone afterwards.
void failRequest(EntryState& state, Request& request, RequestFailure failure, EntryEffects& effects);

/// Ends a request whose caller is gone. The request is gone afterwards.
void forgetRequest(EntryState& state, Request& request);

} // namespace hickory
