#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hickory {

/// Formats rows as a table with left-aligned columns.
/// @param rows cells of each row; the first row holds the column titles
/// @return the table, one line per row
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

/// @param status response body of GET /v1/status
/// @return a table of hosts, followed by a line that says whether the newest generation is in force
std::string formatStatus(const nlohmann::json& status);

/// @param history response body of GET /v1/config/history
/// @return a table of generations with change ids and shortened digests
std::string formatHistory(const nlohmann::json& history);

/// Formats a JSON array of flat objects as a table; the members of the first object are the columns.
/// @param rows JSON array, or an object of which the first array member is used
/// @return the table, or "nothing to show" for an empty value; anything else is returned as indented JSON
std::string formatRows(const nlohmann::json& rows);

} // namespace hickory
