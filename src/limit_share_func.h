#pragma once

#include "clock_type.h"

#include <cstdint>

namespace hickory {

/// A limit on the requests that all entries together may send to an upstream, and the part of one entry in it.
struct SharedLimit {
    double requestsPerSecond { 0 }; ///< of all entries together
    std::uint32_t sharers { 1 }; ///< entries that share it equally, at least 1; the others send nothing
    bool sharesHere { true }; ///< this entry is one of them
    double most { 1.0 }; ///< requests that one of them may send at once, at least 1
};

/// Requests that an entry has left of its share of a limit.
struct LimitAllowance {
    double requests { 0 }; ///< that may be sent at once, as of refilledAt; below 1 if none
    Milliseconds refilledAt; ///< when it was last computed
};

/// @return requests a second that this entry may send
double shareOf(const SharedLimit& limit);

/// @return requests that this entry may send at once
double allowanceAt(const SharedLimit& limit, const LimitAllowance& allowance, Milliseconds now);

/// Takes requests off an allowance.
/// @param requests 0 to compute it only, before the limit changes
void spendAllowance(const SharedLimit& limit, LimitAllowance& allowance, double requests, Milliseconds now);

} // namespace hickory
