#pragma once

#include <string>
#include <vector>

namespace hickory {

/// @param line of a log of any process
/// @param request id of a caller's attempt
/// @return whether the line tells of that request
bool concernsRequest(const std::string& line, const std::string& request);

/// @param lines of one request, of all processes, in any order
/// @return the lines in order of time, each with the milliseconds since the first one
std::string explainRequest(std::vector<std::string> lines);

} // namespace hickory
