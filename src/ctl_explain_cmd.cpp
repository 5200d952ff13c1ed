#include "ctl_cmd.h"
#include "ctl_explain_func.h"
#include "program_func.h"

#include <filesystem>
#include <fstream>

namespace hickory {

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
    for (const std::string& path : paths) {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);)
            if (belongsToRequest(line, request))
                lines.push_back(line);
    }
    if (lines.empty())
        return { .exitCode = exitFailure,
            .message
            = "no log line of request \"" + request + "\" found in " + std::to_string(paths.size()) + " files" };
    return { .output = formatRequestTimeline(std::move(lines)) };
}

} // namespace hickory
