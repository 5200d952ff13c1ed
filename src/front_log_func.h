#pragma once

#include "front_io.h"
#include "log_type.h"

#include <string>

namespace hickory {

/// @return name of a reason in the log and in the metric
const char* closeReasonName(CloseReason reason);

/// @param request id of the request on the connection, empty if there is none or it is not known
/// @return the log line of a closed connection
LogLine closedLogLine(const ClosedConnection& closed, const std::string& request);

/// Logs and counts a closed connection.
/// @param request as in closedLogLine()
void recordClosed(const ClosedConnection& closed, const std::string& request);

/// @return the log line of a request on a connection that had been idle for longer than reusableTime()
LogLine lateReuseLogLine(const IdleConnection& before, const std::string& request);

/// Records how long a kept connection had been idle when its next request began, and logs a late one.
/// @param request id of that request
void recordReuse(const IdleConnection& before, const std::string& request);

} // namespace hickory
