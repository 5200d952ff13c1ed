#pragma once

#include "relay_cmd.h"

namespace hickory {

/// Applies the homes of the configuration in force to the requests that arrived under earlier ones.
void updateAllowedRegions(RelayState& state);

} // namespace hickory
