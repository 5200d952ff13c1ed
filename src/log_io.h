#pragma once

#include "log_type.h"

#include <string>

namespace hickory {

/// Starts logging through Boost.Log. Each program calls this or startBufferedLog() once.
/// @param program value of the field `program` of each line
/// @param host value of the field `host` of each line, empty to leave it out
/// @param level lowest severity that is written
/// @param file path of the file to append to, empty for standard output
void startLog(const std::string& program, const std::string& host, LogLevel level, const std::string& file);

/// Starts logging to standard output without ever blocking the caller: lines are kept in a bounded buffer until
/// flushLog() writes them. Lines that exceed the size of the buffer or the permitted rate are dropped and counted in
/// the metric log_lines_left_out_total.
/// @param program value of the field `program` of each line
/// @param host value of the field `host` of each line, empty to leave it out
/// @param level lowest severity that is written
void startBufferedLog(const std::string& program, const std::string& host, LogLevel level);

/// Writes as much of the buffer as standard output accepts without blocking. Does nothing after startLog().
void flushLog();

/// Writes one line with time, level, program, host, event and the given fields as key=value pairs. Values that are
/// empty or contain white space, quotes, "=" or backslashes are quoted. Safe from any thread.
void writeLog(const LogLine& line);

} // namespace hickory
