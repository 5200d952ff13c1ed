#pragma once

#include "clock_type.h"

namespace hickory {

/// @param limit longest time that the server keeps a connection open between requests
/// @return longest time that a caller may leave it unused and still send its next request on it
Milliseconds reusableTime(Milliseconds limit);

} // namespace hickory
