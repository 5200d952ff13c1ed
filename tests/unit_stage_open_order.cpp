#include "stage_fixture.h"
#include "table/stage_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// An agent that has sent a load order for version 1 to an engine without weights. Version 2 was declared since, and
/// all of its pieces are in memory.
struct OpenOrderFixture : StageFixture {
    OpenOrderFixture()
    {
        this->completeRequests(this->declare(1));
        this->completeRequests(this->peerHolds("10.1.0.2", 1));
        this->completeRequests(this->report(0));
        this->completeRequests(this->checked(1));
        REQUIRE(this->emitted<SendLoadOrder>());
        this->unhandled.clear();
        this->now += Milliseconds { 100 };
        this->completeRequests(this->declare(2));
        this->completeRequests(this->peerHolds("10.1.0.2", 2));
    }

    /// Ends the order in flight.
    void answer(std::uint16_t status, bool sent = true)
    {
        this->completeRequests(this->event(LoadOrderAnswered { .version = { 1 }, .status = status, .sent = sent }));
    }

    /// Delivers a report that was requested 10 ms after the last event.
    void reportAfter(std::uint64_t version, bool busy = false)
    {
        this->now += Milliseconds { 10 };
        EngineReport report { .busy = busy, .orders = this->orders, .processStartedAt = this->processStartedAt };
        if (version > 0)
            report.models.push_back({ .model = { "model" }, .version = { version } });
        const Milliseconds requestedAt = this->now;
        this->now += Milliseconds { 10 };
        this->completeRequests(this->event(EngineReportRead { .report = report, .requestedAt = requestedAt }));
    }

    /// Ends the read-back in progress, and delivers the report that confirms the order.
    void repeatOrder()
    {
        REQUIRE(this->emitted<CheckStagedPieces>());
        this->unhandled.clear();
        this->now += Milliseconds { 10 };
        this->completeRequests(this->checked(1));
        this->now += announceLead + Milliseconds { 10 };
        this->completeRequests(this->event(StageTick {}));
        REQUIRE(this->emitted<SendLoadOrder>());
        CHECK(this->lastOrder().version == WeightsVersion { 1 });
    }

    SendLoadOrder lastOrder() const
    {
        SendLoadOrder last;
        for (const StageEffect& effect : this->unhandled)
            if (const auto* order = std::get_if<SendLoadOrder>(&effect))
                last = *order;
        return last;
    }

    /// @return whether a piece of version 2 was, or is being, written to the staging area
    bool isReplacing() const
    {
        for (const StageJob& job : this->state.jobs)
            if (job.version == WeightsVersion { 2 })
                return std::any_of(job.pieces.begin(), job.pieces.end(), [](const PieceState& piece) {
                    return piece.step == PieceStep::Staging || piece.step == PieceStep::Staged;
                });
        return false;
    }
};

} // namespace

// Guards against tokens of mixed weights: an order without an answer was accepted after its answer was given up, when
// pieces of the next version had replaced those that it was to load (review/6).
TEST_CASE("No piece of another version is staged while an unanswered order may be accepted", "[stage][order]")
{
    OpenOrderFixture agent;
    const std::uint16_t status = GENERATE(0, 500, 503, 302, 99);
    agent.answer(status);
    for (int orders = 0; orders < 20; ++orders) {
        agent.reportAfter(0);
        REQUIRE_FALSE(agent.isReplacing());
        agent.repeatOrder();
        REQUIRE(agent.lastOrder().expectedOrders == 0);
        agent.now += Milliseconds { 800 };
        agent.answer(0);
        REQUIRE_FALSE(agent.isReplacing());
    }
    agent.completeRequests(agent.declare(3));
    agent.completeRequests(agent.declare(2));
    CHECK(agent.state.jobs.front().version == WeightsVersion { 1 });
    agent.orders = 1;
    agent.reportAfter(0, true);
    CHECK(agent.state.jobs.front().version == WeightsVersion { 3 });
}

// Guards against a newer version that waits although the engine has accepted the order before.
TEST_CASE("The count of accepted orders settles an order without an answer", "[stage][order]")
{
    OpenOrderFixture agent;
    const bool isAnswerGivenUp = GENERATE(true, false);
    if (isAnswerGivenUp)
        agent.answer(0);
    agent.orders = 1;
    // The report may have been requested before the answer was given up: the count never falls.
    agent.completeRequests(agent.report(0, true));
    if (!isAnswerGivenUp)
        agent.answer(0);
    CHECK(agent.state.jobs.front().version == WeightsVersion { 2 });
    agent.completeRequests(agent.report(1));
    CHECK(agent.isReplacing());
    CHECK_FALSE(agent.emitted<SendLoadOrder>());
}

// Guards against taking a report from before the order was given up for one that shows that it was not accepted.
TEST_CASE("An order is repeated only once a later report shows that it was not accepted", "[stage][order]")
{
    OpenOrderFixture agent;
    agent.answer(0);
    SECTION("an earlier report")
    {
        agent.completeRequests(agent.event(EngineReportRead {
            .report = EngineReport { .processStartedAt = 1 }, .requestedAt = agent.now - Milliseconds { 1 } }));
        CHECK_FALSE(agent.emitted<CheckStagedPieces>());
    }
    SECTION("an engine that carries out an order")
    {
        agent.reportAfter(0, true);
        CHECK_FALSE(agent.emitted<CheckStagedPieces>());
    }
    SECTION("a later report")
    {
        agent.reportAfter(0);
        CHECK(agent.emitted<CheckStagedPieces>());
    }
    CHECK_FALSE(agent.isReplacing());
}

// Guards against a refusal of the second order that is taken for one of the first.
TEST_CASE("The refusal of a repeated order leaves the first one open", "[stage][order]")
{
    OpenOrderFixture agent;
    agent.answer(0);
    agent.reportAfter(0);
    agent.repeatOrder();
    const bool sent = GENERATE(true, false);
    agent.answer(sent ? 409 : 0, sent);
    agent.reportAfter(0);
    CHECK_FALSE(agent.isReplacing());
    agent.orders = 1;
    agent.reportAfter(0, true);
    agent.reportAfter(1);
    CHECK(agent.isReplacing());
}

// Guards against an order that reaches a process which started after its answer was given up, or just before.
TEST_CASE("A restart settles an open order only if the order cannot have reached the new process", "[stage][order]")
{
    OpenOrderFixture agent;
    agent.answer(0);
    SECTION("its process reported after the order was given up")
    {
        agent.reportAfter(0, true);
        agent.processStartedAt = 2;
        agent.reportAfter(0);
        CHECK_FALSE(agent.state.openOrder);
    }
    SECTION("no report since, and the new process would accept it")
    {
        agent.processStartedAt = 2;
        agent.reportAfter(0);
        CHECK(agent.state.openOrder);
        CHECK_FALSE(agent.isReplacing());
        agent.processStartedAt = 3;
        agent.reportAfter(0);
        CHECK_FALSE(agent.state.openOrder);
    }
    SECTION("no report since, and the new process has accepted an order")
    {
        agent.processStartedAt = 2;
        agent.orders = 1;
        agent.reportAfter(0);
        CHECK_FALSE(agent.state.openOrder);
    }
}

// Guards against a second order while the first is in flight: the answer to one would be taken for the other's.
TEST_CASE("After a restart no order is sent before the one in flight has ended", "[stage][order]")
{
    OpenOrderFixture agent;
    agent.processStartedAt = 2;
    agent.reportAfter(0);
    CHECK_FALSE(agent.emitted<CheckStagedPieces>());
    CHECK_FALSE(agent.isReplacing());
    agent.answer(0);
    agent.completeRequests(agent.event(StageTick {}));
    CHECK(agent.emitted<CheckStagedPieces>());
    CHECK_FALSE(agent.isReplacing());
}

// Guards against answers that refuse nothing and are taken for a refusal, and the other way round.
TEST_CASE("A refused order no longer keeps pieces of a newer version out", "[stage][order]")
{
    OpenOrderFixture agent;
    const std::uint16_t status = GENERATE(400, 409, 412, 421);
    agent.answer(status);
    CHECK_FALSE(agent.state.openOrder);
}

namespace {

/// A new process of an agent whose engine serves version 1. Version 3 was declared, and this process has its pieces.
/// @param staged version that was staged wholly by the process before, 0 for none
struct NewProcessFixture : StageFixture {
    explicit NewProcessFixture(std::uint64_t staged)
    {
        this->formerVersion = staged;
        this->orders = 4;
        this->completeRequests(this->report(1));
        this->completeRequests(this->declare(3));
        this->completeRequests(this->peerHolds("10.1.0.2", 3));
        this->completeRequests(this->event(StageTick {}));
    }

    void reportCount(std::uint64_t count)
    {
        this->now += Milliseconds { 10 };
        EngineReport report { .orders = count, .processStartedAt = this->processStartedAt };
        report.models.push_back({ .model = { "model" }, .version = { 1 } });
        this->completeRequests(this->event(EngineReportRead { .report = report, .requestedAt = this->now }));
    }

    bool isStaged() const
    {
        const auto& pieces = this->state.jobs.front().pieces;
        return !pieces.empty() && std::all_of(pieces.begin(), pieces.end(), [](const PieceState& piece) {
            return piece.step == PieceStep::Staged;
        });
    }

    bool isUntouched() const
    {
        for (const StageJob& job : this->state.jobs)
            for (const PieceState& piece : job.pieces)
                if (piece.step == PieceStep::Staging || piece.step == PieceStep::Staged)
                    return false;
        return true;
    }
};

} // namespace

// Guards against an agent that was killed with an order open: its next process stages over what the order loads.
TEST_CASE("A new process stages nothing over a whole version that may have been ordered", "[stage][order]")
{
    NewProcessFixture agent(2);
    CHECK(agent.isUntouched());
    SECTION("until the engine has accepted an order")
    {
        agent.reportCount(5);
        agent.completeRequests(agent.event(StageTick {}));
        CHECK(agent.isStaged());
    }
    SECTION("until the engine has restarted")
    {
        agent.reportCount(4);
        CHECK(agent.isUntouched());
        agent.processStartedAt = 2;
        agent.reportCount(0);
        agent.completeRequests(agent.event(StageTick {}));
        CHECK(agent.isStaged());
    }
    SECTION("for some time, which proves nothing")
    {
        agent.now += formerOrderTime - Milliseconds { 1 };
        agent.completeRequests(agent.event(StageTick {}));
        CHECK(agent.isUntouched());
        agent.now += Milliseconds { 1 };
        agent.completeRequests(agent.event(StageTick {}));
        CHECK(agent.isStaged());
    }
}

// Guards against a delay where the process before cannot have ordered anything.
TEST_CASE("A new process stages at once over a version that is not whole", "[stage][order]")
{
    NewProcessFixture agent(0);
    CHECK(agent.isStaged());
    CHECK_FALSE(agent.state.openOrder);
}

// Guards against a newer version that is staged over the wanted one, which the process before may have ordered.
TEST_CASE("A new process adopts the order for the wanted version", "[stage][order]")
{
    NewProcessFixture agent(3);
    CHECK(agent.isStaged());
    agent.now += Milliseconds { 100 };
    agent.unhandled.clear();
    agent.completeRequests(agent.declare(4));
    agent.completeRequests(agent.peerHolds("10.1.0.2", 4));
    REQUIRE(agent.state.jobs.size() == 2);
    CHECK(agent.state.jobs.front().version == WeightsVersion { 3 });
    // It is ordered at once, because version 4 waits.
    CHECK(agent.emitted<CheckStagedPieces>());
    agent.reportCount(5);
    CHECK(agent.state.jobs.front().version == WeightsVersion { 4 });
}
