#include "rollout_simulation.h"
#include "stage_source_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

constexpr Milliseconds usableUntil { 12800 }; ///< entries use older weights until this long after a declaration

/// @return last load of a version since the first declaration
Milliseconds lastLoad(const RolloutResult& result, std::uint64_t version)
{
    return result.loadedAt.contains(version) ? result.loadedAt.at(version).back() : Milliseconds {};
}

/// @return whether agents with these settings pace a rollout
bool isPacedWith(Milliseconds allowed, double originMbps, std::uint32_t pieces, std::uint32_t pieceBytes)
{
    StageState state = makeStageState({ .ip = "10.1.0.1", .dataCentre = { "a" }, .maxWeightsDelay = allowed });
    state.originMbps = originMbps;
    return isPaced(state, { .pieceBytes = pieceBytes, .pieces = std::vector<PieceState>(pieces) });
}

constexpr Milliseconds declared { 100000 }; ///< when version 2 of twoVersions() was declared
constexpr Milliseconds bound { 13400 }; ///< of twoVersions()

/// @param apart time between the declarations
/// @return state of an agent that brings version 2 into service, and has version 3 after it; both rollouts are paced
StageState twoVersions(OrderStep order, Milliseconds apart)
{
    StageState state = makeStageState({ .ip = "10.1.0.1", .dataCentre = { "a" }, .maxWeightsDelay = bound });
    state.originMbps = 4.38;
    state.model = { "model" };
    state.report = EngineReport { .models = { { .model = { "model" }, .version = { 1 }, .whole = true } } };
    for (const std::uint64_t version : { 2U, 3U }) {
        const Milliseconds at = version == 2 ? declared : declared + apart;
        state.jobs.push_back({ .version = { version },
            .knownSince = at,
            .declaredSince = at,
            .boundFrom = at,
            .manifestKnown = true,
            .pieceBytes = 24576,
            .pieces = std::vector<PieceState>(96) });
    }
    state.jobs.front().order = order;
    state.jobs.front().orderAt = declared + Milliseconds { 8000 };
    return state;
}

} // namespace

// Guards against a change of deployments whose bound leaves no time for pacing, and of those that tell no bandwidth.
TEST_CASE("A rollout is paced only where the bound leaves more time than the fixed turns use", "[stage][pace]")
{
    constexpr std::uint32_t pieceBytes = 24576;
    for (const std::uint32_t copy : { 2'300'000U, 3'100'000U })
        for (const std::int64_t allowed : { 7500, 8000, 8500 }) {
            INFO("bound " << allowed << " ms, copy of " << copy << " bytes");
            CHECK_FALSE(isPacedWith({ allowed }, 7.5, copy / pieceBytes, pieceBytes));
        }
    CHECK(isPacedWith({ 10000 }, 7.3, 96, pieceBytes));
    CHECK(isPacedWith({ 13400 }, 4.38, 96, pieceBytes));
    CHECK_FALSE(isPacedWith({ 13400 }, 0, 96, pieceBytes));
    CHECK_FALSE(isPacedWith({ 13400 }, 4.38, 0, 0));
}

// Guards against a rollout that takes so many engines out of service at once that the others are full: with fixed
// turns 21 of 76 are, 12 of 26 in one data centre.
TEST_CASE("Loads are spread over the time that the bound leaves and over data centres", "[stage][pace]")
{
    const RolloutResult fixed = RolloutSimulation({ .originMbps = 0 }).run();
    const RolloutResult paced = RolloutSimulation({}).run();
    CHECK(fixed.mostOut() == 21);
    CHECK(paced.mostOut() <= 17);
    for (const char* name : { "a", "b", "c" })
        CHECK(paced.mostOut(DataCentreId { name }) <= 7);
    CHECK(paced.loadsOf(2) == 76);
    CHECK(paced.outdated == 0);
    CHECK(lastLoad(paced, 2) < usableUntil);
    CHECK(paced.worstTwoSeconds() >= fixed.worstTwoSeconds());
    // Entries move the last few streams of each engine, as before: no more than three for each load.
    CHECK(paced.mostMovedIn10s <= 3 * 76);
}

// Guards against streams that begin late during a rollout under a load that leaves little room.
TEST_CASE("Streams begin on time during a paced rollout with 85 in 100 of the slots in use", "[stage][pace]")
{
    CHECK(RolloutSimulation({ .load = 0.85 }).run().worstTwoSeconds() >= 0.99);
}

TEST_CASE("Idle engines load before their turns, a few of each data centre at a time", "[stage][pace]")
{
    const RolloutResult paced = RolloutSimulation({ .load = 0 }).run();
    const RolloutResult busy = RolloutSimulation({}).run();
    CHECK(paced.loadsOf(2) == 76);
    CHECK(lastLoad(paced, 2) + Milliseconds { 2000 } < lastLoad(busy, 2));
    for (const char* name : { "a", "b", "c" })
        CHECK(paced.mostOut(DataCentreId { name }) <= 8);
}

// Guards against missing the bound, or against a pile-up shortly before it, when an origin that is away delays the
// pieces.
TEST_CASE("The schedule compresses when pieces arrive late", "[stage][pace]")
{
    for (const std::int64_t late : { 7000, 8000 }) {
        INFO("pieces at the first host after " << late << " ms");
        const RolloutResult paced = RolloutSimulation({ .firstPieces = { late }, .lastPieces = { late + 2000 } }).run();
        CHECK(paced.loadsOf(2) == 76);
        CHECK(paced.outdated == 0);
        CHECK(lastLoad(paced, 2) < usableUntil);
    }
}

// The origin is away for 6 s: some pieces arrive too late for the bound, and the engines load as soon as they can.
TEST_CASE("Engines load at once when the pieces arrive close to the bound", "[stage][pace]")
{
    const RolloutOptions late { .firstPieces = { 10000 }, .lastPieces = { 12000 } };
    RolloutOptions unpaced = late;
    unpaced.originMbps = 0;
    const RolloutResult paced = RolloutSimulation(late).run();
    const RolloutResult fixed = RolloutSimulation(unpaced).run();
    CHECK(paced.loadsOf(2) == 76);
    CHECK(lastLoad(paced, 2) <= lastLoad(fixed, 2));
    CHECK(paced.outdated <= fixed.outdated);
}

// Guards against a schedule in which hosts wait for one that is gone.
TEST_CASE("A host that dies in its turn delays no other host", "[stage][pace]")
{
    const RolloutResult all = RolloutSimulation({}).run();
    const std::size_t dead = 5;
    const RolloutResult result
        = RolloutSimulation({ .diesAt = { { dead, all.turns[dead] + Milliseconds { 300 } } } }).run();
    CHECK(result.loads[dead].empty());
    CHECK(result.loadsOf(2) == 75);
    CHECK(lastLoad(result, 2) < usableUntil);
    for (std::size_t number = 0; number < all.turns.size(); ++number)
        CHECK(result.turns[number].value == Approx(all.turns[number].value).margin(1));
}

TEST_CASE("A host that learns late of a version loads it by the bound", "[stage][pace]")
{
    const std::size_t host = 9;
    const RolloutResult result = RolloutSimulation({ .learnsAfter = { { host, { 10000 } } } }).run();
    CHECK(result.loads[host] == std::vector<std::uint64_t> { 2 });
    CHECK(result.outdated == 0);
    CHECK(lastLoad(result, 2) < usableUntil);
}

// Guards against engines that skip a version and load the next one only after the bound of the skipped one: entries
// cannot use them in between. With fixed turns 19 of 76 engines are affected.
TEST_CASE("A version that is overtaken is skipped as far as its bound allows", "[stage][pace]")
{
    for (const std::int64_t after : { 500, 1500, 2500, 4000, 6000 }) {
        INFO("next version after " << after << " ms");
        const RolloutResult result = RolloutSimulation({ .declaredAt = { { 0 }, { after } }, .end = { 22000 } }).run();
        CHECK(result.outdated == 0);
        CHECK(result.loadsOf(3) == 76);
        CHECK(result.loadsOf(2) < 76);
        CHECK(lastLoad(result, 3) < Milliseconds { after } + usableUntil);
    }
    const RolloutResult result = RolloutSimulation({ .declaredAt = { { 0 }, { 4000 } }, .end = { 20000 } }).run();
    CHECK(result.mostOut() <= 20);
}

// Guards against a version that is dropped unseen from between two others, and with it its bound.
TEST_CASE("Of three versions in quick succession each bound holds", "[stage][pace]")
{
    const RolloutResult result
        = RolloutSimulation({ .declaredAt = { { 0 }, { 2000 }, { 4000 } }, .end = { 22000 } }).run();
    CHECK(result.outdated == 0);
    CHECK(result.loadsOf(4) == 76);
}

// Guards against an origin that sends pieces of two versions at the same time: the first version arrives later, and
// other hosts repeat requests that wait there for long.
TEST_CASE("Pieces of an overtaking version are requested once the origin has sent the version before", "[stage][pace]")
{
    for (const bool known : { true, false }) {
        INFO("bandwidth of the origin " << (known ? "known" : "not known"));
        StageState state
            = makeStageState({ .ip = "10.1.0.1", .dataCentre = { "a" }, .maxWeightsDelay = Milliseconds { 13400 } });
        FleetView view {
            .model = { "model" }, .originAddress = "10.9.0.1:1", .originMbps = known ? 4.38 : 0, .declared = { 2 }
        };
        view.hosts.push_back({ .ip = "10.1.0.1", .dataCentre = { "a" } });
        const Milliseconds begin { 100000 };
        reduceStage(state, FleetViewUpdated { .view = view }, begin);
        reduceStage(state, ManifestFetched { .version = { 2 }, .pieceCount = 96, .pieceBytes = 24576 }, begin);
        const Milliseconds second = begin + Milliseconds { 2000 };
        view.declared = { 3 };
        reduceStage(state, FleetViewUpdated { .view = view }, second);
        reduceStage(state, ManifestFetched { .version = { 3 }, .pieceCount = 96, .pieceBytes = 24576 }, second);
        REQUIRE(state.jobs.size() == 2);
        // A copy takes 4.3 s.
        const auto mayRequest = [&](std::size_t job, std::int64_t after) {
            return chooseSource(state, state.jobs.at(job), 0, begin + Milliseconds { after }).has_value();
        };
        CHECK(mayRequest(0, 2000));
        CHECK(mayRequest(1, 4200) == !known);
        CHECK(mayRequest(1, 4400));
    }
}

// Guards against an engine that is unusable from the end of the first version's bound, because its order was lost and
// the second version takes its turn over its own whole bound.
TEST_CASE("The bound of an ordered version passes to the next one until the engine holds it", "[stage][pace]")
{
    constexpr Milliseconds apart { 4000 };
    const std::uint16_t status = GENERATE(0, 202);
    INFO("answer to the order " << status);
    StageState state = twoVersions(OrderStep::Sent, apart);
    const Milliseconds firstEnd = safeLoadEnd(state, state.jobs.front());
    Milliseconds now = declared + Milliseconds { 8100 };
    reduceStage(state, LoadOrderAnswered { .version = { 2 }, .status = status, .sent = true }, now);
    REQUIRE(state.jobs.size() == 1);
    REQUIRE(state.jobs.front().version == WeightsVersion { 3 });
    CHECK(safeLoadEnd(state, state.jobs.front()) == firstEnd);
    CHECK_FALSE(state.jobs.front().loadsAtOnce);
    now += Milliseconds { 500 };
    EngineReport report = *state.report;
    reduceStage(state, EngineReportRead { .report = report, .requestedAt = now }, now);
    CHECK(safeLoadEnd(state, state.jobs.front()) == firstEnd);
    state.jobs.front().turn = LoadTurn { .at = now };
    report.models = { { .model = { "model" }, .version = { 2 }, .whole = true } };
    reduceStage(state, EngineReportRead { .report = report, .requestedAt = now }, now);
    CHECK(safeLoadEnd(state, state.jobs.front()) == firstEnd + apart);
    CHECK_FALSE(state.jobs.front().turn);
}

// Guards against hosts that have all given up a late version and load the next one together.
TEST_CASE("A version that is too late passes on its bound but not its turn", "[stage][pace]")
{
    constexpr Milliseconds apart { 1000 };
    StageState state = twoVersions(OrderStep::None, apart);
    state.jobs.back().turn = LoadTurn {};
    const Milliseconds firstEnd = safeLoadEnd(state, state.jobs.front());
    reduceStage(state, StageTick {}, declared + apart + bound * 9 / 10);
    REQUIRE(state.jobs.size() == 1);
    CHECK_FALSE(state.jobs.front().loadsAtOnce);
    CHECK_FALSE(state.jobs.front().turn);
    CHECK(safeLoadEnd(state, state.jobs.front()) == firstEnd);
}

// Guards against a rollout that changes its schedule halfway, when a fleet view of another entry tells no bandwidth.
TEST_CASE("Whether a rollout is paced is decided when its manifest is known", "[stage][pace]")
{
    StageState state = makeStageState({ .ip = "10.1.0.1", .dataCentre = { "a" }, .maxWeightsDelay = bound });
    const bool known = GENERATE(true, false);
    FleetView view { .model = { "model" }, .originAddress = "10.9.0.1:1", .originMbps = 4.38, .declared = { 2 } };
    view.hosts.push_back({ .ip = "10.1.0.1", .dataCentre = { "a" } });
    view.originMbps = known ? 4.38 : 0;
    reduceStage(state, FleetViewUpdated { .view = view }, declared);
    reduceStage(state, ManifestFetched { .version = { 2 }, .pieceCount = 96, .pieceBytes = 24576 }, declared);
    CHECK(isPaced(state, state.jobs.front()) == known);
    view.originMbps = known ? 0 : 4.38;
    reduceStage(state, FleetViewUpdated { .view = view }, declared + Milliseconds { 1000 });
    CHECK(isPaced(state, state.jobs.front()) == known);
}
