#include "ctl_cmd.h"
#include "ctl_options_func.h"
#include "program_func.h"

#include <array>
#include <iostream>

namespace {

using namespace hickory;

/// An entry of the command table.
struct Command {
    const char* name; ///< name on the command line
    std::size_t argumentCount; ///< positional arguments that must follow the name
    CtlResult (*run)(const CtlOptions&); ///< implementation, called with validated arguments
};

constexpr std::array<Command, 12> commands { {
    { "check", 1, runCheck },
    { "diff", 1, runDiff },
    { "apply", 1, runApply },
    { "show", 0, runShow },
    { "history", 0, runHistory },
    { "status", 0, runStatus },
    { "upstreams", 0, runUpstreams },
    { "rollout", 0, runRollout },
    { "request", 2, runRequest },
    { "explain", 1, runExplain },
    { "publish", 1, runPublish },
    { "config", 2, runDocument },
} };

} // namespace

int main(int count, char** values)
{
    int exitCode = exitSuccess;
    const std::optional<CtlOptions> options = parseCtlOptions(count, values, exitCode);
    if (!options)
        return exitCode;
    for (const Command& command : commands) {
        if (options->command != command.name)
            continue;
        if (options->arguments.size() != command.argumentCount) {
            std::cerr << "hickoryctl: " << command.name << " takes " << command.argumentCount
                      << " argument(s), see --help\n";
            return exitUsage;
        }
        const CtlResult result = command.run(*options);
        std::cout << result.output << std::flush;
        if (!result.message.empty())
            std::cerr << "hickoryctl: " << result.message << "\n";
        return result.exitCode;
    }
    std::cerr << "hickoryctl: unknown command \"" << options->command << "\", see --help\n";
    return exitUsage;
}
