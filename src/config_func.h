#pragma once

#include "config_type.h"
#include "error_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// Parses and validates a configuration.
/// @param text TOML source
/// @return the configuration, or InvalidConfig with line, key and reason in the detail
Result<Config> parseConfig(std::string_view text);

/// Sorts services topologically by their dependencies.
/// @return service names, dependencies first. Left out are services on a cycle, those with an unknown dependency, and
/// those that depend on a service left out.
std::vector<ServiceId> dependencyOrder(const Config& config);

/// Describes the differences between two configurations and how many replicas they reload.
/// @param before active configuration
/// @param after proposed configuration
/// @return one human-readable line for each difference, empty when the configurations are equal
std::vector<std::string> diffConfig(const Config& before, const Config& after);

} // namespace hickory
