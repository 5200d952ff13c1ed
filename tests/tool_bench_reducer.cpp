// Measures how many requests per second the entry's reducer admits and routes on one core, and how the cost grows with
// the number of replicas and workspaces. Prints one JSON object per metric. A decision is the admission and routing of
// one request; the measured time includes the events that end it.

#include "request_fixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <iostream>

using namespace hickory;

namespace {

constexpr std::size_t decisionCount = 100000; ///< requests timed in each measurement

/// Fleet and load of one measurement.
struct BenchCase {
    std::size_t replicas; ///< of one engine service, with 8 slots each
    std::size_t workspaces; ///< requests are spread evenly over them
    double loadFactor; ///< requests in flight or queued, relative to all slots; above 1 up to 1800 are queued
};

/// @return an entry whose agents, spread over three data centres, are connected and ready
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

/// Fills the entry up to the load of the case, then times one arrival and the end of the oldest dispatch at a time.
/// @return decisions per second
double decisionsPerSecond(const BenchCase& bench)
{
    RequestFixture fixture = makeFleet(bench);
    const auto targetInFlight = static_cast<std::size_t>(std::min(
        1800.0 + static_cast<double>(bench.replicas) * 8, static_cast<double>(bench.replicas) * 8 * bench.loadFactor));
    std::deque<DispatchAttempt> dispatches;
    const char* ranks[] = { "urgent", "normal", "bulk" };
    const auto collectDispatches = [&](const EntryEffects& effects) {
        for (const EntryEffect& effect : effects)
            if (const auto* dispatch = std::get_if<DispatchAttempt>(&effect))
                dispatches.push_back(*dispatch);
    };
    const auto sendRequest = [&](std::size_t number) {
        RequestArrived call
            = fixture.call(ranks[number % 3], "workspace-" + std::to_string(number * 7919 % bench.workspaces));
        call.prefixHash = number * 0x9E3779B97F4A7C15ULL;
        collectDispatches(fixture.run(std::move(call)));
    };
    std::size_t number = 0;
    for (; number < targetInFlight; ++number)
        sendRequest(number);
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < decisionCount; ++count, ++number) {
        if (count % 100 == 0) {
            fixture.now += Milliseconds { 1 };
            if (fixture.now.value % 50 == 0)
                collectDispatches(fixture.run(Tick {}));
        }
        sendRequest(number);
        if (dispatches.empty())
            continue;
        const DispatchAttempt oldest = std::move(dispatches.front());
        dispatches.pop_front();
        fixture.run(FirstPart { oldest.call.key.request, oldest.call.key.attempt, oldest.host });
        collectDispatches(fixture.run(fixture.ended(oldest, DispatchResultKind::Completed, 1)));
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    return decisionCount / elapsed.count();
}

void print(const std::string& metric, double value, const std::string& unit, double baseline, double target,
    const std::string& better)
{
    std::cout << nlohmann::json { { "name", "reducer" }, { "metric", metric }, { "value", value }, { "unit", unit },
        { "baseline", baseline }, { "target", target }, { "better", better } }
              << "\n";
}

/// @return the highest rate of three measurements, which leaves out disturbances by other processes
double bestOfThree(const BenchCase& bench)
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
    const double withoutQueue = bestOfThree({ 660, 1000, 0.7 });
    const double withQueue = bestOfThree({ 660, 1000, 1.2 });
    const double fewReplicas = bestOfThree({ 66, 1000, 0.7 });
    const double fewWorkspaces = bestOfThree({ 660, 100, 1.2 });
    print("decisions-without-queue", withoutQueue, "1/s", fewReplicas, targetRate, "higher");
    print("decisions-with-queue", withQueue, "1/s", fewWorkspaces, targetRate, "higher");
    // Target: cost grows no faster than the logarithm of the number of replicas or workspaces.
    print("cost-growth-replicas-66-to-660", fewReplicas / withoutQueue, "ratio", 1, std::log(660.0) / std::log(66.0),
        "lower");
    print("cost-growth-workspaces-100-to-1000", fewWorkspaces / withQueue, "ratio", 1,
        std::log(1000.0) / std::log(100.0), "lower");
    return 0;
}
