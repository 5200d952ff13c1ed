#include "weights_fleet.h"

#include <catch2/catch.hpp>

// Guards against a host that loads a version before all its chunks are verified or without being named by the row.
TEST_CASE("A host named by the placement row fetches all chunks and sets its target")
{
    WeightsFleet fleet;
    fleet.start(3, { "r1" }, hickory::FetchPolicy::Origin);
    const hickory::ManifestDigest v1 = fleet.publish("v1", 20);
    fleet.place("llm", { { "h000" }, { "h001" } });
    fleet.configure(1, { engineService("llm", "v1", v1) });
    REQUIRE(fleet.runUntil([&] { return fleet.servingCount("v1") == 2; }, 20000));
    REQUIRE(fleet.originBytes == 2 * 200000);
    REQUIRE(!fleet.agents[2].engine.target);
    REQUIRE(fleet.agents[0].engine.target->weightsDigest == fleet.manifests.at(v1).totalDigest);
}

// Guards against a host that keeps serving a service whose placement row no longer names it.
TEST_CASE("A host removed from the placement row drops its target and its weights")
{
    WeightsFleet fleet;
    fleet.start(1, { "r1" }, hickory::FetchPolicy::Origin);
    const hickory::ManifestDigest v1 = fleet.publish("v1", 5);
    fleet.place("llm", { { "h000" } });
    fleet.configure(1, { engineService("llm", "v1", v1) });
    REQUIRE(fleet.runUntil([&] { return fleet.servingCount("v1") == 1; }, 20000));
    fleet.place("llm", {});
    REQUIRE(fleet.runUntil([&] { return !fleet.agents[0].engine.target; }, 20000));
    REQUIRE(fleet.runUntil([&] { return fleet.agents[0].weights.downloads.empty(); }, 1000));
}

namespace {

/// A fleet with one service that all hosts are to serve.
struct SwarmFleet : WeightsFleet {
    hickory::ManifestDigest manifest; ///< version that all hosts fetch

    /// Starts hosts in three regions that fetch a version of chunks of 10,000 bytes.
    void begin(std::size_t hosts, std::size_t chunks)
    {
        this->start(hosts, { "r1", "r2", "r3" }, hickory::FetchPolicy::Swarm);
        this->manifest = this->publish("v1", chunks);
        this->place("llm", this->allHosts());
        this->configure(1, { engineService("llm", "v1", this->manifest) });
    }
    /// @return bytes read from the origin, in multiples of the version's size
    double originCopies() const
    {
        return static_cast<double>(this->originBytes)
            / static_cast<double>(hickory::manifestSize(this->manifests.at(this->manifest)).value);
    }
};

} // namespace

// Guards against hosts that read from the origin what a peer holds, and against chunks sent between two regions twice.
// The simulation starts at 1000 ms, and the origin's link needs 2000 ms for one copy of 2,000,000 bytes.
TEST_CASE_METHOD(SwarmFleet, "A swarm reads one copy from the origin and sends one to each other region")
{
    this->begin(14, 200);
    REQUIRE(this->runUntil([&] { return this->completeCount(this->manifest) == 14; }, 60000));
    REQUIRE(this->now - 1000 <= 1.4 * 2000);
    REQUIRE(this->originCopies() <= 1.05);
    REQUIRE(this->crossRegionBytes <= 2 * 1.1 * 2000000);
}

// Guards against a download time that grows with the number of hosts, e.g. because a chunk's owner learns too late that
// the source region holds the chunk.
TEST_CASE_METHOD(
    SwarmFleet, "A swarm of four times as many hosts takes at most 1.6 times as long as one copy from the origin")
{
    this->begin(56, 200);
    REQUIRE(this->runUntil([&] { return this->completeCount(this->manifest) == 56; }, 1.6 * 2000));
    REQUIRE(this->originCopies() <= 1.05);
}

// Guards against counting corrupt chunks as held, and against a download that a few of them stall.
TEST_CASE_METHOD(SwarmFleet, "Corrupt chunks are fetched again")
{
    this->corruptShare = 0.1;
    this->begin(14, 200);
    REQUIRE(this->runUntil([&] { return this->completeCount(this->manifest) == 14; }, 60000));
    REQUIRE(this->originCopies() <= 1.05);
}

// Guards against chunks that nobody fetches when their owner has crashed but is still listed as a member.
TEST_CASE_METHOD(SwarmFleet, "Other hosts take over the chunks of a dead owner")
{
    this->begin(14, 200);
    this->runUntil([] { return false; }, 300);
    this->dead.insert(0);
    REQUIRE(this->runUntil([&] { return this->completeCount(this->manifest) >= 13; }, 60000));
    REQUIRE(this->originCopies() <= 1.5);
}

// Guards against chunk traffic at the full rate while live requests are slowed down, and against a rate that stays low
// afterwards.
TEST_CASE_METHOD(SwarmFleet, "The chunk rate limit falls while live traffic is slowed down and recovers afterwards")
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
    REQUIRE(agent.weights.chunkRateLimit.value == 800000);
    this->configure(2, { engineService("llm", "v1", this->manifest) });
    this->runUntil([] { return false; }, 1000);
    agent.published.latency = { 150 };
    this->runUntil([] { return false; }, 5000);
    REQUIRE(agent.weights.chunkRateLimit.value == 50000);
    agent.published.latency = { 100 };
    this->runUntil([] { return false; }, 10000);
    REQUIRE(agent.weights.chunkRateLimit.value == 800000);
}
