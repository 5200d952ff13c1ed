#include "ctl_explain_func.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <sstream>

namespace hickory {

namespace {

    /// @return the value of the field NAME=VALUE of a log line, without quotes; empty if the field is missing
    std::string logField(const std::string& line, const std::string& name)
    {
        const std::string start = name + "=";
        std::size_t position = line.find(start);
        while (position != std::string::npos && position != 0 && line[position - 1] != ' ')
            position = line.find(start, position + 1);
        if (position == std::string::npos)
            return {};
        position += start.size();
        if (position < line.size() && line[position] == '"')
            return line.substr(position + 1, line.find('"', position + 1) - position - 1);
        return line.substr(position, line.find(' ', position) - position);
    }

    /// @param time UTC time such as 2026-01-22T14:58:52.561Z
    /// @return milliseconds since the Unix epoch, 0 if the time cannot be parsed
    long long parseTimestamp(const std::string& time)
    {
        constexpr int fields = 7;
        constexpr int firstYear = 1900;
        constexpr long long millisecondsPerSecond = 1000;
        std::tm parts {};
        int milliseconds = 0;
        if (std::sscanf(time.c_str(), "%d-%d-%dT%d:%d:%d.%d", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
                &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &milliseconds)
            != fields)
            return 0;
        parts.tm_year -= firstYear;
        --parts.tm_mon;
        return static_cast<long long>(timegm(&parts)) * millisecondsPerSecond + milliseconds;
    }

    /// @return whether a line was logged by a process that handled a request, some seconds before or after it
    bool isNearby(const std::string& line, const std::vector<std::string>& requestLines)
    {
        constexpr long long maxDistanceMs = 10000;
        const long long at = parseTimestamp(logField(line, "time"));
        return std::any_of(requestLines.begin(), requestLines.end(), [&](const std::string& of) {
            return logField(of, "host") == logField(line, "host")
                && std::abs(parseTimestamp(logField(of, "time")) - at) <= maxDistanceMs;
        });
    }

} // namespace

bool belongsToRequest(const std::string& line, const std::string& request)
{
    return !request.empty() && logField(line, "request") == request;
}

std::set<std::string> namedTraits(const std::vector<std::string>& lines)
{
    std::set<std::string> traits;
    for (const std::string& line : lines)
        if (const std::string trait = logField(line, "trait"); !trait.empty())
            traits.insert(trait);
    return traits;
}

bool namesTrait(const std::string& line, const std::set<std::string>& traits)
{
    if (traits.contains(logField(line, "trait")))
        return true;
    std::istringstream list(logField(line, "traits"));
    for (std::string trait; std::getline(list, trait, ',');)
        if (traits.contains(trait))
            return true;
    return false;
}

bool isAboutRequest(const std::string& line) { return !logField(line, "request").empty(); }

bool isRestoreNearby(const std::string& line, const std::vector<std::string>& requestLines)
{
    return logField(line, "event") == "store-restored" && isNearby(line, requestLines);
}

bool isNoticeNearby(const std::string& line, const std::vector<std::string>& requestLines)
{
    static const std::set<std::string> events { "upstream-limit", "upstream-leaves", "upstream-pauses",
        "upstream-ejected", "upstream-answers" };
    if (!events.contains(logField(line, "event")))
        return false;
    const std::string upstream = logField(line, "upstream");
    const bool isNamed = std::any_of(requestLines.begin(), requestLines.end(),
        [&](const std::string& of) { return logField(of, "upstream") == upstream; });
    return isNamed && isNearby(line, requestLines);
}

std::string formatRequestTimeline(std::vector<std::string> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const std::string& left, const std::string& right) {
        return logField(left, "time") < logField(right, "time");
    });
    std::string text;
    const long long first = lines.empty() ? 0 : parseTimestamp(logField(lines.front(), "time"));
    for (const std::string& line : lines) {
        const std::size_t event = line.find("event=");
        text += "+" + std::to_string(parseTimestamp(logField(line, "time")) - first) + " ms " + logField(line, "host")
            + " " + (event == std::string::npos ? line : line.substr(event)) + "\n";
    }
    return text;
}

} // namespace hickory
