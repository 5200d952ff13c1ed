#include "front_idle_func.h"

#include "table/front_limits.h"

namespace hickory {

Milliseconds reusableTime(Milliseconds limit)
{
    constexpr std::int64_t fifths = 5;
    return limit * reusableFifths / fifths;
}

} // namespace hickory
