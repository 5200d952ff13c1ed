#include "stage_fixture.h"
#include "table/stage_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

template <typename Effect> bool contains(const std::vector<StageEffect>& effects)
{
    for (const StageEffect& effect : effects)
        if (std::holds_alternative<Effect>(effect))
            return true;
    return false;
}

/// @return how many samples of a metric are among the effects
std::size_t countSamples(const std::vector<StageEffect>& effects, const std::string& name)
{
    std::size_t count = 0;
    for (const StageEffect& effect : effects)
        if (const auto* sample = std::get_if<MetricSample>(&effect))
            count += sample->name == name ? 1 : 0;
    return count;
}

/// An agent whose engine serves version 1 with streams, and which holds all pieces of version 2 in the staging area.
struct CheckFixture : StageFixture {
    CheckFixture()
    {
        this->completeRequests(this->declare(1));
        this->completeRequests(this->report(1));
        this->completeRequests(this->declare(2));
        this->completeRequests(this->peerHolds("10.1.0.2", 2));
        this->now += loadOrderDelay(this->state, { 2 }) + Milliseconds { 1 };
        this->state.peerHoldings["10.1.0.2"].receivedAt = this->now;
        this->unhandled = this->reportStreams(12);
        REQUIRE(this->emitted<CheckStagedPieces>());
    }

    /// Delivers a report of the engine, polled a millisecond ago.
    std::vector<StageEffect> reportStreams(std::uint32_t running)
    {
        EngineReport report { .running = running, .processStartedAt = this->processStartedAt };
        report.models.push_back({ .model = { "model" }, .version = { 1 } });
        return this->event(EngineReportRead { .report = report, .requestedAt = this->now - Milliseconds { 1 } });
    }

    /// Ends the read-back in progress.
    std::vector<StageEffect> checked(const std::vector<std::uint32_t>& bad = {})
    {
        return this->event(StagedPiecesChecked { .version = { 2 }, .bad = bad });
    }

    /// Delivers the report that the agent polls before it sends the order.
    std::vector<StageEffect> confirm()
    {
        return this->event(EngineReportRead { .report = this->state.report, .requestedAt = this->now });
    }
};

} // namespace

// Guards against a load order that rests on an old read-back: pieces that turned bad since were loaded and served.
TEST_CASE("Staged pieces are read back again if the agent stood still before the order", "[stage][check]")
{
    CheckFixture agent;
    const Milliseconds checkStartedAt = agent.now;
    const Milliseconds still { GENERATE(2401, 4000, 60000) };
    std::vector<StageEffect> effects;
    SECTION("while the engine drained")
    {
        agent.checked();
        agent.now = checkStartedAt + still;
        effects = agent.event(StageTick {});
    }
    SECTION("while reports failed")
    {
        agent.checked();
        agent.event(EngineReportRead { .requestedAt = agent.now });
        agent.now = checkStartedAt + still;
        effects = agent.reportStreams(0);
    }
    SECTION("before the engine's report was read")
    {
        agent.checked();
        agent.now += Milliseconds { 200 };
        REQUIRE(contains<PollReport>(agent.reportStreams(0)));
        const Milliseconds polledAt = agent.now;
        agent.now = checkStartedAt + still;
        effects = agent.event(EngineReportRead { .report = agent.state.report, .requestedAt = polledAt });
    }
    SECTION("in the middle of the read-back")
    {
        agent.now = checkStartedAt + still;
        effects = agent.checked();
        CHECK_FALSE(contains<AnnounceLoadOrder>(effects));
    }
    CHECK_FALSE(contains<SendLoadOrder>(effects));
    CHECK(contains<CheckStagedPieces>(effects));
    CHECK(countSamples(effects, "checks_repeated_total") == 1);
}

// Guards against an engine that drains twice because its staged pieces were read back twice.
TEST_CASE("An order stays announced while staged pieces are read back again", "[stage][check]")
{
    CheckFixture agent;
    agent.checked();
    agent.now += Milliseconds { 4000 };
    REQUIRE(contains<CheckStagedPieces>(agent.event(StageTick {})));
    CHECK(orderPending(agent.state));
    agent.now += Milliseconds { 150 };
    SECTION("good pieces")
    {
        CHECK(contains<PollReport>(agent.checked()));
        CHECK(orderPending(agent.state));
        agent.now += Milliseconds { 5 };
        CHECK(contains<SendLoadOrder>(agent.confirm()));
    }
    SECTION("a bad piece")
    {
        const auto effects = agent.checked({ 7 });
        CHECK(contains<StagePiece>(effects));
        CHECK_FALSE(contains<SendLoadOrder>(effects));
        CHECK_FALSE(orderPending(agent.state));
        agent.completeRequests(effects);
        CHECK(agent.emitted<CheckStagedPieces>());
    }
    SECTION("an engine that does not answer")
    {
        agent.now += checkTimeout;
        agent.event(StageTick {});
        agent.now += Milliseconds { 1 };
        CHECK_FALSE(contains<SendLoadOrder>(agent.confirm()));
    }
    SECTION("a restarted engine")
    {
        agent.checked();
        agent.processStartedAt = 2;
        agent.now += Milliseconds { 5 };
        const auto effects = agent.reportStreams(0);
        CHECK_FALSE(contains<SendLoadOrder>(effects));
        CHECK(contains<StagePiece>(effects));
    }
}

// Guards against a load order to an engine that restarted while the answer that it was unchanged lay unread.
TEST_CASE("The engine is asked again if its last report lay unread before the order", "[stage][check]")
{
    CheckFixture agent;
    agent.checked();
    agent.now += Milliseconds { 200 };
    REQUIRE(contains<PollReport>(agent.reportStreams(0)));
    const Milliseconds polledAt = agent.now;
    agent.now += maxReportAge + Milliseconds { 1 };
    const auto effects = agent.event(EngineReportRead { .report = agent.state.report, .requestedAt = polledAt });
    CHECK_FALSE(contains<SendLoadOrder>(effects));
    CHECK(contains<PollReport>(effects));
    CHECK(countSamples(effects, "checks_repeated_total") == 1);
    agent.now += Milliseconds { 5 };
    CHECK(contains<SendLoadOrder>(agent.confirm()));
}

// Guards against a read-back that is repeated although nothing stood still, which keeps the engine out of service.
TEST_CASE("A drain of full length and a slow report repeat no check", "[stage][check]")
{
    CheckFixture agent;
    agent.now += Milliseconds { 150 };
    agent.checked();
    agent.now += maxDrainTime;
    agent.unhandled = agent.reportStreams(12);
    REQUIRE(agent.emitted<PollReport>());
    const Milliseconds polledAt = agent.now;
    agent.now += maxReportAge;
    agent.unhandled = agent.event(EngineReportRead { .report = agent.state.report, .requestedAt = polledAt });
    CHECK(agent.emitted<SendLoadOrder>());
    CHECK(countSamples(agent.unhandled, "checks_repeated_total") == 0);
}
