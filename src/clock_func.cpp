#include "clock_type.h"

#include <chrono>
#include <ctime>

namespace hickory {

Milliseconds monotonicNow()
{
    // CLOCK_BOOTTIME also advances while the host is suspended, unlike std::chrono::steady_clock. Leases and statuses
    // from before a suspension must look as old as they are.
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t nanosecondsPerMillisecond = 1000000;
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return { now.tv_sec * millisecondsPerSecond + now.tv_nsec / nanosecondsPerMillisecond };
}

Milliseconds wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
}

} // namespace hickory
