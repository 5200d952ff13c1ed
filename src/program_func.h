#pragma once

#include "log_type.h"
#include "settings_type.h"

#include <optional>
#include <string>

namespace hickory {

// Exit codes of all programs.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1; ///< the program or command failed
constexpr int exitUsage = 2; ///< invalid command line or settings
constexpr int exitConflict = 3; ///< the change conflicts with a newer one
constexpr int exitUnavailable = 4; ///< a server could not be reached or did not answer in time

/// Command line of a server program.
struct ProgramArguments {
    std::string settings; ///< path of the settings file
    bool check { false }; ///< only check the settings file, then exit
};

/// Parses the command line of a server program and handles --help and --version. Without --settings, the path is taken
/// from the environment variable HICKORYROAD_SETTINGS.
/// @param count argc of main()
/// @param values argv of main()
/// @param program program name for help and error messages
/// @param description one line for the help text
/// @param[out] exitCode exit code of the process, set when nothing is returned
/// @return arguments, or nothing when the program must exit
std::optional<ProgramArguments> parseArguments(
    int count, char** values, const std::string& program, const std::string& description, int& exitCode);

/// Makes the allocator return large blocks to the kernel when they are freed, so that the memory of the process follows
/// what it holds. To be called before the first large allocation.
void returnFreedBlocks();

/// @param process settings with the configured addresses, whose ports may be 0
/// @param rpcPort bound port for RPC
/// @param httpPort bound port for HTTP
/// @return the log line with the addresses that a process listens on and its seed
LogLine listeningLine(const ProcessSettings& process, unsigned rpcPort, unsigned httpPort);

} // namespace hickory
