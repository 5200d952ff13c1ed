#pragma once

#include "error_type.h"
#include "settings_type.h"

#include <string>

namespace hickory {

/// Reads and checks an entry's settings file. Unknown keys and values out of range are errors.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<EntrySettings> loadEntrySettings(const std::string& path);

/// Reads and checks an agent's settings file.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<AgentSettings> loadAgentSettings(const std::string& path);

/// Reads and checks hickoryctl's settings file.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<ControlSettings> loadControlSettings(const std::string& path);

} // namespace hickory
