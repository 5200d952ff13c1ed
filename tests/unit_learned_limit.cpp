#include "capacity_simulation.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <iostream>
#include <numeric>
#include <utility>

using namespace hickory;

namespace {

constexpr double maxRatioToOracle = 1.15; ///< mean time relative to the oracle's
constexpr double maxLossShare = 0.25; ///< part of the loss of the policy without learned capacity
constexpr double maxSwing = 0.2; ///< of a limit in steady load
constexpr double baseMs = 60;
constexpr std::size_t serverCount = 7;

std::vector<SimulatedServer> equalServers() { return { serverCount, { .baseMs = baseMs, .knee = 6 } }; }

/// @return servers of speeds from 1 to 4, evenly spread by service time
std::vector<SimulatedServer> unequalServers(double knee)
{
    std::vector<SimulatedServer> servers = equalServers();
    for (std::size_t index = 0; index < servers.size(); ++index) {
        servers[index].baseMs = baseMs * (1 + static_cast<double>(index) / 2);
        servers[index].knee = knee;
    }
    return servers;
}

/// @return servers that are 2.5 times slower for 600 ms in 15 of 100 periods, each in other ones
std::vector<SimulatedServer> noisyServers()
{
    std::vector<SimulatedServer> servers = equalServers();
    for (std::size_t index = 0; index < servers.size(); ++index)
        servers[index].factor = [index](std::int64_t now) {
            std::mt19937_64 random(index * 1'000'003 + static_cast<std::uint64_t>(now / 600));
            return random() % 100 < 15 ? 2.5 : 1.0;
        };
    return servers;
}

/// @return servers of which the third is four times slower from 10 to 20 s
std::vector<SimulatedServer> recoveringServers()
{
    std::vector<SimulatedServer> servers = equalServers();
    servers[2].factor = [](std::int64_t now) { return now >= 10'000 && now < 20'000 ? 4.0 : 1.0; };
    return servers;
}

/// @return requests a second that the servers handle without slowing down
double capacityOf(const std::vector<SimulatedServer>& servers)
{
    double sum = 0;
    for (const SimulatedServer& server : servers)
        sum += 1000 * server.knee / server.baseMs;
    return sum;
}

CapacityCase makeCase(const std::vector<SimulatedServer>& servers, double share)
{
    return { .servers = servers, .perSecond = share * capacityOf(servers) };
}

struct Comparison {
    CapacityResult oracle;
    CapacityResult fixed;
    CapacityResult learned;
    double swing { 0 }; ///< greatest of all upstreams, without the first 10 s and those of a change
};

/// @param ignoredServer one whose limit may change
double swingOf(const CapacityResult& result, std::size_t lengthSteps, std::optional<std::size_t> ignoredServer)
{
    constexpr std::size_t firstStep = 100;
    double swing = 0;
    for (std::size_t server = 0; server < result.limits.size(); ++server) {
        if (server == ignoredServer)
            continue;
        const auto& limits = result.limits[server];
        const auto [least, most] = std::minmax_element(limits.begin() + firstStep, limits.begin() + lengthSteps);
        swing = std::max(swing, (*most - *least) / *most);
    }
    return swing;
}

Comparison compare(
    const char* name, const CapacityCase& simulated, std::optional<std::size_t> ignoredServer = std::nullopt)
{
    Comparison compared { .oracle = CapacitySimulation(simulated, CapacityPolicy::Oracle).run(),
        .fixed = CapacitySimulation(simulated, CapacityPolicy::Fixed).run(),
        .learned = CapacitySimulation(simulated, CapacityPolicy::Learned).run() };
    compared.swing = swingOf(compared.learned, static_cast<std::size_t>(simulated.lengthMs / 100), ignoredServer);
    std::cout << name << ": oracle " << compared.oracle.meanMs << " ms, fixed " << compared.fixed.meanMs
              << " ms, learned " << compared.learned.meanMs << " ms ("
              << compared.learned.meanMs / compared.oracle.meanMs << " of the oracle's), swing " << compared.swing
              << ", above the limit " << compared.learned.probed << "\n";
    return compared;
}

void checkBounds(const Comparison& compared)
{
    CHECK(compared.learned.requests == compared.oracle.requests);
    CHECK(compared.learned.meanMs <= maxRatioToOracle * compared.oracle.meanMs);
    CHECK(compared.swing <= maxSwing);
    CHECK(compared.learned.meanMs - compared.oracle.meanMs
        <= maxLossShare * (compared.fixed.meanMs - compared.oracle.meanMs));
}

/// Lets every policy that was weighed run a case, for the design note.
void printPolicies(const char* name, const CapacityCase& simulated)
{
    const std::pair<CapacityPolicy, const char*> policies[] = { { CapacityPolicy::Oracle, "oracle" },
        { CapacityPolicy::Fixed, "fixed" }, { CapacityPolicy::Learned, "learned" },
        { CapacityPolicy::Stated, "stated" }, { CapacityPolicy::Gradient, "gradient" },
        { CapacityPolicy::Additive, "additive" }, { CapacityPolicy::Credits, "credits" } };
    std::cout << name;
    for (const auto& [policy, policyName] : policies)
        std::cout << ", " << policyName << " " << CapacitySimulation(simulated, policy).run().meanMs;
    std::cout << "\n";
}

} // namespace

// Guards against a policy that gives slow upstreams as much as fast ones.
TEST_CASE("Speeds from 1 to 4 are learned at half load", "[learned][capacity]")
{
    checkBounds(compare("speeds, half load", makeCase(unequalServers(12), 0.5)));
}

TEST_CASE("Speeds from 1 to 4 are learned at high load", "[learned][capacity]")
{
    checkBounds(compare("speeds, high load", makeCase(unequalServers(12), 0.8)));
}

// Guards against a limit above the load from which an upstream slows down, or far below.
TEST_CASE("A knee at half of the slots is found at high load", "[.][learned-capacity-red]")
{
    checkBounds(compare("knee", makeCase(equalServers(), 0.8)));
}

TEST_CASE("A knee and speeds from 1 to 4 are learned together at half load", "[.][learned-capacity-red]")
{
    checkBounds(compare("knee and speeds, half load", makeCase(unequalServers(6), 0.5)));
}

TEST_CASE("A knee and speeds from 1 to 4 are learned together at high load", "[learned][capacity]")
{
    checkBounds(compare("knee and speeds, high load", makeCase(unequalServers(6), 0.8)));
}

// Guards against short slowdowns that are taken for a knee.
TEST_CASE("Stated slowdowns of 600 ms leave the limit as it is at half load", "[learned][capacity]")
{
    checkBounds(compare("noise, half load", makeCase(noisyServers(), 0.5)));
}

TEST_CASE("Stated slowdowns of 600 ms leave the limit as it is at high load", "[learned][capacity]")
{
    checkBounds(compare("noise, high load", makeCase(noisyServers(), 0.8)));
}

// Guards against estimates that outlive a slowdown, because the upstream gets nothing that would show its end.
TEST_CASE("An upstream that recovers is used again within 3 s", "[learned][capacity]")
{
    CapacityCase simulated = makeCase(recoveringServers(), 0.8);
    simulated.statesSlowdown = false;
    const Comparison compared = compare("recovers", simulated, 2);
    checkBounds(compared);
    const std::vector<double>& sent = compared.learned.sent[2];
    const auto sum
        = [&](std::size_t from) { return std::accumulate(sent.begin() + from, sent.begin() + from + 20, 0.0); };
    const double usual = sum(70);
    CHECK(sum(130) < usual / 2);
    CHECK(sum(230) > usual / 2);
}

// Guards against an entry with little traffic that learns too little on its own, or spoils what others learned.
TEST_CASE("Three entries share what they learn, one with a tenth of the traffic", "[.][learned-capacity-red]")
{
    CapacityCase simulated = makeCase(unequalServers(6), 0.5);
    simulated.entryShares = { 0.45, 0.45, 0.1 };
    checkBounds(compare("three entries, half load", simulated));
}

TEST_CASE("Three entries share what they learn at high load", "[.][learned-capacity-red]")
{
    CapacityCase simulated = makeCase(unequalServers(6), 0.8);
    simulated.entryShares = { 0.45, 0.45, 0.1 };
    checkBounds(compare("three entries, high load", simulated));
}

TEST_CASE("Figures of the policies that were weighed", "[.][capacity-figures]")
{
    printPolicies("speeds 0.5", makeCase(unequalServers(12), 0.5));
    printPolicies("knee 0.8", makeCase(equalServers(), 0.8));
    printPolicies("knee and speeds 0.8", makeCase(unequalServers(6), 0.8));
    printPolicies("noise 0.8", makeCase(noisyServers(), 0.8));
    CapacityCase unstated = makeCase(noisyServers(), 0.8);
    unstated.statesSlowdown = false;
    printPolicies("noise not stated 0.8", unstated);
    printPolicies("recovers 0.8", makeCase(recoveringServers(), 0.8));
    CapacityCase three = makeCase(unequalServers(6), 0.8);
    three.entryShares = { 0.45, 0.45, 0.1 };
    printPolicies("three entries 0.8", three);
    three.exactLoads = true;
    printPolicies("three entries that know the loads 0.8", three);
}

// Guards against an upstream that is given nothing after rejections, and so never shows that it has room again.
TEST_CASE("The limit stays between a floor and the slots", "[learned]")
{
    LearnedLimit learned { .slots = 12 };
    Milliseconds now { 1000 };
    for (int round = 0; round < 100; ++round, now += Milliseconds { 10 })
        recordService(learned, { .load = 1, .rejected = true, .at = now });
    CHECK(limitOf(learned, 12, now) == 3);
    for (int round = 0; round < 2000; ++round, now += Milliseconds { 10 })
        recordService(learned, { .load = limitOf(learned, 12, now), .time = 60, .at = now });
    CHECK(limitOf(learned, 12, now) >= 11);
    CHECK(limitOf(learned, 12, now) <= 12);
    CHECK(limitOf(learned, 2, now) <= 2);
}

// Guards against a link whose delay is taken for a full upstream.
TEST_CASE("A slow link does not lower the limit", "[learned]")
{
    LearnedLimit learned { .slots = 12, .slowStart = false };
    Milliseconds now { 1000 };
    std::mt19937_64 random(3);
    for (int round = 0; round < 1000; ++round, now += Milliseconds { 10 }) {
        const double delay = round < 500 ? 0 : 200;
        const auto load = static_cast<std::uint32_t>(1 + random() % 10);
        recordService(learned, { .load = load, .time = 60 + delay, .at = now });
    }
    CHECK(limitOf(learned.own, 12) >= 10);
}

// Guards against an entry behind a slow link that makes an upstream look slow to the others.
TEST_CASE("Estimates are merged by weight and age", "[learned]")
{
    const Milliseconds now { 10'000 };
    const LearnedEstimate own { .level = 60, .knee = 6, .weight = 1, .at = now };
    const LearnedEstimate slowLink { .level = 400, .knee = 6, .weight = 2, .at = now };
    const LearnedEstimate heavy { .level = 62, .knee = 9, .weight = 3, .at = now };
    const LearnedEstimate merged = mergeEstimates(own, { slowLink, heavy }, now);
    CHECK(merged.level < 70);
    CHECK(merged.knee == Approx((6 + 12 + 27) / 6.0));
    CHECK(merged.weight == Approx(6));
    const LearnedEstimate old { .level = 60, .knee = 1, .weight = 1000, .at = now - Milliseconds { 30'000 } };
    CHECK(mergeEstimates(own, { old }, now).knee == Approx(6).margin(0.01));
    CHECK(mergeEstimates({}, {}, now).weight == 0);
}
