#include "peer_table_func.h"

#include <catch2/catch.hpp>
#include <random>

using namespace hickory;

namespace {

constexpr std::size_t routes = 1650;

/// @param changed number of a route with another timeout, none if there are fewer routes
std::string document(std::uint64_t version, std::size_t changed, std::size_t count = routes)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (std::size_t route = 0; route < count; ++route)
        text += std::string(route ? "," : "") + R"({"name":"r-)" + std::to_string(route)
            + R"(","host":"desk.example","prefix":"/p)" + std::to_string(route)
            + R"(/","kind":"idempotent","timeout_ms":)" + (route == changed ? "4999" : "5000")
            + R"(,"traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}],"allowed_regions":[]})";
    return text + R"(],"services":[{"name":"x"},{"name":"y"}]})";
}

/// An entry's copies of the tables, with the history of the configuration.
struct Copy {
    void write(const std::string& text, std::uint64_t revision)
    {
        this->operators.version.revision = revision;
        this->operators.rows["config"] = { .key = "config", .value = text, .revision = revision };
        recordRow(this->history, this->operators.rows["config"], this->operators.version.era);
    }

    std::string answer(const Copy& peer, bool patches = true)
    {
        const PeerVersions held
            = decodePeerVersions(peerTablesTarget({ .operators = peer.operators.version, .patches = patches }));
        return encodePeerTables({ .operators = this->operators,
                                    .upstreams = this->upstreams,
                                    .declared = this->declared,
                                    .config = &this->history },
            held, { 1000 });
    }

    platform::TableSnapshot operators { .version = { .revision = 1 } };
    platform::TableSnapshot upstreams { .version = { .revision = 1 } };
    std::map<ModelId, DeclaredWeights> declared;
    RowHistory history;
};

PeerTables decoded(const std::string& body)
{
    const auto tables = decodePeerTables(Result<FetchResponse>(FetchResponse { .body = body }), { 70000 });
    REQUIRE(tables);
    return tables.value();
}

} // namespace

// Guards against entries that can no longer read their tables: a configuration of 1,650 routes was sent whole to each
// entry after each small change, which took more than the links between regions have (ratiba-hub-grown, CONFIG).
TEST_CASE("A change of one route of many is sent as a small patch", "[peer][row-history]")
{
    Copy source;
    Copy peer;
    source.write(document(1, routes), 10);
    peer.write(document(1, routes), 10);
    for (std::uint64_t change = 1; change <= 3; ++change)
        source.write(document(1 + change, change * 500), 10 + change);
    const std::string body = source.answer(peer);
    CHECK(body.size() < 4000);
    PeerTables tables = decoded(body);
    CHECK_FALSE(tables.operatorsLarge);
    REQUIRE(resolvePatches(tables, peer.operators));
    REQUIRE(tables.operators.rows.size() == 1);
    CHECK(tables.operators.rows[0].value == document(4, 1500));
    CHECK(tables.operators.rows[0].revision == 13);
    CHECK(tables.operators.version == StoreVersion { .revision = 13 });
}

// Guards against a configuration that is made of the wrong former one, and against an entry that gets none at all.
TEST_CASE("A row is sent whole where no patch can be made or applied", "[peer][row-history]")
{
    Copy source;
    Copy peer;
    source.write(document(1, routes, 10), 10);
    source.write(document(2, 3, 10), 12);
    SECTION("the peer has no copy")
    {
        peer.operators.version = {};
        CHECK(decoded(source.answer(peer)).operators.rows.size() == 1);
    }
    SECTION("the peer's copy is of another era of the store")
    {
        peer.operators.version = { .era = 1, .revision = 10 };
        CHECK(decoded(source.answer(peer)).operators.rows.size() == 1);
    }
    SECTION("the peer runs an older program")
    {
        peer.write(document(1, routes, 10), 10);
        CHECK(decoded(source.answer(peer, false)).operators.rows.size() == 1);
    }
    SECTION("the peer holds contents that the source did not see")
    {
        peer.write(document(9, 4, 10), 11);
        PeerTables tables = decoded(source.answer(peer));
        CHECK(tables.operators.rows.empty());
        CHECK_FALSE(resolvePatches(tables, peer.operators));
    }
    SECTION("the peer holds other contents under the same revision")
    {
        peer.write(document(9, 4, 10), 10);
        PeerTables tables = decoded(source.answer(peer));
        CHECK_FALSE(resolvePatches(tables, peer.operators));
    }
    SECTION("the contents came meanwhile from another entry")
    {
        peer.write(document(1, routes, 10), 10);
        const std::string body = source.answer(peer);
        peer.write(document(2, 3, 10), 12);
        PeerTables tables = decoded(body);
        CHECK(tables.operatorPatches.size() == 1);
        CHECK(resolvePatches(tables, peer.operators));
        CHECK(tables.operators.rows.empty());
    }
    SECTION("the contents have little in common")
    {
        peer.write(document(2, 3, 10), 12);
        source.write("{}", 13);
        CHECK(decoded(source.answer(peer)).operators.rows.size() == 1);
    }
    SECTION("the former contents were forgotten")
    {
        peer.write(document(1, routes, 10), 10);
        for (std::uint64_t change = 0; change < 8; ++change)
            source.write(document(3 + change, 1, 10), 13 + change);
        CHECK(decoded(source.answer(peer)).operators.rows.size() == 1);
    }
}

// Guards against patches that lose or invent bytes.
TEST_CASE("A patch makes any text of any other", "[peer][row-history]")
{
    std::mt19937 random(4711);
    const auto draw = [&](const std::string& from) {
        std::string text = from;
        for (int edit = 0; edit < 6; ++edit) {
            const std::size_t at = random() % (text.size() + 1);
            const std::size_t length = random() % (text.size() - at + 1) / 4;
            if (random() % 2 == 0)
                text.erase(at, length);
            else
                text.insert(at, random() % 3 == 0 ? "}" : text.substr(at, length) + "{\"x\"}");
        }
        return text;
    };
    for (int round = 0; round < 300; ++round) {
        const std::string before = round % 7 == 0 ? "" : draw(document(1, 2, random() % 12));
        const std::string after = round % 11 == 0 ? "" : draw(before);
        REQUIRE(applyTextPatch(before, makeTextPatch(before, after)) == after);
    }
    CHECK(makeTextPatch("{a}{b}{c}", "{a}{b}{c}") == TextPatch { { .offset = 0, .length = 9, .text = {} } });
    CHECK_FALSE(applyTextPatch("abc", { { .offset = 2, .length = 2, .text = {} } }));
    CHECK_FALSE(applyTextPatch("abc", { { .offset = 4, .length = 0, .text = {} } }));
    CHECK_FALSE(applyTextPatch("abc", { { .offset = 1, .length = static_cast<std::size_t>(-1), .text = {} } }));
}
