#pragma once

#include "relay_state_type.h"

namespace hickory {

/// Counts a request that is sent for the first time, which extends the retry budget.
/// @param length of the retry window
void countFirstSend(RetryWindow& window, Milliseconds now, Milliseconds length);

/// @return whether takeRetry() would allow a retry now
bool mayRetry(const RetryWindow& window, const RelayOptions& options, std::uint32_t entries, Milliseconds now);

/// Takes one retry from this entry's share of the fleet's retry budget, which prevents a retry storm when a service
/// fails at all entries.
/// @param entries live entries of the fleet, which share RelayOptions::retryExtra equally
/// @return whether the retry may be sent; it is then counted
bool takeRetry(RetryWindow& window, const RelayOptions& options, std::uint32_t entries, Milliseconds now);

} // namespace hickory
