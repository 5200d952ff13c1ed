#include "soak_lost_check.h"

namespace hickory::soak {

namespace {

    /// Within this time the beginning of a run and the end of its request cross on the wire.
    constexpr Milliseconds crossingTime { 100 };
    constexpr Milliseconds deadlineResolution { 20 }; ///< an entry may end a request this long before its deadline
    /// A whole answer that waited this long in an entry was not cut off by the deadline alone.
    constexpr Milliseconds heldBackTime { 1000 };
    /// A request sent later than this after SIGTERM must end before its entry does.
    constexpr Milliseconds lateInDrain { 3000 };

    const char* kindName(RequestKind kind)
    {
        switch (kind) {
        case RequestKind::Streaming:
            return "streaming";
        case RequestKind::Idempotent:
            return "idempotent";
        case RequestKind::NonIdempotent:
            break;
        }
        return "non-idempotent";
    }

    /// @return whether the run's beginning crossed the end of the request or of the connection
    bool crossed(const Run& run, Milliseconds endedAt)
    {
        return endedAt < run.beganAt + crossingTime || (run.closedAt && *run.closedAt < run.beganAt + crossingTime);
    }

    /// @return whether the upstream and its link were sound until the answer was whole or the request ended
    bool isSound(const Ledger& ledger, const Run& run, Milliseconds endedAt)
    {
        const Milliseconds until = run.completedAt ? std::min(*run.completedAt + crossingTime, endedAt) : endedAt;
        return !run.failed && !crossed(run, endedAt) && !ledger.isDisturbed(run.upstream, run.beganAt, until);
    }

    /// @return whether the entry stopped and the request, sent early enough, was at work in the last sixth of the grace
    bool inLastSixth(const Ledger& ledger, const Attempt& attempt, Milliseconds endedAt, Milliseconds gracePeriod)
    {
        const auto stops = ledger.stops.find(attempt.entry);
        if (stops == ledger.stops.end())
            return false;
        const Milliseconds lastSixth { gracePeriod.value * 5 / 6 };
        return std::any_of(stops->second.begin(), stops->second.end(), [&](Milliseconds stop) {
            return attempt.at <= stop + lateInDrain && endedAt >= stop + lastSixth && endedAt <= stop + gracePeriod;
        });
    }

    /// @return whether an upstream was silent while it worked on the request
    bool metSilence(const Ledger& ledger, const Attempt& attempt)
    {
        return std::any_of(attempt.runs.begin(), attempt.runs.end(), [&](const Run& run) {
            const Milliseconds until = run.completedAt.value_or(run.closedAt.value_or(*attempt.endedAt));
            return ledger.isSilent(run.upstream, run.beganAt, until);
        });
    }

    std::string describeRun(const Run& run)
    {
        std::string text = run.upstream + " began it at " + std::to_string(run.beganAt.value);
        if (run.completedAt)
            text += ", had answered at " + std::to_string(run.completedAt->value);
        if (run.closedAt)
            text += ", lost the connection at " + std::to_string(run.closedAt->value);
        return text;
    }

    std::string describe(const Attempt& attempt, const Run& run, Milliseconds endedAt)
    {
        std::string text = std::string(kindName(attempt.requestKind)) + ", sent to " + attempt.entry + " at "
            + std::to_string(attempt.at.value) + " with " + std::to_string(attempt.deadline.value) + " ms, ";
        for (const Run& each : attempt.runs)
            text += (&each == &run ? "sound: " : "") + describeRun(each) + "; ";
        const std::string how = attempt.status != 0 ? "got status " + std::to_string(attempt.status)
            : attempt.leftAt                        ? "left"
            : attempt.began                         ? "lost its connection in the answer"
                                                    : "lost its connection before the answer";
        return text + "the caller " + how + " at " + std::to_string(endedAt.value);
    }

} // namespace

Verdict judgeAttempt(const Ledger& ledger, const std::string& id, const Attempt& attempt, Milliseconds gracePeriod)
{
    constexpr int statusOk = 200;
    if (attempt.runs.empty() || !attempt.endedAt)
        return {};
    if (attempt.status == statusOk)
        return { .outcome = Outcome::Answered, .reason = {} };
    if (saysNotRun(attempt.status))
        return { .outcome = Outcome::Refused, .reason = {} };
    const Milliseconds endedAt = *attempt.endedAt;
    const auto excused = [](const char* reason) { return Verdict { .outcome = Outcome::Excused, .reason = reason }; };
    if (attempt.leavesEarly)
        return excused("the caller left");
    if (ledger.isDisturbed(attempt.entry, attempt.at, endedAt))
        return excused("the entry was killed or frozen");
    if (inLastSixth(ledger, attempt, endedAt, gracePeriod))
        return excused("last sixth of the grace period");
    const bool late = endedAt + deadlineResolution >= attempt.at + attempt.deadline;
    bool onlyCrossed = true;
    for (const Run& run : attempt.runs) {
        onlyCrossed = onlyCrossed && crossed(run, endedAt);
        const bool heldBack = run.completedAt && endedAt - *run.completedAt > heldBackTime;
        if (isSound(ledger, run, endedAt) && (!late || heldBack))
            return { .outcome = Outcome::Lost, .reason = id + " " + describe(attempt, run, endedAt) };
    }
    if (late)
        return excused("deadline");
    return excused(onlyCrossed ? "began as it ended" : "the upstream crashed or its link was disturbed");
}

LostFigures checkLost(Ledger& ledger, Milliseconds gracePeriod)
{
    constexpr std::size_t minSilent = 20; // requests across a silence, fewer would show little
    constexpr std::size_t maxExcusedDivisor = 4;
    LostFigures figures;
    std::size_t excusedCount = 0;
    for (const auto& [id, attempt] : ledger.attempts) {
        const Verdict verdict = judgeAttempt(ledger, id, attempt, gracePeriod);
        if (verdict.outcome == Outcome::Unbegun)
            continue;
        const bool answered = verdict.outcome == Outcome::Answered;
        const bool silent = metSilence(ledger, attempt);
        ++figures.begun;
        figures.answered += answered ? 1 : 0;
        figures.refused += verdict.outcome == Outcome::Refused ? 1 : 0;
        figures.silent += silent ? 1 : 0;
        figures.silentAnswered += silent && answered ? 1 : 0;
        if (verdict.outcome == Outcome::Excused) {
            ++figures.excused[verdict.reason];
            ++excusedCount;
        }
        if (verdict.outcome == Outcome::Lost) {
            ++figures.lost;
            ledger.addViolation("LOST " + verdict.reason);
        }
    }
    if (figures.silent < minSilent || excusedCount * maxExcusedDivisor > figures.begun)
        ledger.addViolation("SOAK too few requests could be judged: " + lostText(figures));
    return figures;
}

std::string lostText(const LostFigures& figures)
{
    std::string text = std::to_string(figures.begun)
        + " requests begun by upstreams: " + std::to_string(figures.answered) + " answered, "
        + std::to_string(figures.refused) + " refused, " + std::to_string(figures.lost) + " lost";
    for (const auto& [reason, count] : figures.excused)
        text += ", " + std::to_string(count) + " excused (" + reason + ")";
    return text + "; " + std::to_string(figures.silent) + " across a silence of the upstream, "
        + std::to_string(figures.silentAnswered) + " of them answered";
}

} // namespace hickory::soak
