#pragma once

#include "clock_type.h"

#include <map>
#include <string>
#include <vector>

namespace hickory::soak {

/// What a caller asked for.
enum class Ask : std::uint8_t {
    Stream, ///< events of an engine, may be resumed
    Read, ///< may run more than once
    Book, ///< may run at most once
};

/// What callers and upstreams saw of one attempt of a caller.
struct Attempt {
    Ask ask { Ask::Read }; ///< kind of request
    Milliseconds at { 0 }; ///< when it was sent
    int runs { 0 }; ///< times that an upstream began it from its start
    int status { 0 }; ///< of the answer, 0 without one
};

/// Collects what happened and checks the promises of the system against it.
struct Ledger {
    std::map<std::string, Attempt> attempts; ///< by id
    std::vector<std::string> broken; ///< promises that did not hold, in words
    int good { 0 }; ///< complete answers
    int calm { 0 }; ///< requests sent in the calm end of the run
    int calmGood { 0 }; ///< of these answered whole

    void breach(const std::string& text) { this->broken.push_back(text); }

    /// Checks what can only be known at the end: refusals that were not true, and calls that ran twice.
    void close()
    {
        for (const auto& [id, attempt] : this->attempts) {
            const bool saidNotRun = attempt.status == 503 || attempt.status == 429 || attempt.status == 421;
            if (saidNotRun && attempt.runs > 0)
                this->breach("REFUSED " + id + " was answered " + std::to_string(attempt.status) + " and has run");
            if (attempt.ask == Ask::Book && attempt.runs > 1)
                this->breach("TWICE " + id + " ran " + std::to_string(attempt.runs) + " times");
        }
    }
};

constexpr int leastEvents = 3; ///< of a stream

/// @return events of the stream that an attempt asks for
inline int eventsOf(const std::string& id) { return leastEvents + static_cast<int>(std::hash<std::string> {}(id) % 9); }

/// @return one event as an engine writes it
inline std::string eventText(const std::string& id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "/" + std::to_string(number) + "\n\n";
}

} // namespace hickory::soak
