#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hickory {

/// Lays out rows in columns of equal width.
/// @param rows cells; the first row holds the titles
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

/// @param status JSON of a Status call
/// @return a table of hosts and a line that says whether the newest generation is in force
std::string formatStatus(const nlohmann::json& status);

/// @param history JSON of a History call
std::string formatHistory(const nlohmann::json& history);

/// Lays out a JSON array of flat objects with the members of the first as columns.
/// @param rows JSON array, or an object with one array member
std::string formatRows(const nlohmann::json& rows);

} // namespace hickory
