#include "entry_loop_io.h"
#include "log_io.h"
#include "program_func.h"
#include "settings_func.h"

#include <csignal>
#include <iostream>

int main(int count, char** values)
{
    using namespace hickory;
    int exitCode = exitSuccess;
    const auto arguments
        = parseArguments(count, values, "hickory-entry", "Serves callers and operators on an entry host.", exitCode);
    if (!arguments)
        return exitCode;
    auto settings = loadEntrySettings(arguments->settings);
    if (!settings) {
        std::cerr << "hickory-entry: " << settings.error().text() << "\n";
        return exitUsage;
    }
    if (arguments->check)
        return exitSuccess;
    std::signal(SIGPIPE, SIG_IGN);
    const ProcessSettings& process = settings.value().process;
    startLog("hickory-entry", process.host.value, process.logLevel, process.logFile);
    EntryLoop loop(std::move(settings.value()));
    return loop.run();
}
