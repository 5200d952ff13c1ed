#pragma once

#include "soak_ledger.h"

#include <map>
#include <string>

namespace hickory::soak {

/// What became of a request.
enum class Outcome : std::uint8_t {
    Unbegun, ///< no upstream began it
    Answered, ///< its caller got the whole answer
    Refused, ///< answered as not run, which REFUSED judges
    Excused, ///< it ended without its answer for a reason that is allowed
    Lost, ///< a sound upstream had begun it, and it ended without its answer
};

/// Judgement on one request.
struct Verdict {
    Outcome outcome { Outcome::Unbegun };
    std::string reason; ///< the excuse, or what was seen of a lost request; else empty
};

/// What the check saw, to tell an empty check from a passed one.
struct LostFigures {
    std::size_t begun { 0 }; ///< requests that an upstream began
    std::size_t answered { 0 }; ///< of these, those whose callers got the whole answer
    std::size_t refused { 0 }; ///< of these, those answered as not run
    std::size_t silent { 0 }; ///< of these, those whose upstream was silent while it worked on them
    std::size_t silentAnswered { 0 }; ///< of the silent ones, those answered
    std::size_t lost { 0 };
    std::map<std::string, std::size_t> excused; ///< number by excuse
};

/// Judges a request from what its caller and the upstreams saw.
/// @param gracePeriod of entries, from SIGTERM
Verdict judgeAttempt(const Ledger& ledger, const std::string& id, const Attempt& attempt, Milliseconds gracePeriod);

/// Adds a violation of LOST for each lost request, and one of SOAK if too few requests were judged.
LostFigures checkLost(Ledger& ledger, Milliseconds gracePeriod);

/// @return the figures as a line of text
std::string lostText(const LostFigures& figures);

} // namespace hickory::soak
