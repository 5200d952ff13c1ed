#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

#include <string>

namespace hickory {

/// What a caller is told about a request that did not succeed.
struct RequestFailure {
    Outcome outcome { Outcome::NotRun }; ///< outcome of the last attempt
    std::uint16_t status { 503 }; ///< HTTP status
    std::string reason; ///< short machine-readable reason
    Milliseconds retryAfter { 0 }; ///< 0 when sending the request again does not help
    std::string step; ///< processing step in which it ended, e.g. "admission"
};

/// Sets the timer of a request.
/// @param at time of the timer; limited to the deadline of the request, except while its call row is resolved
void setWake(EntryState& state, Request& request, Milliseconds at);

/// Removes the attempt in flight from the counts of its upstream and service. Does nothing when there is none.
void releaseAttempt(EntryState& state, Request& request);

/// Removes a request from the queue of its service. Does nothing when it is not queued.
void dequeueRequest(EntryState& state, Request& request);

/// Ends a request whose answer is complete and removes it.
void finishRequest(EntryState& state, Request& request, EntryEffects& effects);

/// Ends a request that did not succeed and removes it. The caller is told `not-run` only if no earlier attempt may have
/// run. Once a part of the answer may have been delivered, its connection is closed instead.
void failRequest(EntryState& state, Request& request, RequestFailure failure, EntryEffects& effects);

/// Removes a request from all queues, counts and timers without telling its caller.
void removeRequest(EntryState& state, Request& request);

} // namespace hickory
