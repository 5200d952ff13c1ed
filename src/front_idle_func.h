#pragma once

#include "clock_type.h"

#include <string>

namespace hickory {

/// @param limit longest time that the server keeps a connection open between requests
/// @return longest time that a caller may leave it unused and still send its next request on it
Milliseconds reusableTime(Milliseconds limit);

/// @return value of the Keep-Alive field that states reusableTime(). It holds whole seconds: 0 says that the connection
/// is not to be used again.
std::string keepAliveValue(Milliseconds limit);

} // namespace hickory
