#pragma once

#include "relay_cmd.h"

namespace hickory {

/// Records which data centres are evacuated. Load pattern: a data centre is emptied while the others carry its load.
/// What has not begun there is taken back if it may be repeated; what has begun ends by itself.
void applyEvacuations(RelayState& state, const EvacuationsUpdated& event, Milliseconds now, RelayEffects& effects);

/// Takes back from evacuated data centres what has not begun there and may be repeated: at once where another upstream
/// can begin it at once, else after half of RelayOptions::maxEvacuationDelay. To be called periodically.
void leaveEvacuated(RelayState& state, Milliseconds now, RelayEffects& effects);

} // namespace hickory
