#include "ctl_cmd.h"
#include "ctl_options_func.h"
#include "program_func.h"

#include <array>
#include <iostream>

namespace {

using namespace hickory;

/// A command with the number of its arguments.
struct Command {
    const char* name; ///< as typed
    std::size_t arguments; ///< after the name
    CtlResult (*run)(const CtlOptions&); ///< does it
};

constexpr std::array<Command, 11> commands { {
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
        if (options->arguments.size() != command.arguments) {
            std::cerr << "hickoryctl: " << command.name << " takes " << command.arguments
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
