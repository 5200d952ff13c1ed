#pragma once

#include "relay_type.h"

#include <string>
#include <vector>

namespace hickory {

/// Compares two configurations of the platform as entries decode them. Routes are matched by name, or by host and
/// prefix if they have none; services and workspaces by name.
/// @param before configuration in force
/// @param after configuration to be submitted
/// @return one line for each difference, those that weigh most for callers first: removals, then access, then routing,
///         then limits, then additions; keys are shortened
std::vector<std::string> compareConfigs(const RelayConfig& before, const RelayConfig& after);

} // namespace hickory
