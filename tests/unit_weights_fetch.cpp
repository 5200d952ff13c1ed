#include "weights_fleet.h"

#include <catch2/catch.hpp>

// Guards against a host that loads before all chunks are verified, or that is not named by the row.
TEST_CASE("A host named by the placement row fetches everything and sets its target")
{
    WeightsFleet fleet;
    fleet.start(3, { "r1" }, hickory::FetchPolicy::Origin);
    const hickory::ManifestDigest v1 = fleet.publish("v1", 20);
    fleet.place("llm", { { "h000" }, { "h001" } });
    fleet.configure(1, { engineService("llm", "v1", v1) });
    REQUIRE(fleet.runUntil([&] { return fleet.serving("v1") == 2; }, 20000));
    REQUIRE(fleet.originBytes == 2 * 200000);
    REQUIRE(!fleet.agents[2].engine.target);
    REQUIRE(fleet.agents[0].engine.target->weightsDigest == fleet.manifests.at(v1).totalDigest);
}

// Guards against a host that goes on serving a service which has given it up.
TEST_CASE("A host that the row no longer names drops its target and its weights")
{
    WeightsFleet fleet;
    fleet.start(1, { "r1" }, hickory::FetchPolicy::Origin);
    const hickory::ManifestDigest v1 = fleet.publish("v1", 5);
    fleet.place("llm", { { "h000" } });
    fleet.configure(1, { engineService("llm", "v1", v1) });
    REQUIRE(fleet.runUntil([&] { return fleet.serving("v1") == 1; }, 20000));
    fleet.place("llm", {});
    REQUIRE(fleet.runUntil([&] { return !fleet.agents[0].engine.target; }, 20000));
    REQUIRE(fleet.runUntil([&] { return fleet.agents[0].weights.downloads.empty(); }, 1000));
}
