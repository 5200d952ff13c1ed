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

/// Tells whether a settings file has a table, so that a program knows which of its roles is asked for.
/// @param path TOML file
/// @param table name at the root
/// @return whether the file can be read and has the table
bool hasSettingsTable(const std::string& path, std::string_view table);

/// Reads and checks the settings of an entry that reaches upstreams directly.
Result<RelaySettings> loadRelaySettings(const std::string& path);

/// Reads and checks the settings of an agent that only loads weights.
Result<LoaderSettings> loadLoaderSettings(const std::string& path);

/// Reads and checks hickoryctl's settings file.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<ControlSettings> loadControlSettings(const std::string& path);

} // namespace hickory
