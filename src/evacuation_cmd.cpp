#include "evacuation_cmd.h"

#include "cold_start_cmd.h"

namespace hickory {

void applyEvacuations(RelayState& state, const EvacuationsUpdated& event, Milliseconds now, RelayEffects& effects)
{
    // Its engines may have become cold just before it was evacuated.
    for (const DataCentreId& dataCentre : state.evacuated)
        if (!event.dataCentres.contains(dataCentre))
            assumeDataCentreCold(state, dataCentre, now, effects);
    state.evacuated = event.dataCentres;
    dispatchAllWaiting(state, now, effects);
}

} // namespace hickory
