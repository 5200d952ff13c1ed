#pragma once

#include "log_type.h"
#include "settings_type.h"

#include <optional>
#include <string>

namespace hickory {

/// Exit codes of all programs.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitConflict = 3;
constexpr int exitUnavailable = 4;

/// Command line of a server program.
struct ProgramArguments {
    std::string settings; ///< path of the settings file
    bool check { false }; ///< check the settings and exit
};

/// Parses the command line of a server program; handles --help and --version.
/// @param program name for the help text
/// @param description one line for the help text
/// @param[out] exitCode set when nothing is returned
/// @return arguments, or nothing when the program shall exit
std::optional<ProgramArguments> parseArguments(
    int count, char** values, const std::string& program, const std::string& description, int& exitCode);

/// @param process settings with the addresses asked for
/// @param rpcPort port bound for RPC
/// @param httpPort port bound for HTTP
/// @return the line that tells where a process listens
LogLine listeningLine(const ProcessSettings& process, unsigned rpcPort, unsigned httpPort);

} // namespace hickory
