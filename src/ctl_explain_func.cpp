#include "ctl_explain_func.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace hickory {

namespace {

    /// @return the value of a field of a log line, without quotes; empty when it is missing
    std::string fieldOf(const std::string& line, const std::string& name)
    {
        const std::string start = name + "=";
        std::size_t at = line.find(start);
        while (at != std::string::npos && at != 0 && line[at - 1] != ' ')
            at = line.find(start, at + 1);
        if (at == std::string::npos)
            return {};
        at += start.size();
        if (at < line.size() && line[at] == '"')
            return line.substr(at + 1, line.find('"', at + 1) - at - 1);
        return line.substr(at, line.find(' ', at) - at);
    }

    /// @param time e.g. 2026-01-22T14:58:52.561Z
    /// @return ms since some fixed moment, 0 when it is not a time
    long long millisecondsOf(const std::string& time)
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

} // namespace

bool concernsRequest(const std::string& line, const std::string& request)
{
    return !request.empty() && fieldOf(line, "request") == request;
}

std::string explainRequest(std::vector<std::string> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const std::string& left, const std::string& right) {
        return fieldOf(left, "time") < fieldOf(right, "time");
    });
    std::string text;
    const long long first = lines.empty() ? 0 : millisecondsOf(fieldOf(lines.front(), "time"));
    for (const std::string& line : lines) {
        const std::size_t event = line.find("event=");
        text += "+" + std::to_string(millisecondsOf(fieldOf(line, "time")) - first) + " ms " + fieldOf(line, "host")
            + " " + (event == std::string::npos ? line : line.substr(event)) + "\n";
    }
    return text;
}

} // namespace hickory
