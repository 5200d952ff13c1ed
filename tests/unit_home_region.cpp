#include "home_region_func.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// @return options with data centres a1 and a2 in region "a", b1 in "b"; that of "x1" is not known
RelayOptions regionOptions()
{
    RelayOptions options;
    options.dataCentre = { "a1" };
    options.regions = { { { "a1" }, { "a" } }, { { "a2" }, { "a" } }, { { "b1" }, { "b" } } };
    return options;
}

/// A relay with upstreams in several regions.
struct HomeRelay : RelayFixture {
    HomeRelay()
        : RelayFixture(regionOptions())
    {
    }

    /// Puts a configuration in force in which a route and the workspace have homes.
    std::vector<RelayEffect> home(std::uint64_t version, const std::string& prefix, std::vector<RegionId> routeHomes,
        std::vector<RegionId> workspaceHomes = {})
    {
        auto made = config(version);
        for (RelayRoute& route : made->routes)
            if (route.prefix == prefix)
                route.homes = routeHomes;
        made->workspaces[0].homes = std::move(workspaceHomes);
        return this->event(ConfigUpdated { .config = made });
    }

    /// @return an upstream whose id is its data centre and its service
    static UpstreamEntry at(const std::string& dataCentre, const std::string& service)
    {
        UpstreamEntry entry = upstream(dataCentre + "-" + service, service);
        entry.dataCentre = { dataCentre };
        return entry;
    }

    /// @return upstreams of a service in the given data centres
    static std::vector<UpstreamEntry> atAll(const std::vector<std::string>& dataCentres, const std::string& service)
    {
        std::vector<UpstreamEntry> entries;
        for (const std::string& dataCentre : dataCentres)
            entries.push_back(at(dataCentre, service));
        return entries;
    }
};

/// @return id of the upstream that the effects send a request to, empty when they send none
std::string sentTo(const std::vector<RelayEffect>& effects)
{
    const auto* send = findEffect<SendToUpstream>(effects);
    return send ? send->upstream.value : std::string {};
}

} // namespace

TEST_CASE("Lists of allowed regions are combined", "[home-region]")
{
    const AllowedRegions anywhere;
    const AllowedRegions nowhere = std::vector<RegionId> {};
    const AllowedRegions a = std::vector<RegionId> { { "a" } };
    const AllowedRegions ab = std::vector<RegionId> { { "a" }, { "b" } };
    const AllowedRegions b = std::vector<RegionId> { { "b" } };
    CHECK(intersectRegions(anywhere, ab) == ab);
    CHECK(intersectRegions(ab, b) == b);
    CHECK(intersectRegions(a, b) == nowhere);
    CHECK(overlaps(anywhere, a));
    CHECK(overlaps(ab, b));
    CHECK_FALSE(overlaps(a, b));
    CHECK_FALSE(overlaps(anywhere, nowhere));
    CHECK(includesRegions(anywhere, ab));
    CHECK(includesRegions(ab, a));
    CHECK_FALSE(includesRegions(a, anywhere));
    CHECK_FALSE(includesRegions(a, ab));
    // A data centre of unknown region must not count as a home because a list could not be read either.
    CHECK_FALSE(allowsRegion(std::vector<RegionId> { {} }, {}));
    CHECK(allowsRegion(anywhere, {}));
}

TEST_CASE("A request is sent only to its homes", "[home-region]")
{
    HomeRelay relay;
    relay.list(HomeRelay::atAll({ "a1", "a2", "b1", "x1" }, "plain"));
    relay.home(2, "/read/", { { "b" } });
    for (int i = 0; i < 4; ++i)
        CHECK(sentTo(relay.request("/read/")) == "b1-plain");
    // Its only home is full.
    CHECK(sentTo(relay.request("/read/")).empty());
    CHECK(sentTo(relay.request("/book/")) == "a1-plain");
}

TEST_CASE("The homes of route and workspace both bind", "[home-region]")
{
    HomeRelay relay;
    relay.list(HomeRelay::atAll({ "a1", "b1", "x1" }, "plain"));
    relay.home(2, "/read/", { { "a" }, { "b" } }, { { "b" }, { "c" } });
    CHECK(sentTo(relay.request("/read/")) == "b1-plain");
    CHECK(sentTo(relay.request("/book/")) == "b1-plain");
}

TEST_CASE("A request without homes may run in a data centre of unknown region", "[home-region]")
{
    HomeRelay relay;
    relay.list(HomeRelay::atAll({ "x1" }, "plain"));
    CHECK(sentTo(relay.request("/read/")) == "x1-plain");
}

TEST_CASE("An evacuated data centre gets no request", "[home-region][evacuation]")
{
    HomeRelay relay;
    relay.list(HomeRelay::atAll({ "a1", "b1" }, "plain"));
    relay.event(EvacuationsUpdated { .dataCentres = { { "a1" } } });
    for (int i = 0; i < 4; ++i)
        CHECK(sentTo(relay.request("/read/")) == "b1-plain");
    CHECK(sentTo(relay.request("/read/")).empty());
    CHECK(sentTo(relay.event(EvacuationsUpdated {})) == "a1-plain");
}
