#include "stage_fixture.h"
#include "stage_source_func.h"

#include <catch2/catch.hpp>

#include <map>

using namespace hickory;

// Guards against loading a corrupt piece, and against an engine that gets requests while it loads.
TEST_CASE("An engine without weights is ordered to load once its staged pieces were checked", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(1));
    agent.completeRequests(agent.peerHolds("10.1.0.2", 1));
    agent.completeRequests(agent.report(0));
    REQUIRE(agent.emitted<CheckStagedPieces>());
    CHECK_FALSE(agent.emitted<SendLoadOrder>());
    SECTION("a bad piece is staged again before the order")
    {
        agent.unhandled.clear();
        const auto effects = agent.checked(1, { 5 });
        bool written = false;
        for (const StageEffect& effect : effects)
            if (const auto* stage = std::get_if<StagePiece>(&effect))
                written = written || stage->index == 5;
        CHECK(written);
        agent.completeRequests(effects);
        CHECK(agent.emitted<CheckStagedPieces>());
        CHECK_FALSE(agent.emitted<SendLoadOrder>());
    }
    SECTION("the order is announced and stays pending until the engine reports the version")
    {
        agent.completeRequests(agent.checked(1));
        CHECK(agent.emitted<AnnounceLoadOrder>());
        CHECK(orderPending(agent.state));
        CHECK(agent.emitted<SendLoadOrder>()); // no drain: it has no requests
        agent.completeRequests(agent.event(LoadOrderAnswered { .version = { 1 }, .status = 202 }));
        CHECK(orderPending(agent.state));
        agent.completeRequests(agent.report(1));
        CHECK_FALSE(orderPending(agent.state));
    }
}

// Guards against fetching all pieces again, or never loading, after a restart of the engine.
TEST_CASE("The pieces of an engine that restarted without weights are staged again from memory", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(1));
    agent.completeRequests(agent.peerHolds("10.1.0.2", 1));
    agent.completeRequests(agent.report(0));
    agent.completeRequests(agent.checked(1));
    agent.now += Milliseconds { 200 };
    agent.completeRequests(agent.event(StageTick {}));
    agent.completeRequests(agent.event(LoadOrderAnswered { .version = { 1 }, .status = 202 }));
    agent.completeRequests(agent.report(1));
    agent.unhandled.clear();
    agent.processStartedAt = 2;
    const auto effects = agent.report(0);
    std::size_t written = 0;
    for (const StageEffect& effect : effects)
        written += std::holds_alternative<StagePiece>(effect) ? 1 : 0;
    CHECK(written > 0);
    agent.completeRequests(effects);
    CHECK(agent.emitted<CheckStagedPieces>());
}

// Guards against a second load order while the engine may still be carrying out the first one.
TEST_CASE("An order without a response is not repeated before the order timeout", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(1));
    agent.completeRequests(agent.peerHolds("10.1.0.2", 1));
    agent.completeRequests(agent.report(0));
    agent.completeRequests(agent.checked(1));
    agent.now += Milliseconds { 200 };
    agent.completeRequests(agent.event(StageTick {}));
    agent.completeRequests(agent.event(LoadOrderAnswered { .version = { 1 }, .status = 0 }));
    agent.unhandled.clear();
    agent.now += Milliseconds { 2000 };
    agent.completeRequests(agent.report(0));
    CHECK_FALSE(agent.emitted<CheckStagedPieces>());
    agent.now += Milliseconds { 5000 };
    agent.completeRequests(agent.report(0));
    agent.completeRequests(agent.event(StageTick {}));
    CHECK(agent.emitted<CheckStagedPieces>());
}

// Guards against all engines of a service leaving service for a new version at the same time.
TEST_CASE("An engine that serves an older version is ordered after the load order delay", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(1));
    agent.completeRequests(agent.report(1));
    agent.unhandled.clear();
    agent.completeRequests(agent.declare(2));
    agent.completeRequests(agent.peerHolds("10.1.0.2", 2));
    agent.completeRequests(agent.report(1));
    CHECK_FALSE(agent.emitted<CheckStagedPieces>());
    agent.now += loadOrderDelay(agent.state, { 2 }) + Milliseconds { 1 };
    agent.completeRequests(agent.event(StageTick {}));
    CHECK(agent.emitted<CheckStagedPieces>());
}

// Guards against missing the bound of a version: an agent that learned of it late waited its turn from then on.
TEST_CASE("An agent that learns late of a version orders it when its turn since the declaration has come", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(1));
    agent.completeRequests(agent.report(1));
    agent.unhandled.clear();
    const Milliseconds declaredAt = agent.now;
    agent.now += Milliseconds { 3000 };
    agent.completeRequests(agent.declare(2, declaredAt));
    agent.completeRequests(agent.peerHolds("10.1.0.2", 2));
    agent.completeRequests(agent.report(1));
    agent.now = declaredAt + loadOrderDelay(agent.state, { 2 }) - Milliseconds { 1 };
    agent.completeRequests(agent.event(StageTick {}));
    CHECK_FALSE(agent.emitted<CheckStagedPieces>());
    agent.now += Milliseconds { 2 };
    agent.completeRequests(agent.event(StageTick {}));
    CHECK(agent.emitted<CheckStagedPieces>());
}

// Guards against a version whose check fails without end because its pieces were dropped before it is loaded.
TEST_CASE("Pieces of a version that is being brought into service are kept", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(4));
    agent.completeRequests(agent.report(1));
    agent.now += Milliseconds { 3000 };
    agent.declare(5);
    agent.declare(6);
    REQUIRE(agent.state.jobs.size() == 2);
    REQUIRE(agent.state.jobs.front().version == WeightsVersion { 4 });
    using Versions = std::vector<WeightsVersion>;
    CHECK(versionsToDrop(agent.state, { { 4 }, { 5 }, { 6 } }, 2) == Versions { { 5 } });
    CHECK(versionsToDrop(agent.state, { { 3 }, { 4 }, { 6 } }, 2) == Versions { { 3 } });
    CHECK(versionsToDrop(agent.state, { { 3 }, { 4 } }, 2).empty());
}

// Guards against a load order to an engine that lost its staged pieces in a restart since they were read back.
TEST_CASE("An engine is ordered to load only if it has not restarted since the check", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(1));
    agent.completeRequests(agent.peerHolds("10.1.0.2", 1));
    agent.completeRequests(agent.report(0));
    REQUIRE(agent.emitted<CheckStagedPieces>());
    agent.unhandled = agent.checked(1);
    CHECK_FALSE(agent.emitted<SendLoadOrder>());
    REQUIRE(agent.emitted<PollReport>());
    SECTION("restarted")
    {
        agent.processStartedAt = 2;
        agent.unhandled = agent.report(0);
        CHECK_FALSE(agent.emitted<SendLoadOrder>());
        CHECK(agent.emitted<StagePiece>());
    }
    SECTION("a report that was polled before does not count")
    {
        agent.unhandled = agent.event(
            EngineReportRead { .report = agent.state.report, .requestedAt = agent.now - Milliseconds { 1 } });
        CHECK_FALSE(agent.emitted<SendLoadOrder>());
    }
    SECTION("no answer")
    {
        agent.unhandled = agent.event(EngineReportRead { .requestedAt = agent.now });
        CHECK_FALSE(agent.emitted<SendLoadOrder>());
        agent.completeRequests(agent.report(0));
        CHECK(agent.emitted<CheckStagedPieces>());
    }
    SECTION("the same process")
    {
        agent.unhandled = agent.event(EngineReportRead { .report = agent.state.report, .requestedAt = agent.now });
        CHECK(agent.emitted<SendLoadOrder>());
    }
}

// Guards against aborting many streams for a new version, and against a drain that never ends.
// Guards against streams that end without their answers because a load order cuts them off.
TEST_CASE("An engine drains before the order, and the last few streams are moved or end there", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(1));
    agent.completeRequests(agent.report(1));
    agent.completeRequests(agent.declare(2));
    agent.completeRequests(agent.peerHolds("10.1.0.2", 2));
    agent.now += loadOrderDelay(agent.state, { 2 }) + Milliseconds { 1 };
    agent.state.peerHoldings["10.1.0.2"].receivedAt = agent.now;
    agent.completeRequests(agent.report(1));
    agent.completeRequests(agent.checked(2));
    REQUIRE(agent.emitted<AnnounceLoadOrder>());
    CHECK(orderPending(agent.state));
    CHECK_FALSE(agent.emitted<SendLoadOrder>());
    const auto reportRunning = [&](std::uint32_t running) {
        EngineReport report { .running = running, .processStartedAt = 1 };
        report.models.push_back({ .model = { "model" }, .version = { 1 } });
        agent.completeRequests(agent.event(EngineReportRead { report }));
    };
    const auto sentOrder = [&]() -> const SendLoadOrder* {
        for (const StageEffect& effect : agent.unhandled)
            if (const auto* order = std::get_if<SendLoadOrder>(&effect))
                return order;
        return nullptr;
    };
    agent.now += Milliseconds { 300 };
    reportRunning(12);
    CHECK_FALSE(sentOrder());
    SECTION("the order is sent as soon as few requests are left")
    {
        agent.now += Milliseconds { 300 };
        CHECK_FALSE(isClearing(agent.state));
        agent.unhandled.clear();
        reportRunning(2);
        REQUIRE(sentOrder());
        CHECK_FALSE(isClearing(agent.state));
        SECTION("accepted")
        {
            agent.completeRequests(agent.event(LoadOrderAnswered { .version = { 2 }, .status = 202 }));
            CHECK(agent.emitted<AnnounceLoadOrder>());
            CHECK(isClearing(agent.state));
            agent.completeRequests(agent.report(2));
            CHECK_FALSE(isClearing(agent.state));
        }
        SECTION("refused")
        {
            agent.completeRequests(agent.event(LoadOrderAnswered { .version = { 2 }, .status = 409 }));
            CHECK_FALSE(isClearing(agent.state));
        }
    }
    SECTION("after the longest drain time the order is sent, and the last few streams are moved later")
    {
        agent.now += Milliseconds { 1500 };
        reportRunning(9);
        REQUIRE(sentOrder());
        agent.completeRequests(agent.event(LoadOrderAnswered { .version = { 2 }, .status = 202 }));
        CHECK_FALSE(isClearing(agent.state));
        const auto reportBusy = [&](std::uint32_t running) {
            EngineReport report { .busy = true, .running = running, .processStartedAt = 1 };
            report.models.push_back({ .model = { "model" }, .version = { 1 } });
            agent.completeRequests(agent.event(EngineReportRead { report }));
        };
        reportBusy(9);
        CHECK_FALSE(isClearing(agent.state));
        reportBusy(3);
        CHECK(isClearing(agent.state));
    }
}

// Guards against an engine that never loads anything because each new version restarts its download.
TEST_CASE("A job that has run for a while is finished before one of a newer version", "[stage]")
{
    StageFixture agent;
    agent.completeRequests(agent.declare(1));
    agent.completeRequests(agent.report(1));
    agent.declare(2);
    SECTION("a job that has just started is replaced")
    {
        agent.now += Milliseconds { 500 };
        agent.declare(3);
        REQUIRE(agent.state.jobs.size() == 1);
        CHECK(agent.state.jobs.front().version == WeightsVersion { 3 });
    }
    SECTION("the newer job continues once the order of the first was accepted")
    {
        agent.now += Milliseconds { 2000 };
        agent.declare(3);
        REQUIRE(agent.state.jobs.size() == 2);
        CHECK(agent.state.jobs.front().version == WeightsVersion { 2 });
        agent.state.jobs.front().order = OrderStep::Sent;
        agent.event(LoadOrderAnswered { .version = { 2 }, .status = 202 });
        CHECK(agent.state.jobs.front().version == WeightsVersion { 3 });
    }
}

// Guards against an origin link that sends the same piece several times.
TEST_CASE("A piece that no host holds is fetched from the origin by exactly one host", "[stage]")
{
    std::map<std::uint32_t, int> fetched;
    for (int host = 1; host <= 4; ++host) {
        StageFixture agent("10.1.0." + std::to_string(host));
        agent.state.options.dataCentre = { host <= 2 ? "a" : "b" };
        agent.declare(2);
        StageJob& job = agent.state.jobs.front();
        job.pieces.assign(pieceCount, {});
        for (std::uint32_t piece = 0; piece < pieceCount; ++piece)
            if (const auto source = chooseSource(agent.state, job, piece, agent.now)) {
                CHECK(source->ip.empty());
                ++fetched[piece];
            }
    }
    CHECK(fetched.size() == pieceCount);
    for (const auto& [piece, count] : fetched)
        CHECK(count == 1);
}

// Guards against a link between data centres that carries the same piece several times.
TEST_CASE("A piece held only in another data centre is fetched by one host of this data centre", "[stage]")
{
    int fetchers = 0;
    for (int host = 1; host <= 2; ++host) {
        StageFixture agent("10.1.0." + std::to_string(host));
        agent.declare(2);
        agent.state.jobs.front().pieces.assign(pieceCount, {});
        agent.peerHolds("10.1.0.3", 2);
        // peerHolds() may already have requested it.
        const PieceState& piece = agent.state.jobs.front().pieces[7];
        fetchers += piece.step == PieceStep::Fetching && piece.source == "10.1.0.3" ? 1 : 0;
        if (piece.step == PieceStep::Missing)
            fetchers += chooseSource(agent.state, agent.state.jobs.front(), 7, agent.now) ? 1 : 0;
    }
    CHECK(fetchers == 1);
}

// Guards against a piece that nobody fetches because its designated host has failed.
TEST_CASE("Another host is designated when a piece is still missing after a timeout", "[stage]")
{
    std::map<std::uint32_t, int> fetched;
    for (int host = 1; host <= 3; ++host) { // host 4 has failed
        StageFixture agent("10.1.0." + std::to_string(host));
        agent.state.options.dataCentre = { host <= 2 ? "a" : "b" };
        agent.declare(2);
        StageJob& job = agent.state.jobs.front();
        job.pieces.assign(pieceCount, {});
        for (const std::int64_t after : { 0, 3000, 4000, 5000 })
            for (std::uint32_t piece = 0; piece < pieceCount; ++piece)
                fetched[piece] += chooseSource(agent.state, job, piece, agent.now + Milliseconds { after }) ? 1 : 0;
    }
    for (std::uint32_t piece = 0; piece < pieceCount; ++piece)
        CHECK(fetched[piece] >= 1);
}

// Guards against weights starving the engine's traffic: on a link that becomes slow during a fetch, the engine's
// requests and streams, and the closing of requests that callers gave up, queue behind the pieces.
TEST_CASE("The fetch window shrinks on a congested link and grows again afterwards", "[stage]")
{
    StageFixture agent;
    agent.report(1);
    for (int count = 0; count < 4; ++count)
        agent.event(LinkMeasured { .roundTrip = { 600 } });
    agent.declare(2);
    agent.event(ManifestFetched { .version = { 2 }, .pieceCount = pieceCount });
    const auto requested = [&] {
        const auto& pieces = agent.state.jobs.back().pieces;
        return std::count_if(
            pieces.begin(), pieces.end(), [](const PieceState& piece) { return piece.step == PieceStep::Fetching; });
    };
    agent.peerHolds("10.1.0.2", 2);
    CHECK(requested() == minPiecesInFlight);
    for (int count = 0; count < 6; ++count)
        agent.event(LinkMeasured { .roundTrip = { 5 } });
    CHECK(requested() > minPiecesInFlight);
    CHECK(agent.state.fetchWindow == maxPiecesInFlight);
}

// Guards against requesting a piece again and again from a peer that cannot send it.
TEST_CASE("A peer that fails to send a piece no longer counts as holding it", "[stage]")
{
    StageFixture agent;
    agent.report(1);
    agent.declare(2);
    agent.event(ManifestFetched { .version = { 2 }, .pieceCount = pieceCount });
    agent.peerHolds("10.1.0.2", 2);
    const auto& pieces = agent.state.jobs.back().pieces;
    const auto requested = std::find_if(
        pieces.begin(), pieces.end(), [](const PieceState& piece) { return piece.source == "10.1.0.2"; });
    REQUIRE(requested != pieces.end());
    const auto index = static_cast<std::uint32_t>(requested - pieces.begin());
    agent.event(PieceFetched { .version = { 2 }, .index = index, .source = { "10.1.0.2" }, .ok = false });
    CHECK_FALSE(agent.state.peerHoldings.at("10.1.0.2").sets.front().held.at(index));
    CHECK(agent.state.peerHoldings.at("10.1.0.2").sets.front().held.at((index + 1) % pieceCount));
}

// Guards against announcing to other data centres the pieces that they may already have.
TEST_CASE("Pieces fetched from a peer are not among those from the origin", "[stage]")
{
    StageFixture agent;
    agent.report(1);
    agent.declare(2);
    agent.event(ManifestFetched { .version = { 2 }, .pieceCount = pieceCount });
    agent.peerHolds("10.1.0.2", 2);
    for (std::uint32_t index = 0; index < pieceCount; ++index) {
        const PieceState piece = agent.state.jobs.back().pieces[index];
        if (piece.step == PieceStep::Fetching)
            agent.event(PieceFetched { .version = { 2 }, .index = index, .source = { piece.source }, .ok = true });
    }
    const auto count = [](const std::vector<PieceSet>& sets) {
        return std::count(sets.back().held.begin(), sets.back().held.end(), true);
    };
    CHECK(count(piecesFromOrigin(agent.state)) < count(ownPieces(agent.state)));
}

// Guards against overloading the origin when about a hundred hosts learn of a version at the same time: it accepts 48
// connections and needs 2.8 s to send one copy.
TEST_CASE("Few hosts request the manifest from the origin, the others from an agent that has it", "[stage]")
{
    FleetView view { .model = { "model" }, .originAddress = "10.9.0.1:1", .originMbps = 5.94, .declared = { 2 } };
    constexpr int hosts = 88;
    for (int host = 0; host < hosts; ++host)
        view.hosts.push_back({ .ip = "10.1.0." + std::to_string(100 + host), .dataCentre = { "a" } });
    int requested = 0;
    for (const WeightsPeer& host : view.hosts) {
        StageFixture agent(host.ip);
        agent.report(1);
        const auto effects = agent.event(FleetViewUpdated { .view = view });
        for (const StageEffect& effect : effects)
            if (const auto* manifest = std::get_if<RequestManifest>(&effect))
                requested += manifest->source.ip.empty() ? 1 : 0;
        const std::string other = host.ip == "10.1.0.100" ? "10.1.0.101" : "10.1.0.100";
        const auto later = agent.event(PeerPiecesReceived {
            .ip = other, .sets = { { .version = { 2 }, .held = std::vector<bool>(pieceCount, false) } } });
        for (const StageEffect& effect : later)
            if (const auto* manifest = std::get_if<RequestManifest>(&effect))
                CHECK(manifest->source.ip == other);
    }
    CHECK(requested == manifestHostsPerRound);
}

// Guards against requesting all pieces at once: the hosts could then not exchange the first ones while the origin
// sends the others.
TEST_CASE("Pieces are requested from the origin no faster than its link sends them", "[stage]")
{
    FleetView view { .model = { "model" }, .originAddress = "10.9.0.1:1", .originMbps = 5.94, .declared = { 2 } };
    for (int host = 1; host <= 4; ++host)
        view.hosts.push_back({ .ip = "10.1.0." + std::to_string(host), .dataCentre = { "a" } });
    std::size_t early = 0;
    std::size_t late = 0;
    for (const WeightsPeer& host : view.hosts) {
        StageFixture agent(host.ip);
        agent.report(1);
        agent.event(FleetViewUpdated { .view = view });
        agent.event(ManifestFetched { .version = { 2 }, .pieceCount = 64, .pieceBytes = 32768 });
        StageJob& job = agent.state.jobs.back();
        for (std::uint32_t piece = 0; piece < 64; ++piece) {
            early += chooseSource(agent.state, job, piece, job.knownSince + Milliseconds { 100 }) ? 1 : 0;
            late += chooseSource(agent.state, job, piece, job.knownSince + Milliseconds { 1400 }) ? 1 : 0;
        }
    }
    CHECK(early >= 8);
    CHECK(early <= 12);
    CHECK(late >= 36);
    CHECK(late <= 48);
}

// Guards against forgetting the first holder of a piece because it refuses most of thirty simultaneous requests.
TEST_CASE("A piece is requested again later from a busy source, which still counts as holding it", "[stage]")
{
    StageFixture agent;
    agent.report(1);
    agent.declare(2);
    agent.event(ManifestFetched { .version = { 2 }, .pieceCount = pieceCount });
    agent.peerHolds("10.1.0.2", 2);
    const auto& pieces = agent.state.jobs.back().pieces;
    const auto requested = std::find_if(
        pieces.begin(), pieces.end(), [](const PieceState& piece) { return piece.source == "10.1.0.2"; });
    REQUIRE(requested != pieces.end());
    const auto index = static_cast<std::uint32_t>(requested - pieces.begin());
    const auto effects = agent.event(
        PieceFetched { .version = { 2 }, .index = index, .source = { "10.1.0.2" }, .ok = false, .sourceBusy = true });
    CHECK(pieces[index].step == PieceStep::Missing);
    CHECK(pieces[index].retryAt > agent.now);
    CHECK(agent.state.peerHoldings.at("10.1.0.2").sets.front().held.at(index));
    for (const StageEffect& effect : effects)
        CHECK_FALSE(std::holds_alternative<LogLine>(effect));
}

// Guards against missing the bound of the newer version: two versions are declared in quick succession while the origin
// is down for most of their allowed time.
TEST_CASE("A version that cannot be in service before the next one must be is dropped", "[stage]")
{
    StageFixture agent;
    agent.report(1);
    agent.declare(2);
    agent.now += Milliseconds { 2000 };
    agent.declare(3);
    REQUIRE(agent.state.jobs.size() == 2);
    agent.now += Milliseconds { 4500 };
    agent.event(StageTick {});
    CHECK(agent.state.jobs.size() == 2);
    agent.now += Milliseconds { 500 };
    agent.event(StageTick {});
    REQUIRE(agent.state.jobs.size() == 1);
    CHECK(agent.state.jobs.front().version == WeightsVersion { 3 });
}
