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

namespace {

/// A fleet of one service whose hosts are all named by the row.
struct SwarmFleet : WeightsFleet {
    hickory::ManifestDigest manifest;

    void begin(std::size_t hosts, std::size_t chunks)
    {
        this->start(hosts, { "r1", "r2", "r3" }, hickory::FetchPolicy::Swarm);
        this->manifest = this->publish("v1", chunks);
        this->place("llm", this->allHosts());
        this->configure(1, { engineService("llm", "v1", this->manifest) });
    }
    double copies() const
    {
        return static_cast<double>(this->originBytes)
            / static_cast<double>(hickory::manifestSize(this->manifests.at(this->manifest)).value);
    }
};

} // namespace

// Guards against hosts that read from the origin what a peer could give them, or that cross regions more than once.
TEST_CASE_METHOD(SwarmFleet, "A swarm reads one copy from the origin and one over each link between regions")
{
    this->begin(14, 200);
    REQUIRE(this->runUntil([&] { return this->whole(this->manifest) == 14; }, 60000));
    REQUIRE(this->now - 1000 <= 1.4 * 2000);
    REQUIRE(this->copies() <= 1.05);
    REQUIRE(this->crossRegionBytes <= 2 * 1.1 * 2000000);
}

// Guards against a swarm whose time grows with the number of hosts, e.g. because a lead hears too late that its chunk
// is at the other region.
TEST_CASE_METHOD(SwarmFleet, "Four times as many hosts take hardly longer")
{
    this->begin(56, 200);
    REQUIRE(this->runUntil([&] { return this->whole(this->manifest) == 56; }, 1.6 * 2000));
    REQUIRE(this->copies() <= 1.05);
}

// Guards against counting a corrupt chunk and against a swarm that a few of them stall.
TEST_CASE_METHOD(SwarmFleet, "Corrupt chunks are fetched again elsewhere")
{
    this->corruptShare = 0.1;
    this->begin(14, 200);
    REQUIRE(this->runUntil([&] { return this->whole(this->manifest) == 14; }, 60000));
    REQUIRE(this->copies() <= 1.05);
}

// Guards against chunks that nobody fetches when the host that leads them is dead but still listed.
TEST_CASE_METHOD(SwarmFleet, "The next in order takes over from a dead lead")
{
    this->begin(14, 200);
    this->runUntil([] { return false; }, 300);
    this->dead.insert(0);
    REQUIRE(this->runUntil([&] { return this->whole(this->manifest) >= 13; }, 60000));
    REQUIRE(this->copies() <= 1.5);
}

// Guards against chunk traffic that goes on at full pace while live requests slow down, and that stays slow afterwards.
TEST_CASE_METHOD(SwarmFleet, "Chunk traffic yields to live traffic")
{
    this->start(1, { "r1" }, hickory::FetchPolicy::Swarm);
    this->manifest = this->publish("v1", 400);
    this->originRate = 10;
    this->place("llm", this->allHosts());
    hickory::AgentState& agent = this->agents[0];
    agent.settings.linkRate = { 1000000 };
    agent.published.latency = { 100 };
    this->configure(1, {});
    this->runUntil([] { return false; }, 2000);
    REQUIRE(agent.weights.paceInForce.value == 800000);
    this->configure(2, { engineService("llm", "v1", this->manifest) });
    this->runUntil([] { return false; }, 1000);
    agent.published.latency = { 150 };
    this->runUntil([] { return false; }, 5000);
    REQUIRE(agent.weights.paceInForce.value == 50000);
    agent.published.latency = { 100 };
    this->runUntil([] { return false; }, 10000);
    REQUIRE(agent.weights.paceInForce.value == 800000);
}
