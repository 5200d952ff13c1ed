#include "member_func.h"
#include "placement_cmd.h"
#include "placement_growth_func.h"
#include "placement_plan_func.h"
#include "placement_row_func.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace hickory;

namespace {

std::vector<PlanHost> makePlanHosts(std::size_t count, std::size_t dataCentres)
{
    std::vector<PlanHost> hosts;
    for (std::size_t index = 0; index < count; ++index)
        hosts.push_back(
            { .host = { "h" + std::to_string(index) }, .dataCentre = { "p" + std::to_string(index % dataCentres) } });
    return hosts;
}

/// An entry whose store is a table in memory.
struct EntryFixture {
    EntryState entry;
    std::map<std::string, std::pair<std::uint64_t, std::string>> table;

    EntryFixture()
    {
        this->entry.settings.process.host = { "e1" };
        this->entry.settings.growthPolicy = GrowthPolicy::Proportional;
        auto config = std::make_shared<Config>();
        config->services = { { .name = { "llm" },
            .kind = ServiceKind::Engine,
            .concurrency = 8,
            .model = ModelConfig { .name = { "m" }, .version = { "v1" }, .minReplicas = 2, .maxReplicas = 4 } } };
        this->entry.config.config = config;
        this->entry.config.record.generation = { 1 };
        this->entry.members.list.version = 1;
        this->entry.members.list.members.push_back({ .host = { "e1" }, .role = MemberRole::Entry });
        for (int index = 0; index < 6; ++index)
            this->entry.members.list.members.push_back({ .host = { "h" + std::to_string(index) },
                .role = MemberRole::Upstream,
                .kind = ServiceKind::Engine,
                .dataCentre = { "p" + std::to_string(index % 3) } });
        EntryEffects effects;
        applyConfigToPlacement(this->entry, effects);
    }

    /// Ticks every 50 ms and answers store operations at once.
    /// @param time simulated milliseconds
    void run(std::int64_t time)
    {
        for (const std::int64_t end = this->entry.now.value + time; this->entry.now.value < end;) {
            this->entry.now.value += 50;
            EntryEffects effects;
            tickPlacement(this->entry, effects);
            for (const EntryEffect& effect : effects) {
                if (const auto* read = std::get_if<StoreRead>(&effect))
                    this->answer(read->token, read->key, nullptr);
                if (const auto* write = std::get_if<StoreWrite>(&effect))
                    this->answer(write->token, write->key, write);
            }
        }
    }

    void answer(const StoreToken& token, const std::string& key, const StoreWrite* write)
    {
        auto& [version, value] = this->table[key];
        StoreAnswer answer { .token = token, .status = version > 0 ? StoreStatus::Ok : StoreStatus::Absent };
        if (write && write->ifVersion.value != version)
            answer.status = StoreStatus::Conflict;
        else if (write) {
            ++version;
            value = write->value;
            answer.status = StoreStatus::Ok;
        }
        answer.version = { version };
        answer.value = value;
        EntryEffects effects;
        applyPlacementStoreAnswer(this->entry, answer, effects);
    }

    std::vector<HostId> placedHosts() { return parsePlacementRow(this->table["placement/llm"].second).value().hosts; }
};

} // namespace

// Guards against replicas that all fail with one data centre, and against a host assigned to two services.
TEST_CASE("A plan spreads replicas over data centres and assigns no host twice")
{
    const auto plan = planPlacement(
        { { .service = { "a" }, .minimum = 3, .wanted = 6 }, { .service = { "b" }, .minimum = 3, .wanted = 3 } },
        makePlanHosts(9, 3));
    const std::vector<HostId>& first = plan.at({ "a" });
    const std::vector<HostId>& second = plan.at({ "b" });
    REQUIRE(first.size() == 6);
    REQUIRE(second.size() == 3);
    for (const HostId& host : first)
        REQUIRE(!containsHost(second, host));
    std::map<int, int> perDataCentre;
    for (const HostId& host : first)
        ++perDataCentre[(host.value.back() - '0') % 3];
    REQUIRE(perDataCentre.size() == 3);
    REQUIRE(
        std::all_of(perDataCentre.begin(), perDataCentre.end(), [](const auto& entry) { return entry.second == 2; }));
}

// Guards against a service that stays below its minimum while another has more than its own, and against releasing
// more hosts than are missing.
TEST_CASE("A plan frees a host for a service below its minimum")
{
    std::vector<PlanHost> hosts = makePlanHosts(4, 2);
    hosts[0].urgent = hosts[1].urgent = hosts[2].urgent = 1;
    const std::vector<HostId> all { { "h0" }, { "h1" }, { "h2" }, { "h3" } };
    const auto plan = planPlacement({ { .service = { "a" }, .minimum = 2, .wanted = 4, .current = all },
                                        { .service = { "b" }, .minimum = 1, .wanted = 1 } },
        hosts);
    REQUIRE(plan.at({ "a" }) == std::vector<HostId> { { "h0" }, { "h1" }, { "h2" } });
    REQUIRE(plan.at({ "b" }).empty());
    const auto next = planPlacement({ { .service = { "a" }, .minimum = 2, .wanted = 4, .current = plan.at({ "a" }) },
                                        { .service = { "b" }, .minimum = 1, .wanted = 1 } },
        hosts);
    REQUIRE(next.at({ "a" }).size() == 3);
    REQUIRE(next.at({ "b" }) == std::vector<HostId> { { "h3" } });
}

// Guards against a service that never gets a row, and against a row that keeps naming hosts that are gone.
TEST_CASE_METHOD(EntryFixture, "The proposer writes a placement row and replaces a lost host")
{
    this->run(1000);
    const std::vector<HostId> first = this->placedHosts();
    REQUIRE(first.size() == 2);
    std::erase_if(this->entry.members.list.members, [&](const Member& member) { return member.host == first[0]; });
    this->run(3000);
    REQUIRE(this->placedHosts().size() == 2);
    REQUIRE(!containsHost(this->placedHosts(), first[0]));
    REQUIRE(containsHost(this->placedHosts(), first[1]));
}

// Guards against backups that propose together with the proposer, and against a service without a row when the proposer
// is down.
TEST_CASE_METHOD(EntryFixture, "A backup proposes only after a delay")
{
    this->entry.members.list.members.insert(this->entry.members.list.members.begin() + 1,
        { { .host = { "e2" }, .role = MemberRole::Entry }, { .host = { "e3" }, .role = MemberRole::Entry } });
    const std::vector<HostId> order = rendezvousOrder("placement/llm", { { "e1" }, { "e2" }, { "e3" } });
    this->entry.settings.process.host = order[1];
    this->run(4000);
    REQUIRE(this->table["placement/llm"].first == 0);
    this->run(4000);
    REQUIRE(this->table["placement/llm"].first > 0);
}

// Guards against demand that has no effect on the row, and against gossip without demand that clears it.
TEST_CASE_METHOD(EntryFixture, "Demand from a peer scales the service up to its maximum")
{
    this->run(1000);
    this->entry.members.list.members.insert(
        this->entry.members.list.members.begin() + 1, { .host = { "e2" }, .role = MemberRole::Entry });
    EntryEffects effects;
    applyDemand(this->entry, { "e2" }, { { .service = { "llm" }, .tokens = { 100000 } } }, effects);
    applyDemand(this->entry, { "e2" }, {}, effects);
    this->run(8000);
    REQUIRE(this->placedHosts().size() == 4);
}

// Guards against scaling steps that differ from the policy, and against replicas added and released with each burst.
TEST_CASE("A service scales up by its policy and down only after the idle timeout")
{
    ServiceLoad load {
        .replicas = 2, .ready = 2, .concurrency = 8, .demandTokens = 256 * 64, .minimum = 2, .maximum = 16
    };
    GrowthState proportional;
    REQUIRE(decideGrowth(proportional, GrowthPolicy::Proportional, load, { 1000 }) == 10);
    std::vector<std::uint32_t> single;
    std::vector<std::uint32_t> doubling;
    GrowthState singleGrowth;
    GrowthState doublingGrowth;
    for (std::int64_t now = 1000; now <= 4000; now += 1000) {
        load.replicas = singleGrowth.count ? singleGrowth.count : 2;
        single.push_back(decideGrowth(singleGrowth, GrowthPolicy::Single, load, { now }));
        load.replicas = doublingGrowth.count ? doublingGrowth.count : 2;
        doubling.push_back(decideGrowth(doublingGrowth, GrowthPolicy::Doubling, load, { now }));
    }
    REQUIRE(single == std::vector<std::uint32_t> { 2, 3, 4, 5 });
    REQUIRE(doubling == std::vector<std::uint32_t> { 2, 3, 5, 9 });
    load.replicas = 10;
    load.demandTokens = 0;
    REQUIRE(decideGrowth(proportional, GrowthPolicy::Proportional, load, { 2000 }) == 10);
    REQUIRE(decideGrowth(proportional, GrowthPolicy::Proportional, load, { 61000 }) == 10);
    REQUIRE(decideGrowth(proportional, GrowthPolicy::Proportional, load, { 62000 }) == 9);
    REQUIRE(decideGrowth(proportional, GrowthPolicy::Proportional, load, { 63000 }) == 9);
    load.hostsContended = true;
    REQUIRE(decideGrowth(proportional, GrowthPolicy::Proportional, load, { 64000 }) == 8);
}
