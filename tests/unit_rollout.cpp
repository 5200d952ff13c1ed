#include "rollout_row_func.h"
#include "weights_fleet.h"

#include <catch2/catch.hpp>

namespace {

/// A fleet whose hosts all serve v1, with v2 and v3 published.
struct RolloutFleet : WeightsFleet {
    hickory::ManifestDigest v1;
    hickory::ManifestDigest v2;
    hickory::ManifestDigest v3;

    void begin(std::size_t hosts)
    {
        this->start(hosts, { "r1", "r2" }, hickory::FetchPolicy::Swarm);
        this->v1 = this->publish("v1", 20);
        this->v2 = this->publish("v2", 20);
        this->v3 = this->publish("v3", 20);
        this->place("llm", this->allHosts());
        this->configure(1, { engineService("llm", "v1", this->v1) });
        REQUIRE(this->runUntil([&] { return this->row().done.size() == hosts; }, 60000));
    }
    hickory::PermitRow row(const std::string& service = "llm") const
    {
        const auto found = this->table.find("permits/" + service);
        return found == this->table.end() ? hickory::PermitRow {}
                                          : hickory::parsePermitRow(found->second.second).value();
    }
};

} // namespace

// Guards against more replicas out of service at once than max_out, and against a rollout that does not finish.
TEST_CASE_METHOD(RolloutFleet, "A rollout takes out at most max_out hosts at once")
{
    this->begin(8);
    REQUIRE(this->maxOutOfService == 0);
    this->configure(2, { engineService("llm", "v2", this->v2) });
    REQUIRE(this->runUntil([&] { return this->row().done.size() == 8 && this->row().passed; }, 120000));
    REQUIRE(this->servingCount("v2") == 8);
    REQUIRE(this->maxOutOfService == 2);
    REQUIRE(this->row().holders.empty());
    REQUIRE(this->runUntil([&] { return !this->agents[0].weights.downloads.contains(this->v1); }, 10000));
}

// Guards against a bad version that takes the whole fleet out of service, and against a stopped rollout that blocks the
// next one.
TEST_CASE_METHOD(
    RolloutFleet, "A version that fails to load stops its rollout, and a newer configuration starts another")
{
    this->begin(6);
    this->failingVersions = { "v2" };
    this->configure(2, { engineService("llm", "v2", this->v2) });
    REQUIRE(this->runUntil([&] { return this->row().stopped && this->servingCount("v1") == 6; }, 120000));
    REQUIRE(this->row().reason.find("load failed") != std::string::npos);
    REQUIRE(this->maxOutOfService <= 2);
    hickory::AgentStatus status;
    this->runUntil([] { return false; }, 20000);
    hickory::fillWeightsStatus(this->agents[5], status);
    REQUIRE(status.detail.find("v2 stopped") != std::string::npos);
    REQUIRE(this->servingCount("v1") == 6);
    this->configure(3, { engineService("llm", "v3", this->v3) });
    REQUIRE(this->runUntil([&] { return this->servingCount("v3") == 6; }, 120000));
    REQUIRE(this->maxOutOfService <= 2);
}

// Guards against a version that loads but answers requests with errors.
TEST_CASE_METHOD(RolloutFleet, "A version with a higher failure rate stops its rollout")
{
    this->begin(6);
    this->configure(2, { engineService("llm", "v2", this->v2) });
    const bool stopped = this->runUntil(
        [&] {
            for (hickory::AgentState& agent : this->agents)
                agent.engine.failures = agent.engine.serving && agent.engine.serving->version.value == "v2" ? 10 : 0;
            return this->row().stopped && this->servingCount("v1") == 6;
        },
        120000);
    REQUIRE(stopped);
    REQUIRE(this->row().reason.find("10 requests failed") != std::string::npos);
}

// Guards against a fleet that finishes the rollout of a version that is no longer wanted.
TEST_CASE_METHOD(RolloutFleet, "A version that is replaced during its rollout is abandoned")
{
    this->begin(8);
    this->configure(2, { engineService("llm", "v2", this->v2) });
    REQUIRE(this->runUntil([&] { return this->servingCount("v2") == 1; }, 60000));
    this->configure(3, { engineService("llm", "v3", this->v3) });
    std::size_t maxServingCount = 0;
    REQUIRE(this->runUntil(
        [&] {
            maxServingCount = std::max(maxServingCount, this->servingCount("v2"));
            return this->servingCount("v3") == 8;
        },
        120000));
    REQUIRE(maxServingCount <= 2);
    REQUIRE(this->maxOutOfService <= 2);
}

// Guards against hosts that leave service without a permit, and against downloads that wait for the store.
TEST_CASE_METHOD(RolloutFleet, "While the store is down weights are fetched and no host leaves service")
{
    this->begin(6);
    this->storeDown = true;
    this->configure(2, { engineService("llm", "v2", this->v2) });
    REQUIRE(this->runUntil([&] { return this->completeCount(this->v2) == 6; }, 60000));
    this->runUntil([] { return false; }, 10000);
    REQUIRE(this->servingCount("v1") == 6);
    this->storeDown = false;
    REQUIRE(this->runUntil([&] { return this->servingCount("v2") == 6; }, 120000));
    REQUIRE(this->maxOutOfService <= 2);
}

// Guards against a rollout that is blocked by the permit of a dead holder.
TEST_CASE_METHOD(RolloutFleet, "The permit of a dead host expires")
{
    this->begin(6);
    this->configure(2, { engineService("llm", "v2", this->v2, 1) });
    REQUIRE(this->runUntil([&] { return this->row().holders.size() == 1; }, 60000));
    const hickory::HostId holder = this->row().holders[0].host;
    this->dead.insert(static_cast<std::size_t>(std::stoi(holder.value.substr(1))));
    REQUIRE(this->runUntil([&] { return this->servingCount("v2") == 5; }, 300000));
}

// Guards against a service that is rolled out before the services that it depends on.
TEST_CASE_METHOD(WeightsFleet, "A rollout waits for the services that it depends on")
{
    this->start(6, { "r1" }, hickory::FetchPolicy::Swarm);
    const auto manifests
        = std::array { this->publish("v1", 5), this->publish("v2", 5), this->publish("w1", 5), this->publish("w2", 5) };
    this->place("base", { { "h000" }, { "h001" }, { "h002" } });
    this->place("chat", { { "h003" }, { "h004" }, { "h005" } });
    hickory::ServiceConfig chat = engineService("chat", "w1", manifests[2]);
    chat.dependsOn = { { "base" } };
    this->configure(1, { engineService("base", "v1", manifests[0]), chat });
    REQUIRE(this->runUntil([&] { return this->servingCount("v1") == 3 && this->servingCount("w1") == 3; }, 60000));
    chat.model->version = { "w2" };
    chat.model->manifest = manifests[3];
    this->configure(2, { engineService("base", "v2", manifests[1]), chat });
    std::size_t early = 0;
    REQUIRE(this->runUntil(
        [&] {
            early += this->servingCount("v2") < 3 && this->servingCount("w1") < 3 ? 1 : 0;
            return this->servingCount("w2") == 3;
        },
        120000));
    REQUIRE(early == 0);
}
