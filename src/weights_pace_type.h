#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hickory {

/// Token bucket that lets its user borrow: a reservation always succeeds and says how long to wait.
/// Not safe from several threads without a lock.
class TokenBucket {
public:
    using Clock = std::chrono::steady_clock;

    /// @param bytesPerSecond pace, 0 for no limit. Debt already taken on is kept.
    void setRate(std::uint64_t bytesPerSecond) { this->rate = bytesPerSecond; }

    /// @param bytes bytes to be sent or read
    /// @return time to wait until they fit the pace
    Clock::duration reserve(std::uint64_t bytes, Clock::time_point now)
    {
        if (this->rate == 0)
            return Clock::duration::zero();
        this->free = std::max(this->free, now - burst);
        const Clock::duration wait = this->free - now;
        this->free += std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(this->rate)));
        return std::max(wait, Clock::duration::zero());
    }

private:
    /// Idle time that may be caught up. Longer bursts would delay live traffic on the same link.
    static constexpr std::chrono::milliseconds burst { 50 };

    std::uint64_t rate { 0 }; ///< bytes a second, 0 for no limit
    Clock::time_point free; ///< when the bytes reserved so far have passed
};

} // namespace hickory
