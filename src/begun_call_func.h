#pragma once

#include "begun_request_func.h"
#include "request_state_type.h"

namespace hickory {

/// @return whether an upstream has begun the request, as far as this entry knows: the caller received a part of the
/// answer, or the call row holds the answer
bool hasBegun(const Request& request);

/// The rule of begun_request_func.h for requests that run at agents.
/// @return whether a cause may end a request
bool mayEnd(const Request& request, EndCause cause);

} // namespace hickory
