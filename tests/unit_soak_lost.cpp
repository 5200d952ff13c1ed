#include "soak_lost_check.h"

#include <catch2/catch.hpp>

using namespace hickory;
using namespace hickory::soak;

namespace {

constexpr Milliseconds gracePeriod { 8000 };

/// A stream sent at 1.0 s to entry-1, begun by engine0 at 1.2 s, whose connection ended at 2.5 s without its answer.
Attempt cutStream()
{
    return { .requestKind = RequestKind::Streaming,
        .at = { 1000 },
        .executions = 1,
        .began = true,
        .entry = "entry-1",
        .deadline = { 3000 },
        .endedAt = Milliseconds { 2500 },
        .runs
        = { { .upstream = "engine0", .beganAt = { 1200 }, .completedAt = {}, .closedAt = Milliseconds { 2510 } } } };
}

Outcome outcomeOf(const Attempt& attempt, const Ledger& ledger = {})
{
    return judgeAttempt(ledger, "attempt-1", attempt, gracePeriod).outcome;
}

} // namespace

TEST_CASE("the soak counts a request as lost that a sound upstream had begun", "[soak]")
{
    CHECK(outcomeOf(cutStream()) == Outcome::Lost);
    Attempt answeredByEntry = cutStream();
    answeredByEntry.status = 504;
    CHECK(outcomeOf(answeredByEntry) == Outcome::Lost);
    Attempt stoodReady = cutStream();
    stoodReady.runs[0].completedAt = Milliseconds { 1500 };
    CHECK(outcomeOf(stoodReady) == Outcome::Lost);
    stoodReady.endedAt = Milliseconds { 4000 };
    CHECK(outcomeOf(stoodReady) == Outcome::Lost);
}

TEST_CASE("the soak excuses a request for what its upstream, its caller or a fault did", "[soak]")
{
    Attempt answered = cutStream();
    answered.status = 200;
    CHECK(outcomeOf(answered) == Outcome::Answered);
    Attempt unbegun = cutStream();
    unbegun.runs.clear();
    CHECK(outcomeOf(unbegun) == Outcome::Unbegun);
    Attempt crashed = cutStream();
    crashed.runs[0].failed = true;
    CHECK(outcomeOf(crashed) == Outcome::Excused);
    Attempt late = cutStream();
    late.endedAt = Milliseconds { 4000 };
    CHECK(outcomeOf(late) == Outcome::Excused);
    Attempt left = cutStream();
    left.leavesEarly = true;
    CHECK(outcomeOf(left) == Outcome::Excused);
    Attempt crossed = cutStream();
    crossed.runs[0].beganAt = Milliseconds { 2450 };
    CHECK(outcomeOf(crossed) == Outcome::Excused);
    for (const char* host : { "entry-1", "engine0" }) {
        Ledger ledger;
        ledger.disturbances[host].push_back({ .from = { 1900 }, .until = { 2100 } });
        CHECK(outcomeOf(cutStream(), ledger) == Outcome::Excused);
        ledger.disturbances[host] = { { .from = { 2600 }, .until = { 2700 } } };
        CHECK(outcomeOf(cutStream(), ledger) == Outcome::Lost);
    }
}

TEST_CASE("the soak excuses a stopping entry only in the last sixth of its grace period", "[soak]")
{
    Ledger ledger;
    Attempt attempt = cutStream();
    attempt.deadline = { 9000 };
    ledger.stops["entry-1"] = { { 500 } };
    CHECK(outcomeOf(attempt, ledger) == Outcome::Lost);
    attempt.endedAt = Milliseconds { 7300 };
    CHECK(outcomeOf(attempt, ledger) == Outcome::Excused);
    attempt.at = { 3600 }; // sent too late to be excused
    attempt.runs[0].beganAt = { 3700 };
    attempt.runs[0].closedAt = Milliseconds { 7310 };
    CHECK(outcomeOf(attempt, ledger) == Outcome::Lost);
}

TEST_CASE("the soak reports it when too few requests met a silence", "[soak]")
{
    Ledger ledger;
    ledger.attempts["attempt-1"] = cutStream();
    ledger.silences["engine0"] = { { .from = { 1300 }, .until = { 2300 } } };
    const LostFigures figures = checkLost(ledger, gracePeriod);
    CHECK(figures.lost == 1);
    CHECK(figures.silent == 1);
    REQUIRE(ledger.violations.size() == 2);
    CHECK(ledger.violations[0].starts_with("LOST attempt-1"));
    CHECK(ledger.violations[1].starts_with("SOAK"));
}
