#pragma once

#include <set>
#include <string>
#include <vector>

namespace hickory {

/// @param line log line of any process
/// @param request request id; an empty one matches no line
/// @return true if the line's field "request" equals the id
bool belongsToRequest(const std::string& line, const std::string& request);

/// @param lines log lines of one request
/// @return traits that one of them gives as a reason, field "trait"
std::set<std::string> namedTraits(const std::vector<std::string>& lines);

/// @param line log line of any process
/// @param traits as logged: 16 hex digits each
/// @return whether the line's field "trait" or one of its list "traits" is among them
bool namesTrait(const std::string& line, const std::set<std::string>& traits);

/// @param line log line of any process
/// @return whether the line is about a request, whichever it is
bool isAboutRequest(const std::string& line);

/// @param line log line of any process
/// @param requestLines log lines of one request
/// @return whether the line tells that the platform's store came back from an older copy, logged by one of these
/// processes some seconds before or after the request: its configuration and upstreams may have changed with it
bool isRestoreNearby(const std::string& line, const std::vector<std::string>& requestLines);

/// @param line log line of any process
/// @param requestLines log lines of one request
/// @return whether the line tells what an upstream that the request was sent to said of itself, or that it stood still
/// or answers again, logged by one of these processes some seconds before or after the request
bool isNoticeNearby(const std::string& line, const std::vector<std::string>& requestLines);

/// Sorts log lines by time and formats them with their offset from the first one.
/// @param lines log lines of one request from all processes, and of what it was refused for, in any order
/// @return one line per log line: "+MILLISECONDS ms HOST event=..."
std::string formatRequestTimeline(std::vector<std::string> lines);

} // namespace hickory
