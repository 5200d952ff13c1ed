#include "ctl_text_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

    using Json = nlohmann::json;
    using Row = std::vector<std::string>;

    constexpr std::size_t columnGap = 2; ///< spaces between columns

    /// @return text of a JSON value; array elements are joined by commas, null is empty
    std::string cellText(const Json& value)
    {
        if (value.is_string())
            return value.get<std::string>();
        if (!value.is_array())
            return value.is_null() ? "" : value.dump();
        std::string text;
        for (const Json& element : value)
            text += (text.empty() ? "" : ",") + cellText(element);
        return text;
    }

    /// @return text of a member of a JSON object, empty if it is missing
    std::string fieldText(const Json& row, const char* key)
    {
        const auto found = row.find(key);
        return found == row.end() ? "" : cellText(*found);
    }

    std::string agentState(const Json& agent)
    {
        if (agent.value("leaving", false))
            return "leaving";
        return agent.value("ready", false) ? "ready" : "not-ready";
    }

    std::string entryState(const Json& entry)
    {
        if (!entry.value("reachable", true))
            return "unreachable";
        return entry.value("leaving", false) ? "leaving" : "live";
    }

    /// @return "VERSION HAVE/TOTAL" in chunks of the version that is being fetched or loaded, empty if there is none
    std::string fetchProgress(const Json& agent)
    {
        const std::string version = fieldText(agent, "wanted_version");
        return version.empty()
            ? ""
            : version + " " + fieldText(agent, "chunks_have") + "/" + fieldText(agent, "chunks_total");
    }

} // namespace

std::string formatTable(const std::vector<Row>& rows)
{
    std::vector<std::size_t> widths;
    for (const Row& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const Row& row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] + columnGap - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string formatStatus(const Json& status)
{
    std::vector<Row> rows { { "HOST", "RUNS", "PLACE", "STATE", "GENERATION", "SERVICE", "MODEL", "RUNNING", "QUEUED",
        "FETCHING", "DETAIL" } };
    for (const Json& entry : status.value("entries", Json::array())) {
        rows.push_back({ fieldText(entry, "host"), "entry", "", entryState(entry), fieldText(entry, "generation") });
        for (const Json& agent : entry.value("agents", Json::array()))
            rows.push_back({ fieldText(agent, "host"), "agent", fieldText(agent, "place"), agentState(agent),
                fieldText(agent, "generation"), fieldText(agent, "service"),
                fieldText(agent, "model") + " " + fieldText(agent, "version"), fieldText(agent, "running"),
                fieldText(agent, "queued"), fetchProgress(agent), fieldText(agent, "detail") });
    }
    std::sort(rows.begin() + 1, rows.end(), [](const Row& left, const Row& right) {
        return std::tie(right[1], left[0]) < std::tie(left[1], right[0]); // entries before agents, then by host
    });
    std::string text = formatTable(rows) + "\ngeneration " + fieldText(status, "generation");
    if (status.value("in_force", false))
        return text + " is in force on every live host\n";
    return text + " is not in force everywhere; waiting for " + fieldText(status, "waiting_for") + "\n";
}

std::string formatHistory(const Json& history)
{
    std::vector<Row> rows { { "GENERATION", "CHANGE", "DIGEST" } };
    constexpr std::size_t shortDigest = 12;
    for (const Json& entry : history.value("history", Json::array())) {
        const bool known = entry.value("known", false);
        rows.push_back({ fieldText(entry, "generation"), known ? fieldText(entry, "change_id") : "(not readable now)",
            fieldText(entry, "digest").substr(0, shortDigest) });
    }
    return formatTable(rows);
}

std::string formatRows(const Json& rows)
{
    if (rows.is_object()) {
        for (const Json& member : rows)
            if (member.is_array())
                return formatRows(member);
        return rows.dump(2) + "\n";
    }
    if (!rows.is_array() || rows.empty() || !rows.front().is_object())
        return rows.empty() ? "nothing to show\n" : rows.dump(2) + "\n";
    std::vector<Row> table(1);
    std::vector<std::string> keys;
    for (const auto& [key, value] : rows.front().items()) {
        keys.push_back(key);
        table.front().push_back(key);
    }
    for (const Json& row : rows) {
        table.emplace_back();
        for (const std::string& key : keys)
            table.back().push_back(fieldText(row, key.c_str()));
    }
    for (std::string& title : table.front())
        std::transform(title.begin(), title.end(), title.begin(),
            [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    return formatTable(table);
}

} // namespace hickory
