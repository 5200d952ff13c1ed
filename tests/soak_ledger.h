#pragma once

#include "clock_type.h"

#include <map>
#include <string>
#include <vector>

namespace hickory::soak {

/// Kind of a request, as set on its route.
enum class RequestKind : std::uint8_t {
    Streaming, ///< event stream of an engine, resumable after an event
    Idempotent, ///< may be executed more than once
    NonIdempotent, ///< must be executed at most once
};

/// One request of a caller, as seen by the caller and by the upstreams.
struct Attempt {
    RequestKind requestKind { RequestKind::Idempotent }; ///< decides how many executions are allowed
    Milliseconds at { 0 }; ///< time of sending, on the monotonic clock
    int executions { 0 }; ///< times that an upstream started it from the beginning; a resumed stream does not count
    int status { 0 }; ///< HTTP status, 0 without a complete response
};

/// Records what callers and upstreams saw, and the violations of guarantees found so far. A violation starts with the
/// code of its rule: MIXED (response of another request), ORDER (events of a stream lost, repeated or reordered),
/// REFUSED (a request reported as not run has run), TWICE (executed more often than allowed), UNASKED (an upstream got
/// a request that no caller sent, or with the caller's key), WHOLE (weights ordered with a wrong piece), VERSION (an
/// engine serves outdated weights), READY and START (an entry is not ready in time), EXIT (unexpected end of a
/// process), UNANSWERED (a request failed although no fault was active), SOAK (the test equipment failed).
struct Ledger {
    std::map<std::string, Attempt> attempts; ///< all requests sent so far, by their Attempt-Id header
    std::vector<std::string> violations; ///< one line each, code of the rule first
    int answered { 0 }; ///< requests with a complete response of status 200
    int faultFreeRequests { 0 }; ///< requests sent in the fault-free end of the run
    int faultFreeAnswered { 0 }; ///< fault-free requests with a complete response of status 200

    /// @param text code of the rule, then what was seen
    void addViolation(const std::string& text) { this->violations.push_back(text); }

    /// Checks the rules that need the final execution counts: a refused request must not have run (REFUSED), and a
    /// non-idempotent one must not have run twice (TWICE).
    void checkAtEnd()
    {
        for (const auto& [id, attempt] : this->attempts) {
            const bool saidNotRun = attempt.status == 503 || attempt.status == 429 || attempt.status == 421;
            if (saidNotRun && attempt.executions > 0)
                this->addViolation(
                    "REFUSED " + id + " was answered " + std::to_string(attempt.status) + " and has run");
            if (attempt.requestKind == RequestKind::NonIdempotent && attempt.executions > 1)
                this->addViolation("TWICE " + id + " ran " + std::to_string(attempt.executions) + " times");
        }
    }
};

constexpr int minEventCount = 3; ///< events of the shortest stream

/// @return number of events in the stream of an attempt, 3 to 11, derived from its id
inline int eventCount(const std::string& id)
{
    return minEventCount + static_cast<int>(std::hash<std::string> {}(id) % 9);
}

/// @param number index of the event, from 1
/// @return the event as an engine writes it
inline std::string eventText(const std::string& id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "/" + std::to_string(number) + "\n\n";
}

/// @return whether the first run of an attempt's stream ends inside its second event as if it were complete; derived
/// from the attempt's id, for one in 16
inline bool endsInsideEvent(const std::string& id) { return std::hash<std::string> {}(id) / 9 % 16 == 0; }

} // namespace hickory::soak
