#pragma once

#include "error_type.h"
#include "settings_type.h"

#include <string>

namespace hickory {

/// Reads and validates an entry's settings file. Unknown keys and values out of range are errors, as in all functions
/// below.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<EntrySettings> loadEntrySettings(const std::string& path);

/// Reads and validates an agent's settings file.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<AgentSettings> loadAgentSettings(const std::string& path);

/// Checks whether a settings file has a table. A program with several roles chooses its role by this.
/// @param path TOML file
/// @param table name of a top-level table
/// @return true when the file can be parsed and has the table
bool hasSettingsTable(const std::string& path, std::string_view table);

/// Reads and validates the settings of an entry that connects directly to upstreams.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<RelaySettings> loadRelaySettings(const std::string& path);

/// Reads and validates the settings of an agent that only loads weights.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<LoaderSettings> loadLoaderSettings(const std::string& path);

/// Reads and validates hickoryctl's settings file.
/// @param path TOML file
/// @return settings, or InvalidSettings with file, line, key and allowed range in the detail
Result<CtlSettings> loadCtlSettings(const std::string& path);

} // namespace hickory
