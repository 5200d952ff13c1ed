#pragma once

#include "config_type.h"
#include "error_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// Parses and checks an operators' text.
/// @param text TOML
/// @return the configuration, or InvalidConfig with line, key and reason in the detail
Result<Config> parseConfig(std::string_view text);

/// Orders services so that each comes after all that it depends on.
/// @param config checked configuration (no cycles)
/// @return service names, dependencies first
std::vector<ServiceId> dependencyOrder(const Config& config);

/// Describes what changes between two configurations, in services and replicas.
/// @param before configuration in force
/// @param after proposed configuration
/// @return one human-readable line for each change, empty when they are equal
std::vector<std::string> diffConfig(const Config& before, const Config& after);

} // namespace hickory
