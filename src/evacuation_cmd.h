#pragma once

#include "relay_cmd.h"

namespace hickory {

/// Records which data centres are evacuated. Load pattern: a data centre is emptied while the others carry its load.
/// What has not begun there is taken back if it may be repeated; what has begun ends by itself.
void applyEvacuations(RelayState& state, const EvacuationsUpdated& event, Milliseconds now, RelayEffects& effects);

} // namespace hickory
