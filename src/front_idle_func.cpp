#include "front_idle_func.h"

#include "table/front_limits.h"

namespace hickory {

Milliseconds reusableTime(Milliseconds limit)
{
    constexpr std::int64_t fifths = 5;
    return limit * reusableFifths / fifths;
}

std::string keepAliveValue(Milliseconds limit)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    return "timeout=" + std::to_string(reusableTime(limit).value / millisecondsPerSecond);
}

} // namespace hickory
