#pragma once

#include <compare>
#include <cstdint>

namespace hickory {

/// A duration, or a point in time relative to an epoch that the declaration of the value names, in milliseconds.
struct Milliseconds {
    std::int64_t value { 0 };

    constexpr auto operator<=>(const Milliseconds&) const = default;
    constexpr Milliseconds operator+(Milliseconds other) const { return { this->value + other.value }; }
    constexpr Milliseconds operator-(Milliseconds other) const { return { this->value - other.value }; }
    constexpr Milliseconds operator*(std::int64_t factor) const { return { this->value * factor }; }
    constexpr Milliseconds operator/(std::int64_t divisor) const { return { this->value / divisor }; }
    constexpr Milliseconds& operator+=(Milliseconds other)
    {
        this->value += other.value;
        return *this;
    }
};

/// Reads the monotonic clock, which also advances while the host is suspended.
/// @return time since an arbitrary epoch that does not change while the process runs
Milliseconds monotonicNow();

/// Reads the wall clock.
/// @return time since the Unix epoch
Milliseconds wallNow();

} // namespace hickory
