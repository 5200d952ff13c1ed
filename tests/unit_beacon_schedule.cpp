#include "beacon_schedule_func.h"
#include "table/relay_loop_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Load pattern: a new version comes into service, and engines of the data centre change every few ms. Guards against
// news of leaving upstreams that wait while beacons are sent for these engines.
TEST_CASE("Beacons that are sent at once for engines do not put the regular ones off", "[beacon]")
{
    for (const Milliseconds period : { beaconPeriod, maxDataCentreBeaconPeriod }) {
        BeaconSchedule schedule;
        Milliseconds longestPause { 0 };
        int atOnce = 0;
        constexpr Milliseconds end { 4000 };
        for (Milliseconds now { 1 }; now < end; now += Milliseconds { 1 }) {
            const bool engineChanges = now.value % 7 == 0;
            if (engineChanges && mayAnnounceEngines(schedule, now)) {
                schedule.engineNewsAt = now;
                ++atOnce;
            }
            if (now.value % beaconPeriod.value == 0 && isRegularBeaconDue(schedule, period, now)) {
                if (schedule.regularAt.value != 0)
                    longestPause = std::max(longestPause, now - schedule.regularAt);
                schedule.regularAt = now;
            }
        }
        CHECK(longestPause <= period + beaconPeriod / 2);
        CHECK(atOnce <= end.value / minEngineNewsInterval.value);
        CHECK(atOnce > 100);
    }
}
