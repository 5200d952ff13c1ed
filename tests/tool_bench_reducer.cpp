/// Measures how many requests a second the entry's reducer decides on one core, and how the cost grows with replicas
/// and workspaces. Prints one JSON object a line. A decision is a request's admission and routing; the time includes
/// the events that end it.

#include "request_fixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <iostream>

using namespace hickory;

namespace {

constexpr std::size_t decisionCount = 100000;

struct BenchCase {
    std::size_t replicas;
    std::size_t workspaces;
    double loadFactor; ///< requests held in flight or waiting, relative to all slots
};

RequestFixture makeFleet(const BenchCase& bench)
{
    RequestFixture fixture(bench.replicas, 7);
    fixture.state.settings.routePolicy = RoutePolicy::Affinity;
    fixture.config.workspaces.clear();
    for (std::size_t workspace = 0; workspace < bench.workspaces; ++workspace)
        fixture.config.workspaces.push_back(
            { .name = { "workspace-" + std::to_string(workspace) }, .weight = 1, .maxQueued = 256 });
    for (RankConfig& rank : fixture.config.ranks)
        rank.firstTokenTarget = { 1000000 };
    for (std::size_t replica = 0; replica < bench.replicas; ++replica)
        fixture.statuses[replica].dataCentre = { std::string(1, static_cast<char>('a' + replica % 3)) };
    fixture.start();
    return fixture;
}

/// Keeps a number of requests in the entry; each arrival beyond it is followed by the end of the oldest attempt.
double decisionsPerSecond(const BenchCase& bench)
{
    RequestFixture fixture = makeFleet(bench);
    const auto held = static_cast<std::size_t>(std::min(
        1800.0 + static_cast<double>(bench.replicas) * 8, static_cast<double>(bench.replicas) * 8 * bench.loadFactor));
    std::deque<DispatchAttempt> flights;
    const char* ranks[] = { "urgent", "normal", "bulk" };
    const auto take = [&](const EntryEffects& effects) {
        for (const EntryEffect& effect : effects)
            if (const auto* dispatch = std::get_if<DispatchAttempt>(&effect))
                flights.push_back(*dispatch);
    };
    const auto arrive = [&](std::size_t number) {
        RequestArrived call
            = fixture.call(ranks[number % 3], "workspace-" + std::to_string(number * 7919 % bench.workspaces));
        call.prefixHash = number * 0x9E3779B97F4A7C15ULL;
        take(fixture.run(std::move(call)));
    };
    std::size_t number = 0;
    for (; number < held; ++number)
        arrive(number);
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < decisionCount; ++count, ++number) {
        if (count % 100 == 0) {
            fixture.now += Milliseconds { 1 };
            if (fixture.now.value % 50 == 0)
                take(fixture.run(Tick {}));
        }
        arrive(number);
        if (flights.empty())
            continue;
        const DispatchAttempt oldest = std::move(flights.front());
        flights.pop_front();
        fixture.run(FirstPart { oldest.call.key.request, oldest.call.key.attempt, oldest.host });
        take(fixture.run(fixture.ended(oldest, DispatchResultKind::Completed, 1)));
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    return decisionCount / took.count();
}

void print(const std::string& metric, double value, const std::string& unit, double baseline, double target,
    const std::string& better)
{
    std::cout << nlohmann::json { { "name", "reducer" }, { "metric", metric }, { "value", value }, { "unit", unit },
        { "baseline", baseline }, { "target", target }, { "better", better } }
              << "\n";
}

double best(const BenchCase& bench)
{
    double rate = 0;
    for (int round = 0; round < 3; ++round)
        rate = std::max(rate, decisionsPerSecond(bench));
    return rate;
}

} // namespace

int main()
{
    constexpr double targetRate = 100000;
    const double idle = best({ 660, 1000, 0.7 });
    const double queued = best({ 660, 1000, 1.2 });
    const double fewReplicas = best({ 66, 1000, 0.7 });
    const double fewWorkspaces = best({ 660, 100, 1.2 });
    print("decisions-without-queue", idle, "1/s", fewReplicas, targetRate, "higher");
    print("decisions-with-queue", queued, "1/s", fewWorkspaces, targetRate, "higher");
    // Ten times as many may cost at most as much more as the logarithms of the counts.
    print("cost-growth-replicas-66-to-660", fewReplicas / idle, "ratio", 1, std::log(660.0) / std::log(66.0), "lower");
    print("cost-growth-workspaces-100-to-1000", fewWorkspaces / queued, "ratio", 1, std::log(1000.0) / std::log(100.0),
        "lower");
    return 0;
}
