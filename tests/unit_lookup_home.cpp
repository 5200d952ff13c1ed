#include "lookup_home_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

const std::map<DataCentreId, RegionId> regions { { { "a1" }, { "a" } }, { { "b1" }, { "b" } }, { { "c1" }, { "c" } } };

const std::vector<LookupEntry> entries { { .front = "10.0.0.1:80", .dataCentre = { "a1" } },
    { .front = "10.0.0.2:80", .dataCentre = { "b1" } }, { .front = "10.0.0.3:80", .dataCentre = { "c1" } },
    { .front = "10.0.0.4:80", .dataCentre = { "x1" } } };

/// @param homes of the routes of the host desk.example, one list for each route
RelayConfig configWith(const std::vector<std::vector<RegionId>>& homes)
{
    RelayConfig config;
    for (const std::vector<RegionId>& list : homes)
        config.routes.push_back({ .name = std::to_string(config.routes.size()),
            .host = "desk.example",
            .prefix = "/" + std::to_string(config.routes.size()) + "/",
            .homes = list });
    config.routes.push_back({ .name = "other", .host = "other.example", .prefix = "/" });
    return config;
}

/// @return data centres of the entries that an answer names, in its order
std::string named(const RelayConfig& config, const std::string& target)
{
    std::string text;
    for (const LookupEntry& entry : chooseLookupEntries(&config, regions, decodeLookupQuery(target), entries))
        text += entry.dataCentre.value + " ";
    return text;
}

} // namespace

TEST_CASE("A lookup names the entries of the homes and of the caller's region", "[lookup-home]")
{
    const RelayConfig config = configWith({ { { "b" } } });
    CHECK(named(config, "/find?name=desk.example&region=c&zone=c1") == "b1 c1 ");
    CHECK(named(config, "/find?zone=c1&name=desk.example") == "b1 c1 ");
    CHECK(named(config, "/find?name=Desk.Example:8080&region=b&zone=b1") == "b1 ");
    CHECK(named(config, "/find?name=desk.example%3A8080&region=b&zone=b1") == "b1 ");
}

TEST_CASE("A lookup names the entries of every home of the host's routes", "[lookup-home]")
{
    CHECK(named(configWith({ { { "b" } }, { { "c" } } }), "/find?name=desk.example&region=b&zone=b1") == "b1 c1 ");
    // The empty name stands for a list that could not be read: no region is a home of that route.
    CHECK(named(configWith({ { { "b" } }, { {} } }), "/find?name=desk.example&region=x&zone=x1") == "b1 ");
}

TEST_CASE("A lookup of a host that is not restricted names all entries", "[lookup-home]")
{
    constexpr const char* all = "a1 b1 c1 x1 ";
    const RelayConfig config = configWith({ { { "b" } }, {} });
    CHECK(named(config, "/find?name=desk.example&region=c&zone=c1") == all);
    CHECK(named(config, "/find?name=other.example&region=c&zone=c1") == all);
    CHECK(named(configWith({ { { "b" } } }), "/find?name=unknown.example&region=c&zone=c1") == all);
    CHECK(named(configWith({ { { "b" } } }), "/find") == all);
    CHECK(chooseLookupEntries(nullptr, regions, decodeLookupQuery("/find?name=desk.example"), entries).size() == 4);
}

TEST_CASE("A lookup names all entries when none is in a home or the caller's region", "[lookup-home]")
{
    const RelayConfig config = configWith({ { { "d" } } });
    CHECK(named(config, "/find?name=desk.example&region=e&zone=e1") == "a1 b1 c1 x1 ");
    CHECK(named(config, "/find?name=desk.example&region=c&zone=c1") == "c1 ");
    // An unknown region of the caller must not select the entries of unknown region.
    CHECK(named(configWith({ { { "b" } } }), "/find?name=desk.example") == "b1 ");
}
