#pragma once

#include "relay_cmd.h"

namespace hickory {

/// Refuses queued requests that no listed upstream may run because of homes or evacuations. To be called when the
/// configuration, the list or the evacuations change. What an upstream has begun waits as long as it has time.
void refuseShutOut(RelayState& state, Milliseconds now, RelayEffects& effects);

/// Applies the homes of the configuration in force to the requests that arrived under earlier ones.
void updateAllowedRegions(RelayState& state);

} // namespace hickory
