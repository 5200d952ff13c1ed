#include "digest_func.h"
#include "fixed_seed.h"
#include "peer.capnp.h"
#include "peer_codec_func.h"
#include "peer_state_type.h"
#include "peer_table_func.h"
#include "table/crash_news_limits.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <catch2/catch.hpp>
#include <kj/io.h>
#include <limits>

using namespace hickory;

namespace {

/// @return a trait whose 64 bits do not compress
RequestTrait someTrait(std::size_t number) { return { stableHash("test-trait", std::to_string(number)) }; }

/// @return news with the given number of items in each list
CrashNews someNews(std::size_t crashes, std::size_t traitsOfCrash, std::size_t others)
{
    CrashNews news;
    for (std::size_t index = 0; index < crashes; ++index) {
        CrashReport crash { .crash = { someTrait(index + 5000).value }, .age = { 86'000'000 } };
        for (std::size_t trait = 0; trait < traitsOfCrash; ++trait)
            crash.traits.push_back(someTrait(index * 100 + trait));
        news.crashes.push_back(std::move(crash));
    }
    for (std::size_t index = 0; index < others; ++index) {
        news.quarantines.push_back({ .traits = {}, .age = { 85'000'000 }, .count = 999 });
        for (std::size_t trait = 0; trait < maxNewsTraitsOfQuarantine; ++trait)
            news.quarantines.back().traits.push_back(someTrait(index * 10 + trait + 7000));
        news.sound.push_back({ .trait = someTrait(index + 9000), .age = { 84'000'000 } });
    }
    return news;
}

PeerBeacon beaconWith(CrashNews news)
{
    PeerBeacon beacon { .from = { .host = { "h" }, .front = "10.0.0.1:80", .control = "10.0.0.1:81" } };
    beacon.crashNews = std::move(news);
    return beacon;
}

std::size_t traitCount(const CrashNews& news)
{
    std::size_t count = 0;
    for (const CrashReport& crash : news.crashes)
        count += crash.traits.size();
    return count;
}

std::string packed(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    return { reinterpret_cast<const char*>(out.getArray().begin()), out.getArray().size() };
}

std::string bytesOfHex(const std::string& hex)
{
    std::string bytes;
    for (std::size_t index = 0; index + 1 < hex.size(); index += 2)
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(index, 2), nullptr, 16)));
    return bytes;
}

} // namespace

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
        .configWrittenIn = { .era = 2, .isExact = true },
        .operatorTable = { .era = 3, .revision = 77 },
        .loads = { { .upstream = 99, .sent = 3, .prefillTokens = 1200 } } };
    beacon.engine = EngineReported { .address = "10.0.0.2:80",
        .report = { .models = { { .model = { "m" }, .version = { 4 } } },
            .busy = true,
            .slowdown = 1.5,
            .processStartedAt = 5 },
        .orderPending = true,
        .clearing = true,
        .slowdownStated = true };
    beacon.engines = { *beacon.engine };
    beacon.engines[0].order = { .agentStart = { 9 }, .sequence = 44 };
    beacon.engines[0].age = { 120 };
    beacon.wantsPieces = true;
    beacon.pieces = { { .version = { 4 }, .held = { true, false, true, true, false, false, true, false, true } } };
    beacon.dataCentreSummary = DataCentreSummary { .totals = { { .upstream = 8, .sent = 5, .prefillTokens = 70 } },
        .engines = { *beacon.engine },
        .entries = { beacon.from } };
    const auto decoded = decodeBeacon(encodeBeacon(beacon));
    REQUIRE(decoded);
    CHECK(decoded.value().operatorTable == StoreVersion { .era = 3, .revision = 77 });
    CHECK(decoded.value().configVersion == ConfigVersion { 12 });
    CHECK(decoded.value().configWrittenIn == WrittenEra { .era = 2, .isExact = true });
    REQUIRE(decoded.value().dataCentreSummary);
    CHECK(decoded.value().dataCentreSummary->totals.at(0).sent == 5);
    CHECK(decoded.value().dataCentreSummary->engines.at(0).report.slowdown == 1.5);
    CHECK(decoded.value().dataCentreSummary->entries.at(0).ip == "10.0.0.1");
    CHECK(decoded.value().from.ip == "10.0.0.1");
    CHECK(decoded.value().loads.at(0).prefillTokens == 1200);
    CHECK(decoded.value().engine->report.models.at(0).version == WeightsVersion { 4 });
    CHECK(decoded.value().engine->orderPending);
    CHECK(decoded.value().engine->clearing);
    CHECK(decoded.value().engine->slowdownStated);
    CHECK(decoded.value().pieces.at(0) == beacon.pieces.at(0));
    CHECK(decoded.value().wantsPieces);
    CHECK(decoded.value().engines.at(0).order == beacon.engines[0].order);
    CHECK(decoded.value().engines.at(0).age == Milliseconds { 120 });
}

// Guards against a datagram that takes the memory of the process that decodes it: empty elements pack to almost
// nothing.
TEST_CASE("A beacon that is far larger once it is unpacked is refused", "[peer]")
{
    const unsigned count = GENERATE(100U, 300000U);
    capnp::MallocMessageBuilder message;
    message.initRoot<peer::Beacon>().initEngines(count);
    const std::string bytes = packed(message);
    REQUIRE(bytes.size() < 65507); // it fits into a datagram
    CHECK(decodeBeacon(bytes).ok() == (count == 100));
}

// Guards against adopting part of a beacon that was cut off or is of another protocol.
TEST_CASE("Invalid and truncated beacons are rejected", "[peer]")
{
    CHECK_FALSE(decodeBeacon("no beacon"));
    const std::string whole = encodeBeacon({ .from = { .host = { "h" }, .control = "10.0.0.1:81" } });
    for (std::size_t length = 1; length + 1 < whole.size(); ++length)
        CHECK_FALSE(decodeBeacon(std::string_view(whole).substr(0, length)));
}

// Guards against crash news that are lost, read into another field, or of another age.
TEST_CASE("Crash news are unchanged by encoding and decoding", "[peer]")
{
    CrashNews news = someNews(3, 5, 2);
    news.crashes.at(1).traits.clear();
    news.crashes.at(2).age = { 0 };
    news.quarantines.at(1).count = 1;
    const auto decoded = decodeBeacon(encodeBeacon(beaconWith(news)));
    REQUIRE(decoded);
    CHECK(decoded.value().crashNews == news);
    for (const CrashNews& part : { CrashNews { .crashes = news.crashes }, CrashNews { .quarantines = news.quarantines },
             CrashNews { .sound = news.sound } }) {
        const auto decodedPart = decodeBeacon(encodeBeacon(beaconWith(part)));
        REQUIRE(decodedPart);
        CHECK(decodedPart.value().crashNews == part);
    }
}

// Guards against beacons that grow although nothing crashed, and against entries that do not understand each other
// during a rolling restart.
TEST_CASE("A beacon of an older process has no crash news, and one without crashes is hardly longer", "[peer]")
{
    // Written by the encoder before beacons could carry crash news.
    const std::string older
        = bytesOfHex("101a500206010c014d511402041141170000114507114507000001070101110d12110d621111621115120168ff31302e"
                     "302e302e3100073a3830ff31302e302e302e3100073a3831016111040201633103b004500204500201");
    const auto decoded = decodeBeacon(older);
    REQUIRE(decoded);
    CHECK(decoded.value().crashNews.empty());
    CHECK(decoded.value().from.host.value == "h");
    CHECK(decoded.value().operatorTable == StoreVersion { .era = 0, .revision = 77 });
    REQUIRE(decoded.value().loads.size() == 1);
    CHECK(decoded.value().loads.at(0).prefillTokens == 1200);
    CHECK(encodeBeacon(decoded.value()).size() <= older.size() + 2);
}

// Guards against a datagram that is too long to send when many upstreams crash.
TEST_CASE("A beacon with more crash news than allowed carries the first of each kind in less than 8 KiB", "[peer]")
{
    constexpr std::size_t maxBytes = 8192;
    const CrashNews news = someNews(200, maxNewsTraits / maxNewsCrashes, 500);
    const std::string bytes = encodeBeacon(beaconWith(news));
    CHECK(bytes.size() < maxBytes);
    const auto decoded = decodeBeacon(bytes);
    REQUIRE(decoded);
    const CrashNews& kept = decoded.value().crashNews;
    CHECK(kept.crashes == std::vector(news.crashes.begin(), news.crashes.begin() + maxNewsCrashes));
    CHECK(traitCount(kept) == maxNewsTraits);
    CHECK(kept.quarantines == std::vector(news.quarantines.begin(), news.quarantines.begin() + maxNewsQuarantines));
    CHECK(kept.sound == std::vector(news.sound.begin(), news.sound.begin() + maxNewsSoundTraits));
    // Traits of a crash that are missing could make another trait look guilty: a crash is sent whole or not at all.
    const auto longCrashes = decodeBeacon(encodeBeacon(beaconWith(someNews(24, 64, 500))));
    REQUIRE(longCrashes);
    REQUIRE(longCrashes.value().crashNews.crashes.size() == maxNewsTraits / maxNewsTraitsOfCrash);
    for (const CrashReport& crash : longCrashes.value().crashNews.crashes)
        CHECK(crash.traits.size() == maxNewsTraitsOfCrash);
    const auto one = decodeBeacon(encodeBeacon(beaconWith(someNews(1, 90, 0))));
    REQUIRE(one);
    CHECK(one.value().crashNews.crashes.at(0).traits.size() == maxNewsTraitsOfCrash);
}

// Guards against a datagram that fills an entry's memory, and against ages that overflow when they are subtracted.
TEST_CASE("Decoded crash news stay within their limits whatever the sender wrote", "[peer]")
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<peer::Beacon>();
    root.initFrom().setHost("h");
    auto out = root.initCrashNews();
    auto crashes = out.initCrashes(100);
    for (auto crash : crashes) {
        crash.setAgeMs(0xffffffffU);
        crash.initTraits(100);
    }
    for (auto quarantine : out.initQuarantines(300))
        quarantine.setAgeMs(0xffffffffU);
    out.getQuarantines()[1].setCount(0xffffffffU);
    for (auto sound : out.initSound(300))
        sound.setAgeMs(0xfffffffeU);
    const auto decoded = decodeBeacon(packed(message));
    REQUIRE(decoded);
    const CrashNews& news = decoded.value().crashNews;
    CHECK(news.crashes.size() == maxNewsCrashes);
    CHECK(news.crashes.at(0).age == maxNewsAge);
    for (const CrashReport& crash : news.crashes)
        CHECK(crash.traits.size() == maxNewsTraitsOfCrash);
    CHECK(news.quarantines.size() == maxNewsQuarantines);
    CHECK(news.quarantines.at(0).age == maxNewsAge);
    CHECK(news.quarantines.at(0).count == 1);
    CHECK(news.quarantines.at(1).count == maxNewsQuarantineCount);
    CHECK(news.sound.size() == maxNewsSoundTraits);
    CHECK(news.sound.at(0).age == maxNewsAge);
}

// Guards against an age below 0 that becomes a huge one on its way.
TEST_CASE("Ages of crash news are sent within 0 and a day", "[peer]")
{
    CrashNews news = someNews(2, 1, 2);
    news.crashes.at(0).age = { -5 };
    news.crashes.at(1).age = { 1'000'000'000'000 };
    news.quarantines.at(0).age = { -1 };
    news.sound.at(0).age = { std::numeric_limits<std::int64_t>::min() };
    news.sound.at(1).age = { std::numeric_limits<std::int64_t>::max() };
    const auto decoded = decodeBeacon(encodeBeacon(beaconWith(news)));
    REQUIRE(decoded);
    CHECK(decoded.value().crashNews.crashes.at(0).age == Milliseconds { 0 });
    CHECK(decoded.value().crashNews.crashes.at(1).age == maxNewsAge);
    CHECK(decoded.value().crashNews.quarantines.at(0).age == Milliseconds { 0 });
    CHECK(decoded.value().crashNews.sound.at(0).age == Milliseconds { 0 });
    CHECK(decoded.value().crashNews.sound.at(1).age == maxNewsAge);
}

// Guards against a damaged datagram that ends a process or carries more than the limits.
TEST_CASE("A damaged beacon with crash news is refused or decoded within the limits", "[peer][property]")
{
    const std::string whole = encodeBeacon(beaconWith(someNews(3, 4, 2)));
    test::checkProperty("some bytes replaced", 71, 3000, [&](const std::vector<std::pair<std::size_t, char>>& changes) {
        std::string bytes = whole;
        for (const auto& [position, value] : changes)
            bytes[position % bytes.size()] = value;
        const auto decoded = decodeBeacon(bytes);
        if (!decoded)
            return;
        const CrashNews& news = decoded.value().crashNews;
        RC_ASSERT(news.crashes.size() <= maxNewsCrashes && news.quarantines.size() <= maxNewsQuarantines);
        RC_ASSERT(news.sound.size() <= maxNewsSoundTraits);
        for (const CrashReport& crash : news.crashes) {
            RC_ASSERT(crash.traits.size() <= maxNewsTraitsOfCrash);
            RC_ASSERT(crash.age >= Milliseconds { 0 } && crash.age <= maxNewsAge);
        }
    });
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
    platform::TableSnapshot operators { .version = { .revision = 9 }, .asOf = { 900 } };
    operators.rows["config"] = { .key = "config", .value = "text", .revision = 8 };
    const platform::TableSnapshot upstreams { .version = { .revision = 9 }, .asOf = { 950 } };
    const std::string target = peerTablesTarget({ .operators = { .revision = 3 }, .upstreams = { .revision = 9 } });
    const PeerVersions held = decodePeerVersions(target);
    CHECK(held.operators == StoreVersion { .revision = 3 });
    CHECK(held.upstreams == StoreVersion { .revision = 9 });
    FetchResponse answer { .body
        = encodePeerTables({ .operators = operators, .upstreams = upstreams, .declared = {} }, held, { 1000 }) };
    const auto tables = decodePeerTables(Result<FetchResponse>(answer), { 70000 });
    REQUIRE(tables);
    CHECK(tables.value().operators.asOf == Milliseconds { 69900 });
    CHECK(tables.value().operators.rows.at(0).value == "text");
    CHECK(tables.value().upstreams.rows.empty());
    CHECK_FALSE(tables.value().upstreams.keys);
}

// Guards against all entries of a data centre that read the store at once because the followers were late for a moment.
TEST_CASE("One entry of each data centre reads the tables first when copies are too old", "[peer]")
{
    const auto entry = [](const char* host, const char* dataCentre, bool ready = true) {
        PeerInfo info { .host = { host }, .dataCentre = { dataCentre } };
        info.ready = ready;
        return info;
    };
    const std::vector<PeerInfo> all { entry("a1", "a"), entry("a2", "a"), entry("a3", "a"), entry("b1", "b") };
    std::map<std::string, int> named;
    for (std::size_t self = 0; self < all.size(); ++self) {
        std::vector<PeerInfo> others = all;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
        const std::optional<PeerInfo> reader = tableReader(others, all[self]);
        ++named[reader ? reader->host.value : all[self].host.value];
        CHECK((!reader || reader->dataCentre == all[self].dataCentre));
    }
    // All entries of a data centre name the same one.
    REQUIRE(named.size() == 2);
    CHECK(named["b1"] == 1);
    // One that is not ready, or that is not heard, is no reader.
    CHECK_FALSE(tableReader({ entry("b1", "b") }, entry("a1", "a")));
    CHECK_FALSE(tableReader({ entry("a2", "a", false), entry("a3", "a", false) }, entry("a1", "a")));
}

// Guards against a large configuration that crosses the link between data centres once for each entry.
TEST_CASE("Large rows are fetched through the reader of the data centre", "[peer]")
{
    const auto entry = [](const char* host, const char* dataCentre) {
        PeerInfo info { .host = { host }, .dataCentre = { dataCentre } };
        info.ready = true;
        return info;
    };
    const PeerInfo follower = entry("f", "far");
    const std::vector<PeerInfo> here { entry("a1", "a"), entry("a2", "a"), entry("a3", "a") };
    int fromAfar = 0;
    for (std::size_t self = 0; self < here.size(); ++self) {
        std::vector<PeerInfo> others = here;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
        others.push_back(follower);
        fromAfar += largeRowsSource(others, here[self], follower, 0).host == follower.host ? 1 : 0;
        // The reader may be cut off, and an entry of this data centre may have the rows already.
        CHECK(largeRowsSource(others, here[self], follower, 4).host == follower.host);
        CHECK(largeRowsSource(others, here[self], others[0], 0).host == others[0].host);
    }
    CHECK(fromAfar == 1);
}

// Guards against a list of upstreams that waits behind a configuration of thousands of routes: entries then sent
// requests to upstreams that had left 3 s before.
TEST_CASE("A peer leaves out large operators' rows unless they are asked for", "[peer]")
{
    platform::TableSnapshot operators { .version = { .revision = 9 }, .asOf = { 900 } };
    operators.rows["config"] = { .key = "config", .value = std::string(500'000, 'x'), .revision = 8 };
    platform::TableSnapshot upstreams { .version = { .revision = 9 }, .asOf = { 950 } };
    upstreams.rows["i-1"] = { .key = "i-1", .value = "{}", .revision = 9 };
    const auto fetch = [&](bool large, std::uint64_t revision) {
        const PeerVersions held = decodePeerVersions(peerTablesTarget(
            { .operators = { .revision = revision }, .upstreams = { .revision = 3 }, .large = large }));
        const FetchResponse answer { .body
            = encodePeerTables({ .operators = operators, .upstreams = upstreams, .declared = {} }, held, { 1000 }) };
        return decodePeerTables(Result<FetchResponse>(answer), { 70000 });
    };
    const auto prompt = fetch(false, 3);
    REQUIRE(prompt);
    CHECK(prompt.value().operatorsLarge);
    CHECK(prompt.value().operators.rows.empty());
    CHECK(prompt.value().upstreams.rows.size() == 1);
    const auto whole = fetch(true, 3);
    REQUIRE(whole);
    CHECK_FALSE(whole.value().operatorsLarge);
    CHECK(whole.value().operators.rows.at(0).value.size() == 500'000);
    const auto unchanged = fetch(false, 9);
    REQUIRE(unchanged);
    CHECK_FALSE(unchanged.value().operatorsLarge);
    CHECK(unchanged.value().operators.version == StoreVersion { .revision = 9 });
}

// Guards against a bound of declared weights that comes out too late at a peer, and one that is lost on the way.
TEST_CASE("Declared weights reach a peer with moments that are not after those of the sender", "[peer]")
{
    const platform::TableSnapshot table { .version = { .revision = 9 }, .asOf = { 950 } };
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
    platform::TableSnapshot copy { .version = { .revision = 20 }, .asOf = { 900 }, .lastRemovalRevision = 12 };
    copy.rows["old"] = { .key = "old", .value = "1", .revision = 5 };
    copy.rows["new"] = { .key = "new", .value = "2", .revision = 15 };
    const platform::TableChanges recent = platform::changesSince(copy, { .revision = 13 });
    CHECK(recent.rows.size() == 1);
    CHECK_FALSE(recent.keys);
    const platform::TableChanges older = platform::changesSince(copy, { .revision = 11 });
    CHECK(older.rows.size() == 1);
    REQUIRE(older.keys);
    CHECK(*older.keys == std::set<std::string> { "new", "old" });
    CHECK(platform::changesSince(copy, { .revision = 0 }).rows.size() == 2);
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

// Guards against crash news that stay in a data centre while the entry that represents it is dead but counts as live,
// and against news that every entry sends to all data centres.
TEST_CASE("The next entry by name announces to other data centres when the first missed three beacons", "[peer]")
{
    PeerTable table;
    const auto entry = [](const char* host, const char* ip, const char* dataCentre) {
        return PeerInfo { .host = { host }, .incarnation = { 1 }, .ip = ip, .front = ip, .dataCentre = { dataCentre } };
    };
    const PeerInfo self = entry("b", "10.0.0.2", "x");
    CHECK(announcesToOtherDataCentres(table, self, { 5000 }));
    recordBeacon(table, { "b" }, { .from = entry("a", "10.0.0.1", "x") }, "10.0.0.1", { 5000 });
    recordBeacon(table, { "b" }, { .from = entry("c", "10.0.0.3", "x") }, "10.0.0.3", { 5000 });
    recordBeacon(table, { "b" }, { .from = entry("Z", "10.0.0.4", "y") }, "10.0.0.4", { 5000 });
    CHECK_FALSE(announcesToOtherDataCentres(table, self, { 5300 }));
    CHECK(announcesToOtherDataCentres(table, self, { 5301 }));
    CHECK_FALSE(representsDataCentre(table, self, { 5301 }));
    recordBeacon(table, { "b" }, { .from = entry("a", "10.0.0.1", "x") }, "10.0.0.1", { 5400 });
    CHECK_FALSE(announcesToOtherDataCentres(table, self, { 5500 }));
    CHECK(announcesToOtherDataCentres(table, entry("0", "10.0.0.9", "x"), { 5500 }));
    CHECK(announcesToOtherDataCentres(table, entry("z", "10.0.0.9", "w"), { 5500 }));
    // An entry that another one only named as known was never heard from.
    PeerBeacon naming { .from = entry("c", "10.0.0.3", "x") };
    naming.known = { entry("A", "10.0.0.5", "x") };
    recordBeacon(table, { "b" }, naming, "10.0.0.3", { 6000 });
    CHECK(announcesToOtherDataCentres(table, self, { 6000 }));
}
