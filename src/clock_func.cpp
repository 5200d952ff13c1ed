#include "clock_type.h"

#include <chrono>

namespace hickory {

Milliseconds monotonicNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
}

Milliseconds wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
}

} // namespace hickory
