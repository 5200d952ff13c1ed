#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hickory {

/// Token bucket that may go into debt: a reservation always succeeds and returns how long to wait. Not thread-safe.
class TokenBucket {
public:
    using Clock = std::chrono::steady_clock;

    /// Sets the rate of later reservations. Waits that earlier reservations caused remain.
    /// @param bytesPerSecond rate limit, 0 for no limit
    void setRate(std::uint64_t bytesPerSecond) { this->rate = bytesPerSecond; }

    /// Reserves bandwidth.
    /// @param bytes bytes to be sent or received
    /// @return time to wait before they may be transferred, zero when they may be at once
    Clock::duration reserve(std::uint64_t bytes, Clock::time_point now)
    {
        if (this->rate == 0)
            return Clock::duration::zero();
        this->availableAt = std::max(this->availableAt, now - maxBurst);
        const Clock::duration wait = this->availableAt - now;
        this->availableAt += std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(this->rate)));
        return std::max(wait, Clock::duration::zero());
    }

private:
    /// Idle time that may be made up for. Longer bursts would delay live traffic on the same link.
    static constexpr std::chrono::milliseconds maxBurst { 50 };

    std::uint64_t rate { 0 }; ///< bytes a second, 0 for no limit
    Clock::time_point availableAt; ///< when all bytes reserved so far have been transferred at the rate
};

} // namespace hickory
