#include "stage_reduce_func.h"
#include "stage_source_func.h"

#include <catch2/catch.hpp>

#include <map>

using namespace hickory;

namespace {

constexpr std::uint32_t pieceCount = 64;

/// One agent with its engine, driven event by event.
struct StageFixture {
    StageState state; ///< under test
    Milliseconds now { 100000 }; ///< time of the next event
    std::uint64_t orders { 0 }; ///< accepted by the engine
    std::int64_t processStartedAt { 1 }; ///< of the engine

    explicit StageFixture(const std::string& ip = "10.1.0.1")
        : state(makeStageState({ .host = { "agent" }, .ip = ip, .dataCentre = { "a" }, .service = { "engine" } }))
    {
    }

    std::vector<StageEffect> event(const StageEvent& event) { return reduceStage(this->state, event, this->now); }

    std::vector<StageEffect> declare(std::uint64_t version)
    {
        FleetView view { .model = { "model" }, .originAddress = "10.9.0.1:1", .declared = { version } };
        for (int host = 1; host <= 4; ++host)
            view.hosts.push_back({ .ip = "10.1.0." + std::to_string(host), .dataCentre = { host <= 2 ? "a" : "b" } });
        return this->event(FleetViewUpdated { .view = view });
    }

    std::vector<StageEffect> report(std::uint64_t version, bool busy = false)
    {
        EngineReport report { .busy = busy, .orders = this->orders, .processStartedAt = this->processStartedAt };
        if (version > 0)
            report.models.push_back({ .model = { "model" }, .version = { version } });
        return this->event(EngineReportRead { report });
    }

    /// Answers questions for manifests and pieces, and writes beside the engine, until nothing more is asked.
    void settle(std::vector<StageEffect> effects)
    {
        while (!effects.empty()) {
            std::vector<StageEffect> next;
            const auto add = [&](std::vector<StageEffect> more) { next.insert(next.end(), more.begin(), more.end()); };
            for (const StageEffect& effect : effects) {
                if (const auto* manifest = std::get_if<RequestManifest>(&effect))
                    add(this->event(ManifestFetched { .version = manifest->version, .pieceCount = pieceCount }));
                else if (const auto* piece = std::get_if<RequestPiece>(&effect))
                    add(this->event(PieceFetched {
                        .version = piece->version, .index = piece->index, .source = piece->source, .ok = true }));
                else if (const auto* stage = std::get_if<StagePiece>(&effect))
                    add(this->event(PieceStaged { .version = stage->version, .index = stage->index, .ok = true }));
                else
                    this->rest.push_back(effect);
            }
            effects = std::move(next);
        }
    }

    /// Tells of another agent that holds all pieces of a version.
    std::vector<StageEffect> peerHolds(const std::string& ip, std::uint64_t version)
    {
        return this->event(PeerPiecesReceived {
            .ip = ip, .sets = { { .version = { version }, .held = std::vector<bool>(pieceCount, true) } } });
    }

    template <typename Effect> bool gave() const
    {
        for (const StageEffect& effect : this->rest)
            if (std::holds_alternative<Effect>(effect))
                return true;
        return false;
    }

    std::vector<StageEffect> rest; ///< effects that settle() did not answer
};

} // namespace

TEST_CASE("an empty engine is ordered once its pieces were read back intact", "[stage]")
{
    StageFixture agent;
    agent.settle(agent.declare(1));
    agent.settle(agent.peerHolds("10.1.0.2", 1));
    agent.settle(agent.report(0));
    REQUIRE(agent.gave<CheckStagedPieces>());
    CHECK_FALSE(agent.gave<SendLoadOrder>());
    SECTION("a piece that rotted is written again before the order")
    {
        agent.rest.clear();
        const auto effects = agent.event(StagedPiecesChecked { .version = { 1 }, .bad = { 5 } });
        bool written = false;
        for (const StageEffect& effect : effects)
            if (const auto* stage = std::get_if<StagePiece>(&effect))
                written = written || stage->index == 5;
        CHECK(written);
        agent.settle(effects);
        CHECK(agent.gave<CheckStagedPieces>());
        CHECK_FALSE(agent.gave<SendLoadOrder>());
    }
    SECTION("entries are told, and keep new work away until the engine reports the version")
    {
        agent.settle(agent.event(StagedPiecesChecked { .version = { 1 } }));
        CHECK(agent.gave<AnnounceLoadOrder>());
        CHECK(orderPending(agent.state));
        CHECK(agent.gave<SendLoadOrder>()); // no work can be under way
        agent.settle(agent.event(LoadOrderAnswered { .version = { 1 }, .status = 202 }));
        CHECK(orderPending(agent.state));
        agent.settle(agent.report(1));
        CHECK_FALSE(orderPending(agent.state));
    }
}

TEST_CASE("an engine that restarts empty under its id is loaded again from memory", "[stage]")
{
    StageFixture agent;
    agent.settle(agent.declare(1));
    agent.settle(agent.peerHolds("10.1.0.2", 1));
    agent.settle(agent.report(0));
    agent.settle(agent.event(StagedPiecesChecked { .version = { 1 } }));
    agent.now += Milliseconds { 200 };
    agent.settle(agent.event(StageTick {}));
    agent.settle(agent.event(LoadOrderAnswered { .version = { 1 }, .status = 202 }));
    agent.settle(agent.report(1));
    agent.rest.clear();
    agent.processStartedAt = 2;
    const auto effects = agent.report(0);
    std::size_t written = 0;
    for (const StageEffect& effect : effects)
        written += std::holds_alternative<StagePiece>(effect) ? 1 : 0;
    CHECK(written > 0);
    agent.settle(effects);
    CHECK(agent.gave<CheckStagedPieces>());
}

TEST_CASE("an order without an answer is not repeated before the engine had time to obey", "[stage]")
{
    StageFixture agent;
    agent.settle(agent.declare(1));
    agent.settle(agent.peerHolds("10.1.0.2", 1));
    agent.settle(agent.report(0));
    agent.settle(agent.event(StagedPiecesChecked { .version = { 1 } }));
    agent.now += Milliseconds { 200 };
    agent.settle(agent.event(StageTick {}));
    agent.settle(agent.event(LoadOrderAnswered { .version = { 1 }, .status = 0 }));
    agent.rest.clear();
    agent.now += Milliseconds { 2000 };
    agent.settle(agent.report(0));
    CHECK_FALSE(agent.gave<CheckStagedPieces>());
    agent.now += Milliseconds { 5000 };
    agent.settle(agent.report(0));
    agent.settle(agent.event(StageTick {}));
    CHECK(agent.gave<CheckStagedPieces>());
}

TEST_CASE("an engine at work waits for its turn", "[stage]")
{
    StageFixture agent;
    agent.settle(agent.declare(1));
    agent.settle(agent.report(1));
    agent.rest.clear();
    agent.settle(agent.declare(2));
    agent.settle(agent.peerHolds("10.1.0.2", 2));
    agent.settle(agent.report(1));
    CHECK_FALSE(agent.gave<CheckStagedPieces>());
    agent.now += orderTurn(agent.state, { 2 }) + Milliseconds { 1 };
    agent.settle(agent.event(StageTick {}));
    CHECK(agent.gave<CheckStagedPieces>());
}

TEST_CASE("an engine at work finishes most of it before the order, and the last streams are cut", "[stage]")
{
    StageFixture agent;
    agent.settle(agent.declare(1));
    agent.settle(agent.report(1));
    agent.settle(agent.declare(2));
    agent.settle(agent.peerHolds("10.1.0.2", 2));
    agent.now += orderTurn(agent.state, { 2 }) + Milliseconds { 1 };
    agent.state.peerHoldings["10.1.0.2"].receivedAt = agent.now;
    agent.settle(agent.report(1));
    agent.settle(agent.event(StagedPiecesChecked { .version = { 2 } }));
    REQUIRE(agent.gave<AnnounceLoadOrder>());
    CHECK(orderPending(agent.state));
    CHECK_FALSE(agent.gave<SendLoadOrder>());
    const auto reportRunning = [&](std::uint32_t running) {
        EngineReport report { .running = running, .processStartedAt = 1 };
        report.models.push_back({ .model = { "model" }, .version = { 1 } });
        agent.settle(agent.event(EngineReportRead { report }));
    };
    const auto given = [&]() -> const SendLoadOrder* {
        for (const StageEffect& effect : agent.rest)
            if (const auto* order = std::get_if<SendLoadOrder>(&effect))
                return order;
        return nullptr;
    };
    agent.now += Milliseconds { 300 };
    reportRunning(12);
    CHECK_FALSE(given());
    SECTION("as soon as few are left")
    {
        agent.now += Milliseconds { 300 };
        reportRunning(2);
        REQUIRE(given());
        CHECK(given()->abortRunning);
    }
    SECTION("an engine with long answers is ordered after a while and finishes them")
    {
        agent.now += Milliseconds { 1500 };
        reportRunning(9);
        REQUIRE(given());
        CHECK_FALSE(given()->abortRunning);
    }
}

TEST_CASE("a version that was begun a while ago is finished before one declared after it", "[stage]")
{
    StageFixture agent;
    agent.settle(agent.declare(1));
    agent.settle(agent.report(1));
    agent.declare(2);
    SECTION("unless it was just begun")
    {
        agent.now += Milliseconds { 500 };
        agent.declare(3);
        REQUIRE(agent.state.jobs.size() == 1);
        CHECK(agent.state.jobs.front().version == WeightsVersion { 3 });
    }
    SECTION("and the later one follows once the order was accepted")
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

TEST_CASE("while nobody holds a version, each piece is fetched from the origin by one host", "[stage]")
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

TEST_CASE("a piece held in another place is fetched by one host of this place, then passed on", "[stage]")
{
    int fetchers = 0;
    for (int host = 1; host <= 2; ++host) {
        StageFixture agent("10.1.0." + std::to_string(host));
        agent.declare(2);
        agent.state.jobs.front().pieces.assign(pieceCount, {});
        agent.peerHolds("10.1.0.3", 2);
        // peerHolds() may already have asked for it.
        const PieceState& piece = agent.state.jobs.front().pieces[7];
        fetchers += piece.step == PieceStep::Fetching && piece.source == "10.1.0.3" ? 1 : 0;
        if (piece.step == PieceStep::Missing)
            fetchers += chooseSource(agent.state, agent.state.jobs.front(), 7, agent.now) ? 1 : 0;
    }
    CHECK(fetchers == 1);
}

TEST_CASE("the duty for a piece passes on when nobody holds it after a while", "[stage]")
{
    std::map<std::uint32_t, int> fetched;
    for (int host = 1; host <= 3; ++host) { // host 4 is lost
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

// Load pattern: a host whose link became narrow while it fetches weights. Requests and streams of its engine, and the
// closing of what callers gave up, wait behind the pieces.
TEST_CASE("fewer pieces are asked for at once over a link that answers slowly", "[stage]")
{
    StageFixture agent;
    agent.report(1);
    for (int count = 0; count < 4; ++count)
        agent.event(LinkMeasured { .roundTrip = { 600 } });
    agent.declare(2);
    agent.event(ManifestFetched { .version = { 2 }, .pieceCount = pieceCount });
    const auto asked = [&] {
        const auto& pieces = agent.state.jobs.back().pieces;
        return std::count_if(
            pieces.begin(), pieces.end(), [](const PieceState& piece) { return piece.step == PieceStep::Fetching; });
    };
    agent.peerHolds("10.1.0.2", 2);
    CHECK(asked() == minPiecesInFlight);
    for (int count = 0; count < 6; ++count)
        agent.event(LinkMeasured { .roundTrip = { 5 } });
    CHECK(asked() > minPiecesInFlight);
    CHECK(agent.state.window == maxPiecesInFlight);
}

TEST_CASE("a piece that another agent lost is fetched elsewhere", "[stage]")
{
    StageFixture agent;
    agent.report(1);
    agent.declare(2);
    agent.event(ManifestFetched { .version = { 2 }, .pieceCount = pieceCount });
    agent.peerHolds("10.1.0.2", 2);
    const auto& pieces = agent.state.jobs.back().pieces;
    const auto asked = std::find_if(
        pieces.begin(), pieces.end(), [](const PieceState& piece) { return piece.source == "10.1.0.2"; });
    REQUIRE(asked != pieces.end());
    const auto index = static_cast<std::uint32_t>(asked - pieces.begin());
    agent.event(PieceFetched { .version = { 2 }, .index = index, .source = { "10.1.0.2" }, .ok = false });
    CHECK_FALSE(agent.state.peerHoldings.at("10.1.0.2").sets.front().held.at(index));
    CHECK(agent.state.peerHoldings.at("10.1.0.2").sets.front().held.at((index + 1) % pieceCount));
}

TEST_CASE("agents of other data centres are told of pieces that came from the origin", "[stage]")
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
    CHECK(count(originPieces(agent.state)) < count(ownPieces(agent.state)));
}

// Load pattern: a hundred hosts learn of a version within a moment; the origin takes 48 connections and needs 2.8 s for
// one copy.
TEST_CASE("few hosts ask the origin for the digests, the others ask those", "[stage]")
{
    FleetView view { .model = { "model" }, .originAddress = "10.9.0.1:1", .originMbps = 5.94, .declared = { 2 } };
    constexpr int hosts = 88;
    for (int host = 0; host < hosts; ++host)
        view.hosts.push_back({ .ip = "10.1.0." + std::to_string(100 + host), .dataCentre = { "a" } });
    int asked = 0;
    for (const StagePeer& host : view.hosts) {
        StageFixture agent(host.ip);
        agent.report(1);
        const auto effects = agent.event(FleetViewUpdated { .view = view });
        for (const StageEffect& effect : effects)
            if (const auto* manifest = std::get_if<RequestManifest>(&effect))
                asked += manifest->source.ip.empty() ? 1 : 0;
        const std::string other = host.ip == "10.1.0.100" ? "10.1.0.101" : "10.1.0.100";
        const auto later = agent.event(PeerPiecesReceived {
            .ip = other, .sets = { { .version = { 2 }, .held = std::vector<bool>(pieceCount, false) } } });
        for (const StageEffect& effect : later)
            if (const auto* manifest = std::get_if<RequestManifest>(&effect))
                CHECK(manifest->source.ip == other);
    }
    CHECK(asked == manifestHosts);
}

TEST_CASE("pieces are asked for at the origin no faster than its link sends them", "[stage]")
{
    FleetView view { .model = { "model" }, .originAddress = "10.9.0.1:1", .originMbps = 5.94, .declared = { 2 } };
    for (int host = 1; host <= 4; ++host)
        view.hosts.push_back({ .ip = "10.1.0." + std::to_string(host), .dataCentre = { "a" } });
    std::size_t early = 0;
    std::size_t late = 0;
    for (const StagePeer& host : view.hosts) {
        StageFixture agent(host.ip);
        agent.report(1);
        agent.event(FleetViewUpdated { .view = view });
        agent.event(ManifestFetched { .version = { 2 }, .pieceCount = 64, .pieceBytes = 32768 });
        StageJob& job = agent.state.jobs.back();
        for (std::uint32_t piece = 0; piece < 64; ++piece) {
            early += chooseSource(agent.state, job, piece, job.since + Milliseconds { 100 }) ? 1 : 0;
            late += chooseSource(agent.state, job, piece, job.since + Milliseconds { 1400 }) ? 1 : 0;
        }
    }
    CHECK(early >= 8);
    CHECK(early <= 12);
    CHECK(late >= 36);
    CHECK(late <= 48);
}

// Load pattern: thirty hosts ask the first holder of a piece within a moment.
TEST_CASE("a busy source is asked again a little later, and is still known to hold the piece", "[stage]")
{
    StageFixture agent;
    agent.report(1);
    agent.declare(2);
    agent.event(ManifestFetched { .version = { 2 }, .pieceCount = pieceCount });
    agent.peerHolds("10.1.0.2", 2);
    const auto& pieces = agent.state.jobs.back().pieces;
    const auto asked = std::find_if(
        pieces.begin(), pieces.end(), [](const PieceState& piece) { return piece.source == "10.1.0.2"; });
    REQUIRE(asked != pieces.end());
    const auto index = static_cast<std::uint32_t>(asked - pieces.begin());
    const auto effects = agent.event(
        PieceFetched { .version = { 2 }, .index = index, .source = { "10.1.0.2" }, .ok = false, .sourceBusy = true });
    CHECK(pieces[index].step == PieceStep::Missing);
    CHECK(pieces[index].retryAt > agent.now);
    CHECK(agent.state.peerHoldings.at("10.1.0.2").sets.front().held.at(index));
    for (const StageEffect& effect : effects)
        CHECK_FALSE(std::holds_alternative<LogLine>(effect));
}

// Load pattern: two versions are declared in quick succession while the origin is down for most of their time.
TEST_CASE("a version that cannot serve before the next one is required is given up", "[stage]")
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
