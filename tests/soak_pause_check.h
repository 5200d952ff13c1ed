#pragma once

#include "soak_ledger.h"

#include <string>

namespace hickory::soak {

/// What the check of pauses saw, to tell an empty check from a passed one.
struct PauseFigures {
    std::size_t asked { 0 }; ///< answers 503 with Retry-After
    std::size_t judged { 0 }; ///< of these, those that ask for longer than pauseLead and are not excused
    std::size_t excused { 0 }; ///< of these, those whose entry was restarted, frozen or cut off meanwhile
    std::size_t arrivals { 0 }; ///< requests that reached upstreams in judged pauses
    std::size_t most { 0 }; ///< of these, in one pause
};

/// Adds a violation of BUDGET for each upstream and entry of which too many requests arrived in a pause. The entry
/// that passed a request on is the one that its caller sent it to: entries pass requests to upstreams only.
PauseFigures checkPauses(Ledger& ledger);

/// @return the figures as a line of text
std::string pauseText(const PauseFigures& figures);

} // namespace hickory::soak
