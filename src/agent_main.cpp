#include "agent_loop_io.h"
#include "host_program_func.h"
#include "loader_loop_io.h"
#include "log_io.h"
#include "program_func.h"
#include "settings_func.h"

#include <csignal>
#include <iostream>

int main(int count, char** values)
{
    using namespace hickory;
    int exitCode = exitSuccess;
    const auto arguments = parseArguments(count, values, "hickory-agent",
        "Serves the upstream on this host: passes requests to it or, in loader mode, loads its weights.", exitCode);
    if (!arguments)
        return exitCode;
    if (hasSettingsTable(arguments->settings, "loader"))
        return runServer("hickory-agent", *arguments, loadLoaderSettings, [](LoaderSettings&& settings) {
            LoaderLoop loop(std::move(settings));
            return loop.run();
        });
    auto settings = loadAgentSettings(arguments->settings);
    if (!settings) {
        std::cerr << "hickory-agent: " << settings.error().text() << "\n";
        return exitUsage;
    }
    if (arguments->check)
        return exitSuccess;
    std::signal(SIGPIPE, SIG_IGN);
    const ProcessSettings& process = settings.value().process;
    startLog("hickory-agent", process.host.value, process.logLevel, process.logFile);
    AgentLoop loop(std::move(settings.value()));
    return loop.run();
}
