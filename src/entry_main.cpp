#include "entry_loop_io.h"
#include "host_program_func.h"
#include "log_io.h"
#include "program_func.h"
#include "relay_loop_io.h"
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
    if (hasSettingsTable(arguments->settings, "relay"))
        return runServer("hickory-entry", *arguments, loadRelaySettings, [&](RelaySettings&& settings) {
            RelayLoop loop(std::move(settings), arguments->settings);
            return loop.run();
        });
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
