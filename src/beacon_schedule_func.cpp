#include "beacon_schedule_func.h"

#include "table/relay_loop_limits.h"

#include <algorithm>

namespace hickory {

bool isRegularBeaconDue(const BeaconSchedule& schedule, Milliseconds period, Milliseconds now)
{
    // The nearest call, not the first one after the period: calls come a little late.
    return now - schedule.regularAt >= period - beaconPeriod / 2;
}

bool mayAnnounceEngines(const BeaconSchedule& schedule, Milliseconds now)
{
    return now - std::max(schedule.regularAt, schedule.engineNewsAt) >= minEngineNewsInterval;
}

} // namespace hickory
