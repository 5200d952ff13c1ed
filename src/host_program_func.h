#pragma once

#include "log_io.h"
#include "program_func.h"
#include "settings_type.h"

#include <csignal>
#include <iostream>
#include <random>
#include <string>

namespace hickory {

/// Loads the settings of a role on a platform's host, starts the log and runs the role.
/// @param program name for logs and errors
/// @param load reads the settings file, `Result<Settings>(path)`; the settings have a member `host`
/// @param run runs the role with the settings, returns the exit code
/// @return exit code
template <typename Load, typename Run>
int runOnHost(const std::string& program, const ProgramArguments& arguments, const Load& load, const Run& run)
{
    auto settings = load(arguments.settings);
    if (!settings) {
        std::cerr << program << ": " << settings.error().text() << "\n";
        return exitUsage;
    }
    if (arguments.check)
        return exitSuccess;
    std::signal(SIGPIPE, SIG_IGN);
    HostSettings& host = settings.value().host;
    host.seed = host.seed != 0 ? host.seed : std::random_device {}();
    startBufferedLog(program, host.host.value, host.logLevel);
    const int exitCode = run(std::move(settings.value()));
    flushLog();
    return exitCode;
}

} // namespace hickory
