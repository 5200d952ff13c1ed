#pragma once

#include "config_state_type.h"
#include "error_type.h"
#include "log_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// Key of the row that holds the accepted configuration.
constexpr const char* currentConfigKey = "config/current";

/// @param generation an accepted generation
/// @return key of its history row
std::string historyKey(Generation generation);

/// @param record an accepted configuration
/// @return JSON as stored in `config/current` and in history rows
std::string recordToJson(const ConfigRecord& record);

/// @param json value of a row
/// @return the record, or Protocol when a field is missing, or Corrupt when the text does not match its digest
Result<ConfigRecord> recordFromJson(std::string_view json);

/// Adopts a configuration if it is newer than the one in force and can be parsed. The generation in force never falls.
/// @param state configuration in force
/// @param record offered configuration
/// @param from where it came from, for the log
/// @param log receives what was decided
/// @return true when the configuration in force changed
bool adoptConfig(ConfigState& state, const ConfigRecord& record, const std::string& from, std::vector<LogLine>& log);

} // namespace hickory
