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

} // namespace hickory
