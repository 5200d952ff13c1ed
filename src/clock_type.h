#pragma once

#include <compare>
#include <cstdint>

namespace hickory {

/// A span of time, or a point in time counted from an epoch that the owner of the value names, in milliseconds.
struct Milliseconds {
    std::int64_t value { 0 }; ///< count of milliseconds

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

/// Reads the monotonic clock of the process.
/// @return time since an arbitrary epoch that stays fixed for the life of the process
Milliseconds monotonicNow();

/// Reads the wall clock.
/// @return time since the Unix epoch
Milliseconds wallNow();

} // namespace hickory
