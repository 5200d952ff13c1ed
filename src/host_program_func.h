#pragma once

#include "log_io.h"
#include "program_func.h"
#include "settings_type.h"

#include <csignal>
#include <iostream>
#include <random>
#include <string>

namespace hickory {

/// Loads the settings, starts the log and runs a server program. A seed of 0 in the settings is replaced by a random
/// one. With --check, only the settings are loaded.
/// @param program program name for log lines and error messages
/// @param load reads the settings file, `Result<Settings>(path)`; Settings has a member `host` of type HostSettings
/// @param run runs the program until it ends, `int(Settings)`; returns the exit code
/// @return exit code of the process, exitUsage when the settings are invalid
template <typename Load, typename Run>
int runServer(const std::string& program, const ProgramArguments& arguments, const Load& load, const Run& run)
{
    // A reload that is asked for before the program handles the signal must not end it: its settings are read below.
    std::signal(SIGHUP, SIG_IGN);
    auto settings = load(arguments.settings);
    if (!settings) {
        std::cerr << program << ": " << settings.error().text() << "\n";
        return exitUsage;
    }
    if (arguments.check)
        return exitSuccess;
    std::signal(SIGPIPE, SIG_IGN);
    returnFreedBlocks();
    HostSettings& host = settings.value().host;
    host.seed = host.seed != 0 ? host.seed : std::random_device {}();
    startBufferedLog(program, host.host.value, host.logLevel);
    const int exitCode = run(std::move(settings.value()));
    flushLog();
    return exitCode;
}

} // namespace hickory
