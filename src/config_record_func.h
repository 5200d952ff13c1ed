#pragma once

#include "config_state_type.h"
#include "error_type.h"
#include "log_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// Key of the table row that holds the newest accepted configuration.
constexpr const char* currentConfigKey = "config/current";

/// @return key of the table row that keeps this generation in the history
std::string historyKey(Generation generation);

/// @return JSON value of the row `config/current` or of a history row
std::string recordToJson(const ConfigRecord& record);

/// Parses the value of the row `config/current` or of a history row. The TOML text is not parsed.
/// @param json value of the row
/// @return the record; Protocol when the JSON is malformed or lacks a field, Corrupt when the digest does not match
Result<ConfigRecord> recordFromJson(std::string_view json);

/// Makes a configuration the active one if it is newer, matches its digest and can be parsed.
/// @param state active configuration
/// @param record received configuration
/// @param from where it came from, for the log: "store", "operator" or a host name
/// @param log receives a line for an adopted or rejected configuration
/// @return true when the active configuration changed
bool adoptConfig(ConfigState& state, const ConfigRecord& record, const std::string& from, std::vector<LogLine>& log);

} // namespace hickory
