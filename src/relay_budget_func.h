#pragma once

#include "relay_state_type.h"

namespace hickory {

/// Counts a request that is sent for the first time.
void countFirstSend(RetryWindow& window, Milliseconds now, Milliseconds length);

/// @return whether takeRetry() would allow a repeat now
bool mayRetry(const RetryWindow& window, const RelayOptions& options, std::uint32_t entries, Milliseconds now);

/// Takes one repeat from this entry's share of the fleet's retry budget.
/// Answers storms in which every entry repeats what a failing service refuses.
/// @param entries alive in the fleet, which share the allowance that does not depend on the load
/// @return whether the repeat may be sent; it is then counted
bool takeRetry(RetryWindow& window, const RelayOptions& options, std::uint32_t entries, Milliseconds now);

} // namespace hickory
