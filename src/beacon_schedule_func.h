#pragma once

#include "clock_type.h"

namespace hickory {

/// When an entry last sent beacons to the entries of its data centre. Only regular ones carry what upstreams said of
/// themselves, so that one that is sent at once for an engine must not put the next regular one off.
struct BeaconSchedule {
    Milliseconds regularAt { 0 }; ///< last regular beacon
    Milliseconds engineNewsAt { 0 }; ///< last beacon that was sent at once
};

/// @param period time between regular beacons
/// @return whether a regular beacon is due at a call that comes each beaconPeriod
bool isRegularBeaconDue(const BeaconSchedule& schedule, Milliseconds period, Milliseconds now);

/// @return whether a beacon may be sent at once since an engine changed
bool mayAnnounceEngines(const BeaconSchedule& schedule, Milliseconds now);

} // namespace hickory
