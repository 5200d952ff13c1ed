#include "evacuation_cmd.h"

namespace hickory {

void applyEvacuations(RelayState& state, const EvacuationsUpdated& event, Milliseconds now, RelayEffects& effects)
{
    state.evacuated = event.dataCentres;
    dispatchAllWaiting(state, now, effects);
}

} // namespace hickory
