#pragma once

#include "clock_type.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory::soak {

/// Kind of a request, as set on its route.
enum class RequestKind : std::uint8_t {
    Streaming, ///< event stream of an engine, resumable after an event
    Idempotent, ///< may be executed more than once
    NonIdempotent, ///< must be executed at most once
};

/// What is wrong with the answer of the first upstream that runs a request.
enum class AnswerFault : std::uint8_t {
    None,
    EndsInsideEvent, ///< a stream ends inside its second event as if it were complete
    Endless, ///< a plain answer, or the second event of a stream, has no end
    EndlessEvents, ///< a stream goes on without end, and its caller does not read it
};

/// A run of a request at an upstream, as seen by the upstream.
struct Run {
    std::string upstream; ///< stable name of the upstream
    Milliseconds beganAt { 0 }; ///< when it began to work on the request
    std::optional<Milliseconds> completedAt; ///< when it had written the whole answer
    std::optional<Milliseconds> closedAt; ///< when it noticed that the entry had closed the connection
    bool failed { false }; ///< the upstream crashed or broke the answer off
};

/// A time in which a host or its link was disturbed, both bounds included.
struct TimeSpan {
    Milliseconds from { 0 };
    Milliseconds until { 0 };
};

/// A time in which an upstream wants no requests of an entry, since it answered that entry 503 with Retry-After.
struct Pause {
    std::string upstream; ///< stable name of the upstream
    std::string server; ///< id of its process
    std::string entry; ///< that sent the request
    TimeSpan span; ///< from the answer, as long as it says
};

/// A request that reached an upstream, whether it ran or not.
struct Arrival {
    std::string server; ///< id of the upstream's process
    std::string entry; ///< that the caller sent the request to
    Milliseconds at { 0 };
};

/// One request of a caller, as seen by the caller and by the upstreams.
struct Attempt {
    RequestKind requestKind { RequestKind::Idempotent }; ///< decides how many executions are allowed
    Milliseconds at { 0 }; ///< time of sending, on the monotonic clock
    AnswerFault fault { AnswerFault::None }; ///< of its first answer
    int executions { 0 }; ///< times that an upstream started it from the beginning; a resumed stream does not count
    int status { 0 }; ///< HTTP status, 0 without a complete response
    std::string promptParts; ///< Prefix-Hash header, empty for none
    bool deadly { false }; ///< the prompt contains Ledger::deadlyPart before its last part
    bool began { false }; ///< the caller got bytes of a body with status 200
    std::optional<Milliseconds> leftAt; ///< when the caller closed its connection before the answer was complete
    std::string entry; ///< name of the entry that it was sent to
    Milliseconds deadline { 0 }; ///< from sending, as the caller told the entry
    bool leavesEarly { false }; ///< the caller leaves before the deadline
    std::optional<Milliseconds> endedAt; ///< when the answer was complete, the connection ended or the caller left
    std::vector<Run> runs; ///< at upstreams, in the order of their beginnings
};

/// @return whether a status promises that the request has not run
inline bool saysNotRun(int status) { return status == 503 || status == 429 || status == 421; }

/// What requests with the deadly part did to engines and to other requests.
struct DeadlyFigures {
    std::size_t crashes { 0 }; ///< engines that the part ended, each start counted
    std::size_t lateArrivals { 0 }; ///< requests with the part that reached engines after the bound of BUDGET
    std::size_t before { 0 }; ///< other streams sent before the first request with the part
    std::size_t beganBefore { 0 }; ///< those of them that began
    std::size_t after { 0 }; ///< other streams sent after the bound of LOST, while requests with the part still came
    std::size_t beganAfter { 0 }; ///< those of them that began
};

/// Time within which the fleet must contain a part that crashes engines: the shortest on the users' installations.
constexpr Milliseconds stableWindow { 3000 };

/// Records what callers and upstreams saw, and the violations of guarantees found so far. A violation starts with the
/// code of its rule: MIXED (response of another request), ORDER (events of a stream lost, repeated or reordered),
/// REFUSED (a request reported as not run has run), TWICE (executed more often than allowed), UNASKED (an upstream got
/// a request that no caller sent, or with the caller's key), WHOLE (weights ordered with a wrong piece), VERSION (an
/// engine serves outdated weights), READY and START (an entry is not ready in time), EXIT (unexpected end of a
/// process), UNANSWERED (a request failed although no fault was active), BUDGET (a part that crashes engines reaches
/// them too often, or requests reach an upstream that asked for a pause), ENDLESS (an entry reads an answer without
/// end), LOST (requests without that part are served too rarely; a request that a sound upstream had begun ended
/// without its answer), SOAK (the test equipment failed).
struct Ledger {
    std::map<std::string, Attempt> attempts; ///< all requests sent so far, by their Attempt-Id header
    std::vector<std::string> violations; ///< one line each, code of the rule first
    int answered { 0 }; ///< requests with a complete response of status 200
    int faultFreeRequests { 0 }; ///< requests sent in the fault-free end of the run
    std::size_t longestEndless { 0 }; ///< bytes that an upstream could send of an answer without end
    int faultFreeAnswered { 0 }; ///< fault-free requests with a complete response of status 200
    bool unframedAnswers { false }; ///< every fourth answer of an upstream ends with its connection
    std::string deadlyPart; ///< id of the prompt part that crashes engines, empty for none
    std::vector<Milliseconds> crashes; ///< when it crashed an engine
    std::vector<Milliseconds> deadlyArrivals; ///< when a request with it reached an engine
    /// Faults of the soak, by name of the entry (killed, frozen) or upstream (its link cut, frozen or delayed)
    std::map<std::string, std::vector<TimeSpan>> disturbances;
    std::map<std::string, std::vector<Milliseconds>> starts; ///< times of further starts by name of the entry
    std::vector<Pause> pauses; ///< that upstreams asked for
    std::vector<Arrival> arrivals; ///< of callers' requests at upstreams
    std::map<std::string, std::vector<Milliseconds>> stops; ///< times of SIGTERM by name of the entry
    std::map<std::string, std::vector<TimeSpan>> silences; ///< of upstreams that are sound, by name

    /// @return whether upstreams send the answer to an attempt with neither a length nor chunks
    bool endsWithConnection(const std::string& attempt) const
    {
        return this->unframedAnswers && std::hash<std::string> {}(attempt + "/framing") % 4 == 0;
    }

    /// @return whether a host or its link was disturbed in a time, both bounds included
    bool isDisturbed(const std::string& name, Milliseconds from, Milliseconds until) const
    {
        return overlaps(this->disturbances, name, from, until);
    }
    /// @return whether a sound upstream was silent in a time, both bounds included
    bool isSilent(const std::string& name, Milliseconds from, Milliseconds until) const
    {
        return overlaps(this->silences, name, from, until);
    }

    /// @param text code of the rule, then what was seen
    void addViolation(const std::string& text) { this->violations.push_back(text); }

    /// Checks the rules that need the final execution counts: a refused request must not have run (REFUSED), and a
    /// non-idempotent one must not have run twice (TWICE).
    void checkAtEnd()
    {
        for (const auto& [id, attempt] : this->attempts) {
            if (saysNotRun(attempt.status) && attempt.executions > 0)
                this->addViolation(
                    "REFUSED " + id + " was answered " + std::to_string(attempt.status) + " and has run");
            if (attempt.requestKind == RequestKind::NonIdempotent && attempt.executions > 1)
                this->addViolation("TWICE " + id + " ran " + std::to_string(attempt.executions) + " times");
        }
        if (!this->deadlyPart.empty())
            this->checkDeadlyPart();
    }

    /// @return what is known so far of the deadly part's effects
    DeadlyFigures deadlyFigures() const
    {
        DeadlyFigures figures { .crashes = this->crashes.size() };
        Milliseconds firstDeadly { 0 };
        Milliseconds lastDeadly { 0 };
        for (const auto& [id, attempt] : this->attempts) {
            if (!attempt.deadly)
                continue;
            firstDeadly = firstDeadly.value == 0 ? attempt.at : std::min(firstDeadly, attempt.at);
            lastDeadly = std::max(lastDeadly, attempt.at);
        }
        if (this->crashes.empty())
            return figures;
        const bool enough = this->crashes.size() >= crashesToContain;
        const Milliseconds reference = enough ? this->crashes[crashesToContain - 1] : this->crashes.back();
        if (enough)
            figures.lateArrivals = static_cast<std::size_t>(std::count_if(this->deadlyArrivals.begin(),
                this->deadlyArrivals.end(), [&](Milliseconds at) { return at > reference + stableWindow; }));
        for (const auto& [id, attempt] : this->attempts) {
            if (attempt.requestKind != RequestKind::Streaming || attempt.deadly)
                continue;
            const bool before = attempt.at < firstDeadly;
            const bool after = attempt.at > reference + stableWindow * 2 && attempt.at < lastDeadly;
            figures.before += before ? 1 : 0;
            figures.beganBefore += before && attempt.began ? 1 : 0;
            figures.after += after ? 1 : 0;
            figures.beganAfter += after && attempt.began ? 1 : 0;
        }
        return figures;
    }

private:
    static constexpr std::size_t crashesToContain = 5; ///< from this crash on the part must be contained

    static bool overlaps(const std::map<std::string, std::vector<TimeSpan>>& spans, const std::string& name,
        Milliseconds from, Milliseconds until)
    {
        const auto found = spans.find(name);
        return found != spans.end()
            && std::any_of(found->second.begin(), found->second.end(),
                [&](const TimeSpan& span) { return span.from <= until && span.until >= from; });
    }

    /// Checks that the fleet contained the deadly part (BUDGET) and still served other requests (LOST).
    void checkDeadlyPart()
    {
        constexpr std::size_t maxLateArrivals = 3;
        constexpr std::size_t minCompared = 20;
        const DeadlyFigures figures = this->deadlyFigures();
        if (figures.crashes == 0)
            this->addViolation("SOAK no engine crashed on the deadly part");
        if (figures.lateArrivals > maxLateArrivals)
            this->addViolation("BUDGET " + std::to_string(figures.lateArrivals)
                + " requests with the deadly part reached engines later than " + std::to_string(stableWindow.value)
                + " ms after the fifth crash");
        if (figures.before < minCompared || figures.after < minCompared)
            this->addViolation("SOAK too few streams to compare: " + std::to_string(figures.before) + " before, "
                + std::to_string(figures.after) + " after");
        else if (2 * figures.beganAfter * figures.before < figures.beganBefore * figures.after)
            this->addViolation("LOST " + std::to_string(figures.beganAfter) + " of " + std::to_string(figures.after)
                + " streams without the deadly part began, " + std::to_string(figures.beganBefore) + " of "
                + std::to_string(figures.before) + " before it came");
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

/// @return fault of an attempt's first answer, derived from its id; none for seven attempts in eight
inline AnswerFault answerFault(const std::string& id, RequestKind kind)
{
    const bool stream = kind == RequestKind::Streaming;
    const auto number = std::hash<std::string> {}(id) / 9;
    if (stream && number % 16 == 0)
        return AnswerFault::EndsInsideEvent;
    switch (number % 64) {
    case 1:
    case 2:
        return kind == RequestKind::NonIdempotent ? AnswerFault::None : AnswerFault::Endless;
    case 3:
        return stream ? AnswerFault::EndlessEvents : AnswerFault::None;
    default:
        return AnswerFault::None;
    }
}

} // namespace hickory::soak
