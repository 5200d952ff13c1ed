#include "peer_table_func.h"
#include "platform_table_io.h"
#include "relay_fixture.h"
#include "soak_store.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace hickory;

namespace {

/// A stand-in store and a follower of its table "op".
struct FollowedStore {
    FollowedStore()
        : address("127.0.0.1:" + std::to_string(freePort()))
        , store(this->io, this->address)
        , follower(this->io, this->pool,
              { .address = this->address, .table = "op", .wait = { 100 }, .retryDelay = { 20 } },
              { .onChange
                  = [this](const auto& rows) { this->changed.insert(this->changed.end(), rows.begin(), rows.end()); },
                  .onConfirmed = [] {},
                  .onLost = [](const Error&) {},
                  .onRegained = [](Milliseconds) {},
                  .onRestored = [this](const StoreVersion&, const StoreVersion&) { ++this->restores; },
                  .onLate = [](const platform::LateAnswer&) {} })
    {
    }

    static std::uint16_t freePort()
    {
        asio::io_context io;
        return asio::ip::tcp::acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 }).local_endpoint().port();
    }

    template <typename Condition> bool runUntil(const Condition& condition)
    {
        const Milliseconds until = monotonicNow() + Milliseconds { 2000 };
        while (!condition() && monotonicNow() < until) {
            this->io.restart();
            this->io.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    bool holds(const std::string& key, const std::string& value)
    {
        return this->runUntil([&] {
            const auto& rows = this->follower.snapshot().rows;
            const auto row = rows.find(key);
            return value.empty() ? row == rows.end() : row != rows.end() && row->second.value == value;
        });
    }

    asio::io_context io;
    std::string address;
    soak::Store store;
    CallPool pool { this->io, {} };
    std::vector<platform::TableRow> changed;
    int restores { 0 };
    platform::TableFollower follower;
};

} // namespace

// Guards against an entry that waits for the revisions of a store to pass those of the history that it lost.
TEST_CASE("A follower reads a store that came back from an older copy", "[store-era]")
{
    FollowedStore fleet;
    fleet.store.put("op", "config", "1");
    fleet.store.keepCopy();
    fleet.follower.start();
    REQUIRE(fleet.holds("config", "1"));
    for (int version = 2; version < 10; ++version)
        fleet.store.put("op", "config", std::to_string(version));
    fleet.store.put("op", "lost", "x");
    REQUIRE(fleet.holds("lost", "x"));
    SECTION("while its revisions are below those that were lost")
    {
        fleet.store.restore();
        CHECK(fleet.holds("config", "1"));
        CHECK(fleet.holds("lost", ""));
        fleet.store.put("op", "config", "10");
        CHECK(fleet.holds("config", "10"));
    }
    SECTION("once its revisions have passed those that were lost")
    {
        const std::uint64_t before = fleet.store.currentRevision();
        fleet.store.mode = soak::Store::Mode::Silent;
        fleet.store.restore();
        fleet.store.put("op", "new", "y");
        while (fleet.store.currentRevision() < before + 5)
            fleet.store.put("servers", "s", "heartbeat");
        fleet.store.mode = soak::Store::Mode::Up;
        CHECK(fleet.holds("new", "y"));
        CHECK(fleet.holds("lost", ""));
        CHECK(fleet.holds("config", "1"));
    }
    CHECK(fleet.restores == 1);
    CHECK(fleet.follower.snapshot().version.era == 2);
}

namespace {

platform::TableChanges peerCopy(
    const StoreVersion& version, std::uint64_t eraStart, const std::string& value, std::uint64_t revision)
{
    platform::TableChanges copy { .version = version, .eraStart = eraStart, .asOf = { 1 } };
    copy.rows.push_back({ .key = "config", .value = value, .revision = revision });
    copy.keys = std::set<std::string> { "config" };
    return copy;
}

} // namespace

// Guards against peers that still hold the lost history and teach it again.
TEST_CASE("A copy of an earlier era never replaces one of a later era", "[store-era]")
{
    FollowedStore fleet;
    fleet.follower.adopt(peerCopy({ .era = 1, .revision = 90 }, 10, "lost", 90));
    fleet.follower.adopt(peerCopy({ .era = 2, .revision = 57 }, 55, "restored", 50));
    CHECK(fleet.follower.snapshot().rows.at("config").value == "restored");
    CHECK(fleet.restores == 1);
    fleet.follower.adopt(peerCopy({ .era = 1, .revision = 95 }, 10, "lost", 95));
    CHECK(fleet.follower.snapshot().rows.at("config").value == "restored");
    CHECK(fleet.follower.snapshot().version == StoreVersion { .era = 2, .revision = 57 });
}

// Guards against a peer of another era that gets only the changes since a revision that means another state there.
TEST_CASE("A peer whose copy is of another era is sent all rows", "[store-era]")
{
    platform::TableSnapshot copy { .version = { .era = 2, .revision = 57 }, .eraStart = 55, .asOf = { 900 } };
    copy.rows["config"] = { .key = "config", .value = "text", .revision = 50 };
    const std::string target
        = peerTablesTarget({ .operators = { .era = 1, .revision = 90 }, .upstreams = { .era = 2, .revision = 57 } });
    const std::string body = encodePeerTables({ .operators = copy,
                                                  .upstreams = copy,
                                                  .declared = {},
                                                  .lostConfig = LostConfig { .text = "{}", .writtenIn = { 1, true } } },
        decodePeerVersions(target), { 1000 });
    const auto tables = decodePeerTables(Result<FetchResponse>(FetchResponse { .body = body }), { 1000 });
    REQUIRE(tables);
    CHECK(tables.value().operators.version == StoreVersion { .era = 2, .revision = 57 });
    CHECK(tables.value().operators.eraStart == 55);
    CHECK(tables.value().operators.rows.size() == 1);
    CHECK(tables.value().operators.keys == std::set<std::string> { "config" });
    CHECK(tables.value().upstreams.rows.empty());
    REQUIRE(tables.value().lostConfig);
    CHECK(tables.value().lostConfig->writtenIn == WrittenEra { .era = 1, .isExact = true });
}

// Guards against rows that stay in the copies of peers because the process that tells them never had these rows.
TEST_CASE("Peers learn of a removal from a copy that never held the row", "[store-era]")
{
    const bool isRestored = GENERATE(false, true);
    const bool isToldByAnother = GENERATE(false, true);
    FollowedStore source;
    FollowedStore between;
    FollowedStore last;
    const auto copyFrom = [](const FollowedStore& from, FollowedStore& to) {
        to.follower.adopt(platform::changesSince(from.follower.snapshot(), to.follower.snapshot().version));
    };
    if (isRestored) {
        source.follower.adopt(peerCopy({ .era = 1, .revision = 90 }, 10, "lost", 90));
        source.store.restore();
    }
    while (source.store.currentRevision() < 60)
        source.store.put("op", "kept", "1");
    source.follower.start();
    REQUIRE(source.holds("kept", "1"));
    const std::uint64_t era = source.follower.snapshot().version.era;
    platform::TableChanges before { .version = { .era = era, .revision = 50 }, .eraStart = 10, .asOf = { 1 } };
    before.rows = { { .key = "kept", .value = "1", .revision = 50 }, { .key = "gone", .value = "1", .revision = 40 } };
    before.keys = std::set<std::string> { "gone", "kept" };
    last.follower.adopt(before);
    REQUIRE(last.follower.snapshot().rows.contains("gone"));
    copyFrom(source, between);
    copyFrom(isToldByAnother ? between : source, last);
    CHECK_FALSE(last.follower.snapshot().rows.contains("gone"));
    CHECK(last.follower.snapshot().rows.contains("kept"));
    // Otherwise peers would send each other all keys in every answer.
    CHECK_FALSE(platform::changesSince(last.follower.snapshot(), between.follower.snapshot().version).keys);
    CHECK_FALSE(platform::changesSince(between.follower.snapshot(), last.follower.snapshot().version).keys);
}

// Guards against a row written after a restore that counts as restored because this entry read the store late.
TEST_CASE("An earlier first read of the era by a peer shows that a row was written in it", "[store-era]")
{
    FollowedStore fleet;
    fleet.follower.adopt(peerCopy({ .era = 2, .revision = 60 }, 60, "new", 57));
    CHECK_FALSE(isWrittenInEra(fleet.follower.snapshot(), fleet.follower.snapshot().rows.at("config")));
    fleet.changed.clear();
    fleet.follower.adopt(peerCopy({ .era = 2, .revision = 61 }, 55, "new", 57));
    CHECK(isWrittenInEra(fleet.follower.snapshot(), fleet.follower.snapshot().rows.at("config")));
    CHECK(fleet.changed.size() == 1);
}

// Guards against a configuration that comes back older with the store, and one with a lower version that operators
// wrote after it and that is never in force.
TEST_CASE("A restored configuration does not replace the one in force, one written since does", "[store-era]")
{
    RelayFixture relay;
    const auto update = [&](std::uint64_t version, const WrittenEra& writtenIn) {
        relay.event(ConfigUpdated { .config = RelayFixture::config(version), .writtenIn = writtenIn });
        return relay.state.config->version.value;
    };
    CHECK(update(12, { .era = 1, .isExact = true }) == 12);
    CHECK(update(8, { .era = 2 }) == 12);
    SECTION("written again")
    {
        CHECK(update(12, { .era = 2, .isExact = true }) == 12);
        CHECK(update(9, { .era = 2, .isExact = true }) == 12);
        CHECK(update(13, { .era = 2, .isExact = true }) == 13);
    }
    SECTION("continued from the copy")
    {
        CHECK(update(9, { .era = 2, .isExact = true }) == 9);
        CHECK(update(12, { .era = 1, .isExact = true }) == 9);
        CHECK(update(12, { .era = 1 }) == 9);
    }
}

// Guards against revoked keys and dropped routes at a process that starts while the store has an older configuration.
TEST_CASE(
    "A process that starts on a restored store takes the configuration that its peers have in force", "[store-era]")
{
    RelayFixture relay;
    const auto update = [&](std::uint64_t version, const WrittenEra& writtenIn) {
        relay.event(ConfigUpdated { .config = RelayFixture::config(version), .writtenIn = writtenIn });
        return relay.state.config->version.value;
    };
    CHECK(update(8, { .era = 2 }) == 8);
    CHECK(update(12, { .era = 1, .isExact = true }) == 12);
    CHECK(update(9, { .era = 2, .isExact = true }) == 9);
}
