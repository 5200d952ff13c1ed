#include "ctl_cmd.h"
#include "ctl_explain_func.h"
#include "program_func.h"

#include <filesystem>
#include <fstream>

namespace hickory {

namespace {

    /// Calls a function with each line of the files.
    template <typename Function> void forEachLine(const std::vector<std::string>& paths, const Function& function)
    {
        for (const std::string& path : paths) {
            std::ifstream file(path);
            for (std::string line; std::getline(file, line);)
                function(line);
        }
    }

} // namespace

CtlResult runExplain(const CtlOptions& options)
{
    std::error_code code;
    std::vector<std::string> paths;
    for (const auto& item : std::filesystem::recursive_directory_iterator(options.logs, code))
        if (item.is_regular_file())
            paths.push_back(item.path().string());
    if (code)
        return { .exitCode = exitFailure,
            .message = "cannot read log directory \"" + options.logs + "\": " + code.message() };
    const std::string& request = options.arguments.front();
    std::vector<std::string> lines;
    forEachLine(paths, [&](const std::string& line) {
        if (belongsToRequest(line, request))
            lines.push_back(line);
    });
    if (lines.empty())
        return { .exitCode = exitFailure,
            .message
            = "no log line of request \"" + request + "\" found in " + std::to_string(paths.size()) + " files" };
    std::size_t otherRequests = 0;
    if (const std::set<std::string> traits = namedTraits(lines); !traits.empty())
        forEachLine(paths, [&](const std::string& line) {
            if (belongsToRequest(line, request) || !namesTrait(line, traits))
                return;
            // A quarantine can refuse any number of requests, which would hide the crashes.
            if (isAboutRequest(line))
                ++otherRequests;
            else
                lines.push_back(line);
        });
    std::vector<std::string> nearby;
    forEachLine(paths, [&](const std::string& line) {
        if (isRestoreNearby(line, lines) || isNoticeNearby(line, lines))
            nearby.push_back(line);
    });
    lines.insert(lines.end(), nearby.begin(), nearby.end());
    CtlResult result { .output = formatRequestTimeline(std::move(lines)) };
    if (otherRequests > 0)
        result.message = "lines of other requests that name the same trait: " + std::to_string(otherRequests);
    return result;
}

} // namespace hickory
