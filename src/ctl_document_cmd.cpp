#include "config_check_func.h"
#include "config_compare_func.h"
#include "ctl_cmd.h"
#include "ctl_file_func.h"
#include "program_func.h"

namespace hickory {

namespace {

    constexpr int exitFindings = 1; ///< findings or differences
    constexpr int exitUnreadable = 2; ///< a document cannot be read, or bad usage

    CtlResult unreadable(const std::string& path, const Error& error)
    {
        return { .exitCode = exitUnreadable,
            .message = "cannot read \"" + path + "\": " + (error.detail.empty() ? error.text() : error.detail) };
    }

    CtlResult listLines(const std::vector<std::string>& lines)
    {
        CtlResult result { .exitCode = lines.empty() ? exitSuccess : exitFindings };
        for (const std::string& line : lines)
            result.output += line + "\n";
        return result;
    }

    CtlResult checkDocument(const CtlOptions& options, const std::string& path)
    {
        ConfigSurroundings surroundings = parseRegions(options.regions);
        if (!options.upstreams.empty()) {
            const Result<std::string> rows = readWholeFile(options.upstreams);
            if (!rows)
                return unreadable(options.upstreams, rows.error());
            const Result<std::vector<UpstreamEntry>> upstreams = readUpstreamRows(rows.value());
            if (!upstreams)
                return unreadable(options.upstreams, upstreams.error());
            surroundings.upstreams = upstreams.value();
        }
        const Result<std::string> text = readWholeFile(path);
        if (!text)
            return unreadable(path, text.error());
        const Result<ConfigCheck> check = checkConfigDocument(text.value(), surroundings);
        return check ? listLines(check.value().findings) : unreadable(path, check.error());
    }

    CtlResult compareDocuments(const CtlOptions& options, const std::string& path)
    {
        if (options.against.empty())
            return { .exitCode = exitUsage, .message = "config diff needs --against FILE, see --help" };
        std::vector<RelayConfig> configs;
        for (const std::string& file : { options.against, path }) {
            const Result<std::string> text = readWholeFile(file);
            if (!text)
                return unreadable(file, text.error());
            const Result<RelayConfig> config = readConfigDocument(text.value());
            if (!config)
                return unreadable(file, config.error());
            configs.push_back(config.value());
        }
        return listLines(compareConfigs(configs.front(), configs.back()));
    }

} // namespace

CtlResult runDocument(const CtlOptions& options)
{
    const std::string& action = options.arguments.front();
    if (action == "check")
        return checkDocument(options, options.arguments.back());
    if (action == "diff")
        return compareDocuments(options, options.arguments.back());
    return { .exitCode = exitUsage, .message = "config takes check or diff, see --help" };
}

} // namespace hickory
