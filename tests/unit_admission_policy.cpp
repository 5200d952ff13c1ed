#include "request_simulation.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// Capacity of the simulated upstreams, requests/s: 4 upstreams with 8 slots and 500 ms per request.
constexpr double capacity = 64;

/// Simulates two entries and four upstreams for a time after a warm-up.
/// @return results by load
std::vector<SimulatedResult> simulate(
    std::vector<SimulatedLoad> loads, QueuePolicy policy, Milliseconds span = { 20000 })
{
    RequestSimulation simulation(
        2, 4, std::move(loads), [&](RequestFixture& entry) { entry.state.settings.queuePolicy = policy; });
    simulation.warmUp({ 5000 });
    simulation.runFor(span);
    return simulation.results;
}

} // namespace

// Guards against workspaces with little demand starving beside flooding ones, as they do without fair queueing.
TEST_CASE("Fair queueing serves small workspaces in full beside two that exceed their share")
{
    const std::vector<SimulatedLoad> small { { "normal", "w0", 4 }, { "normal", "w1", 4 } };
    std::vector<SimulatedLoad> loads = small;
    loads.push_back({ "normal", "w2", capacity * 5 });
    loads.push_back({ "normal", "w3", capacity * 5 });
    auto fair = simulate(loads, QueuePolicy::RankFair);
    auto baseline = simulate(loads, QueuePolicy::RankOnly);
    INFO("small: finished " << fair[0].finishedShare() << " " << fair[1].finishedShare() << ", baseline "
                            << baseline[0].finishedShare() << "; p95 wait " << fair[0].percentile(0.95) << " ms");
    CHECK(fair[0].finishedShare() > 0.95);
    CHECK(fair[1].finishedShare() > 0.95);
    CHECK(baseline[0].finishedShare() < 0.5);
    const double larger = std::max(fair[2].finished, fair[3].finished);
    CHECK(std::min(fair[2].finished, fair[3].finished) / larger > 0.8);
    // Fair queueing must not reduce the throughput.
    const int all = fair[0].finished + fair[1].finished + fair[2].finished + fair[3].finished;
    CHECK(all > capacity * 20 * 0.9);
}

// Guards against a flood of the least urgent rank delaying the other ranks, as it does with a FIFO queue.
TEST_CASE("A flood of the least urgent rank does not delay the other ranks")
{
    const std::vector<SimulatedLoad> loads { { "urgent", "w0", capacity * 0.2 }, { "normal", "w1", capacity * 0.2 },
        { "bulk", "w2", capacity * 10 } };
    auto ranked = simulate(loads, QueuePolicy::RankFair);
    auto baseline = simulate(loads, QueuePolicy::Fifo);
    INFO("urgent: finished " << ranked[0].finishedShare() << ", p95 " << ranked[0].percentile(0.95) << " ms, baseline "
                             << baseline[0].finishedShare() << ", p95 " << baseline[0].percentile(0.95) << " ms");
    CHECK(ranked[0].finishedShare() > 0.99);
    CHECK(ranked[0].percentile(0.95) < 400);
    CHECK(ranked[1].finishedShare() > 0.95);
    CHECK((baseline[0].finishedShare() < 0.9 || baseline[0].percentile(0.95) > 400));
}

// Guards against the most urgent rank starving the others below their floors.
TEST_CASE("A flood of the most urgent rank leaves every other rank its floor")
{
    const std::vector<SimulatedLoad> loads { { "urgent", "w0", capacity * 5 }, { "normal", "w1", capacity },
        { "bulk", "w2", capacity } };
    auto results = simulate(loads, QueuePolicy::RankFair);
    INFO("finished per second: " << results[0].finished / 20.0 << " " << results[1].finished / 20.0 << " "
                                 << results[2].finished / 20.0 << ", urgent p95 " << results[0].percentile(0.95)
                                 << " ms");
    CHECK(results[0].percentile(0.95) < 400);
    CHECK(results[1].finished / 20.0 > capacity * 0.25 * 0.9);
    CHECK(results[2].finished / 20.0 > capacity * 0.125 * 0.9);
    CHECK(results[0].finished / 20.0 > capacity * 0.625 * 0.9);
}

// Guards against goodput that collapses under overload, and against retries that amplify the load.
TEST_CASE("Excess load is refused early and goodput stays at capacity")
{
    for (const double factor : { 0.5, 1.0, 2.0, 10.0 }) {
        auto results = simulate({ { "normal", "w0", capacity * factor } }, QueuePolicy::RankFair);
        const double goodput = results[0].finished / 20.0;
        INFO("load " << factor << ": goodput " << goodput << "/s, p95 wait " << results[0].percentile(0.95)
                     << " ms, attempts for each finished request "
                     << static_cast<double>(results[0].dispatches) / results[0].finished);
        CHECK(goodput > std::min(1.0, factor) * capacity * 0.9);
        CHECK(results[0].percentile(0.95) < 2000);
        CHECK(results[0].dispatches <= results[0].finished * 1.1);
    }
}
