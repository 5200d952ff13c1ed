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

/// Writes one line: time, level, program, host, event and the fields as key=value; values with spaces are quoted.
/// Safe from any thread.
void writeLog(const LogLine& line);

} // namespace hickory
