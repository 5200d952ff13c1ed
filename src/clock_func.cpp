#include "clock_type.h"

#include <chrono>
#include <ctime>

namespace hickory {

Milliseconds monotonicNow()
{
    // Unlike the steady clock of the standard library, this one goes on while the host is suspended: what was believed
    // before a suspension must be seen to be old.
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
