#include "peer_codec_func.h"
#include "peer_state_type.h"
#include "peer_table_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against a field of a beacon that is lost or read into another field.
TEST_CASE("A beacon is unchanged by encoding and decoding", "[peer]")
{
    PeerBeacon beacon { .from = { .host = { "h" },
                            .incarnation = { 7 },
                            .front = "10.0.0.1:80",
                            .control = "10.0.0.1:81",
                            .dataCentre = { "a" },
                            .ready = true },
        .configVersion = { 12 },
        .operatorTableRevision = 77,
        .loads = { { .upstream = 99, .sent = 3, .prefillTokens = 1200 } } };
    beacon.engine = EngineReported { .address = "10.0.0.2:80",
        .report = { .models = { { .model = { "m" }, .version = { 4 } } },
            .busy = true,
            .slowdown = 1.5,
            .processStartedAt = 5 },
        .orderPending = true };
    beacon.pieces = { { .version = { 4 }, .held = { true, false, true, true, false, false, true, false, true } } };
    beacon.dataCentreSummary = DataCentreSummary { .totals = { { .upstream = 8, .sent = 5, .prefillTokens = 70 } },
        .engines = { *beacon.engine },
        .entries = { beacon.from } };
    const auto decoded = decodeBeacon(encodeBeacon(beacon));
    REQUIRE(decoded);
    CHECK(decoded.value().operatorTableRevision == 77);
    REQUIRE(decoded.value().dataCentreSummary);
    CHECK(decoded.value().dataCentreSummary->totals.at(0).sent == 5);
    CHECK(decoded.value().dataCentreSummary->engines.at(0).report.slowdown == 1.5);
    CHECK(decoded.value().dataCentreSummary->entries.at(0).ip == "10.0.0.1");
    CHECK(decoded.value().from.ip == "10.0.0.1");
    CHECK(decoded.value().loads.at(0).prefillTokens == 1200);
    CHECK(decoded.value().engine->report.models.at(0).version == WeightsVersion { 4 });
    CHECK(decoded.value().engine->orderPending);
    CHECK(decoded.value().pieces.at(0) == beacon.pieces.at(0));
}

// Guards against adopting part of a beacon that was cut off or is of another protocol.
TEST_CASE("Invalid and truncated beacons are rejected", "[peer]")
{
    CHECK_FALSE(decodeBeacon("no beacon"));
    const std::string whole = encodeBeacon({ .from = { .host = { "h" }, .control = "10.0.0.1:81" } });
    for (std::size_t length = 1; length + 1 < whole.size(); ++length)
        CHECK_FALSE(decodeBeacon(std::string_view(whole).substr(0, length)));
}

// Guards against entries that never find each other, and against an entry that failed but stays live because others
// name it.
TEST_CASE("An entry named by another is a beacon target, but only its own beacon makes it live", "[peer]")
{
    PeerTable table;
    const PeerInfo other {
        .host = { "o" }, .incarnation = { 1 }, .ip = "10.0.0.3", .front = "10.0.0.3:80", .ready = true
    };
    recordBeacon(table, { "self" },
        { .from = { .host = { "h" }, .front = "x", .control = "10.0.0.1:1" }, .known = { other } }, "10.0.0.1",
        { 5000 });
    CHECK(liveEntries(table, { 5100 }).size() == 1);
    CHECK(beaconTargets(table, "10.0.0.9").size() == 2);
    recordBeacon(table, { "self" }, { .from = other }, "10.0.0.3", { 5200 });
    CHECK(liveEntries(table, { 5300 }).size() == 2);
    CHECK(liveEntries(table, { 6500 }).empty());
}

// Guards against a copy that appears newer than it is because of the transfer time, or of the peer's different
// clock.
TEST_CASE("The age of a peer's table copy counts from the time of the request", "[peer]")
{
    platform::TableSnapshot operators { .revision = 9, .asOf = { 900 } };
    operators.rows["config"] = { .key = "config", .value = "text", .revision = 8 };
    const platform::TableSnapshot upstreams { .revision = 9, .asOf = { 950 } };
    const std::string target = peerTablesTarget({ .operators = 3, .upstreams = 9 });
    const PeerRevisions held = decodePeerRevisions(target);
    CHECK(held.operators == 3);
    CHECK(held.upstreams == 9);
    FetchResponse answer { .body
        = encodePeerTables({ .operators = operators, .upstreams = upstreams, .declared = {} }, held, { 1000 }) };
    const auto tables = decodePeerTables(Result<FetchResponse>(answer), { 70000 });
    REQUIRE(tables);
    CHECK(tables.value().operators.asOf == Milliseconds { 69900 });
    CHECK(tables.value().operators.rows.at(0).value == "text");
    CHECK(tables.value().upstreams.rows.empty());
    CHECK_FALSE(tables.value().upstreams.keys);
}

// Guards against a bound of declared weights that comes out too late at a peer, and one that is lost on the way.
TEST_CASE("Declared weights reach a peer with moments that are not after those of the sender", "[peer]")
{
    const platform::TableSnapshot table { .revision = 9, .asOf = { 950 } };
    std::map<ModelId, DeclaredWeights> declared;
    for (std::uint64_t version = 1; version <= 20; ++version)
        declared[{ "model" }][{ version }].notBefore = Milliseconds { static_cast<std::int64_t>(version * 10) };
    declared[{ "other" }][{ 2 }].notBefore = Milliseconds { -5000 };
    declared[{ "unknown" }][{ 2 }] = {};
    const std::string body
        = encodePeerTables({ .operators = table, .upstreams = table, .declared = declared }, {}, { 1000 });
    // The sender's clock is 69 s behind; the answer was computed 20 ms after the request was sent.
    const auto tables = decodePeerTables(Result<FetchResponse>(FetchResponse { .body = body }), { 69980 });
    REQUIRE(tables);
    std::map<ModelId, DeclaredWeights> told;
    for (const PeerWeights& known : tables.value().declared)
        told[known.model][known.version].notBefore = known.notBefore;
    REQUIRE(told[{ "other" }].contains({ 2 }));
    REQUIRE(told[{ "unknown" }].contains({ 2 }));
    CHECK(told[{ "model" }].size() >= 4);
    CHECK(told[{ "model" }].size() <= 10);
    CHECK(told[{ "model" }].rbegin()->first == WeightsVersion { 20 });
    for (const auto& [model, versions] : told)
        for (const auto& [version, known] : versions) {
            const std::optional<Milliseconds> notBefore = known.notBefore;
            REQUIRE(notBefore.has_value() == (model.value != "unknown"));
            if (!notBefore)
                continue;
            const Milliseconds truth = *declared[model][version].notBefore + Milliseconds { 69000 };
            CHECK(*notBefore < truth);
            CHECK(*notBefore > truth - Milliseconds { 25 });
        }
    // Entries of the previous release tell nothing.
    const std::string old = R"({"operators":{"revision":9,"age_ms":5},"upstreams":{"revision":9,"age_ms":5}})";
    const auto silent = decodePeerTables(Result<FetchResponse>(FetchResponse { .body = old }), { 70000 });
    REQUIRE(silent);
    CHECK(silent.value().declared.empty());
}

// Guards against a removed row that stays in the copies of entries that were not told.
TEST_CASE("Table changes list all keys when a row was removed after the given revision", "[peer]")
{
    platform::TableSnapshot copy { .revision = 20, .asOf = { 900 }, .lastRemovalRevision = 12 };
    copy.rows["old"] = { .key = "old", .value = "1", .revision = 5 };
    copy.rows["new"] = { .key = "new", .value = "2", .revision = 15 };
    const platform::TableChanges recent = platform::changesSince(copy, 13);
    CHECK(recent.rows.size() == 1);
    CHECK_FALSE(recent.keys);
    const platform::TableChanges older = platform::changesSince(copy, 11);
    CHECK(older.rows.size() == 1);
    REQUIRE(older.keys);
    CHECK(*older.keys == std::set<std::string> { "new", "old" });
    CHECK(platform::changesSince(copy, 0).rows.size() == 2);
}

// Guards against a store polled by every entry, and against none polling it after an entry failed.
TEST_CASE("Two of twelve entries are store followers, and one that is gone is replaced", "[peer]")
{
    std::vector<HostId> entries;
    for (int index = 0; index < 12; ++index)
        entries.push_back({ "entry-" + std::to_string(index) });
    const auto followers = [&] {
        std::vector<HostId> found;
        for (const HostId& host : entries)
            if (isStorePoller(host, entries))
                found.push_back(host);
        return found;
    };
    const std::vector<HostId> first = followers();
    CHECK(first.size() == 2);
    std::erase(entries, first.front());
    CHECK(followers().size() == 2);
    entries = { { "alone" } };
    CHECK(isStorePoller({ "alone" }, entries));
}

// Guards against reading tables across data centres without need, and against an entry that has no source at all.
TEST_CASE("Table sources are followers of the same data centre, else all followers, else all entries", "[peer]")
{
    std::vector<PeerInfo> live;
    for (int index = 0; index < 12; ++index)
        live.push_back({ .host = { "entry-" + std::to_string(index) },
            .dataCentre = { index % 2 == 0 ? "a" : "b" },
            .ready = true });
    for (const char* dataCentre : { "a", "b", "c" })
        for (const PeerInfo& source : tableSources(live, { dataCentre }))
            CHECK((source.dataCentre.value == dataCentre || tableSources(live, { dataCentre }).size() == 2));
    for (PeerInfo& entry : live)
        entry.ready = false;
    CHECK(tableSources(live, { "a" }).size() == 12);
}

// Guards against a data centre that no entry represents, or two entries for long, after its representative failed.
TEST_CASE("The live entry that is first by name represents its data centre", "[peer]")
{
    PeerTable table;
    const auto entry = [](const char* host, const char* ip, const char* dataCentre) {
        return PeerInfo { .host = { host }, .incarnation = { 1 }, .ip = ip, .front = ip, .dataCentre = { dataCentre } };
    };
    recordBeacon(table, { "b" }, { .from = entry("a", "10.0.0.1", "x") }, "10.0.0.1", { 5000 });
    recordBeacon(table, { "b" }, { .from = entry("c", "10.0.0.3", "y") }, "10.0.0.3", { 5000 });
    const PeerInfo self = entry("b", "10.0.0.2", "x");
    CHECK_FALSE(representsDataCentre(table, self, { 5500 }));
    CHECK(representsDataCentre(table, self, { 6100 }));
    CHECK(dataCentreTargets(table, { "x" }, "10.0.0.2") == std::vector<std::string> { "10.0.0.1" });
    CHECK(otherDataCentreTargets(table, { "x" }) == std::vector<std::string> { "10.0.0.3" });
    SECTION("entries listed in a summary stay live for longer than those heard directly")
    {
        recordIndirectEntries(table, { "y" }, { entry("d", "10.0.0.4", "y"), entry("e", "10.0.0.5", "x") }, { 6000 });
        CHECK(liveEntries(table, { 7500 }).size() == 1);
        CHECK(liveEntries(table, { 8100 }).empty());
        recordBeacon(table, { "b" }, { .from = entry("d", "10.0.0.4", "y") }, "10.0.0.4", { 8200 });
        CHECK(liveEntries(table, { 9300 }).empty());
    }
    SECTION("entries are recent for ten seconds after they became known")
    {
        CHECK(recentEntries(table, { 5500 }).size() == 2);
        for (std::int64_t now = 6000; now < 16000; now += 500)
            recordBeacon(table, { "b" }, { .from = entry("a", "10.0.0.1", "x") }, "10.0.0.1", { now });
        CHECK(recentEntries(table, { 16000 }).empty());
    }
}
