#pragma once

#include "log_type.h"

#include <string>

namespace hickory {

/// Starts logging through Boost.Log. Called once by each program.
/// @param program written as program=... on each line
/// @param host written as host=... on each line, empty for none
/// @param level least severity written
/// @param file path, empty for standard output
void startLog(const std::string& program, const std::string& host, LogLevel level, const std::string& file);

/// Starts logging to standard output without ever blocking the caller: lines are kept in a bounded buffer until
/// flushLog() writes them. Lines beyond the buffer or beyond the rate allowed are left out and counted in
/// log_lines_left_out_total.
/// @param program written as program=... on each line
/// @param host written as host=... on each line
/// @param level least severity written
void startBufferedLog(const std::string& program, const std::string& host, LogLevel level);

/// Writes as much of the buffer as standard output takes without blocking.
void flushLog();

/// Writes one line: time, level, program, host, event and the fields as key=value; values with spaces are quoted.
/// Safe from any thread.
void writeLog(const LogLine& line);

} // namespace hickory
