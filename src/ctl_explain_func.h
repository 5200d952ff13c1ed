#pragma once

#include <string>
#include <vector>

namespace hickory {

/// @param line log line of any process
/// @param request request id; an empty one matches no line
/// @return true if the line's field "request" equals the id
bool belongsToRequest(const std::string& line, const std::string& request);

/// Sorts log lines by time and formats them with their offset from the first one.
/// @param lines log lines of one request from all processes, in any order
/// @return one line per log line: "+MILLISECONDS ms HOST event=..."
std::string formatRequestTimeline(std::vector<std::string> lines);

} // namespace hickory
