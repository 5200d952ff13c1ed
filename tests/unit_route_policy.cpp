#include "request_simulation.h"

#include "digest_func.h"
#include "upstream_view_subset_func.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hickory;

namespace {

struct RouteMetrics {
    double p95 { 0 }; ///< 95th percentile of the time from arrival to the first part, ms
    int peakWaiting { 0 }; ///< maximum queue length at one upstream
    double hits { 0 }; ///< share of attempts whose prompt prefix was cached, 0 to 1
};

/// Simulates four entries and twelve upstreams at three quarters of their capacity.
/// @param prefixes number of shared prompt prefixes, 0 for none
RouteMetrics simulate(RoutePolicy policy, std::size_t prefixes)
{
    RequestSimulation simulation(4, 12, { { "normal", "w0", 144, prefixes } },
        [&](RequestFixture& entry) { entry.state.settings.routePolicy = policy; });
    simulation.warmUp({ 5000 });
    simulation.runFor({ 20000 });
    SimulatedResult& result = simulation.results[0];
    return { .p95 = result.percentile(0.95),
        .peakWaiting = simulation.peakWaiting,
        .hits = static_cast<double>(result.cacheHits) / std::max(1, result.dispatches) };
}

/// Makes upstreams that are spread evenly over the data centres.
std::vector<Member> makeMembers(std::size_t count, std::size_t dataCentres)
{
    std::vector<Member> members;
    for (std::size_t host = 0; host < count; ++host)
        members.push_back({ .host = { "h" + std::to_string(host) },
            .role = MemberRole::Upstream,
            .dataCentre = { "p" + std::to_string(host % dataCentres) } });
    return members;
}

std::vector<HostId> subsetOf(const std::vector<Member>& members, const std::string& key, std::size_t size)
{
    std::vector<const Member*> candidates;
    for (const Member& member : members)
        candidates.push_back(&member);
    return chooseSubset(key, candidates, size);
}

} // namespace

// Guards against a default policy that balances no better than its baselines: random choice, and the least reported
// load, where stale reports send all entries to the same upstream.
TEST_CASE("Two choices by queue depth balance better than random and least-reported")
{
    const RouteMetrics random = simulate(RoutePolicy::Random, 0);
    const RouteMetrics reported = simulate(RoutePolicy::LeastReported, 0);
    const RouteMetrics choices = simulate(RoutePolicy::TwoChoices, 0);
    INFO("p95 ms / peak waiting: random " << random.p95 << "/" << random.peakWaiting << ", least-reported "
                                          << reported.p95 << "/" << reported.peakWaiting << ", two-choices "
                                          << choices.p95 << "/" << choices.peakWaiting);
    CHECK(choices.p95 <= random.p95);
    CHECK(choices.p95 < reported.p95);
    CHECK(choices.peakWaiting < reported.peakWaiting);
}

// Guards against prefix affinity that does not improve the cache hit rate, or improves it at the cost of longer waits.
TEST_CASE("Prefix affinity raises the cache hit rate without longer waits")
{
    const RouteMetrics choices = simulate(RoutePolicy::TwoChoices, 60);
    const RouteMetrics affinity = simulate(RoutePolicy::Affinity, 60);
    INFO("hits: two-choices " << choices.hits << ", affinity " << affinity.hits << "; p95 " << choices.p95 << " and "
                              << affinity.p95 << " ms");
    CHECK(affinity.hits >= 1.5 * choices.hits);
    CHECK(affinity.p95 <= choices.p95 + 10);
}

// Guards against a subset that is lost with a single data centre, differs between runs, or is replaced as a whole when
// one member disappears.
TEST_CASE("A subset is deterministic, spread over data centres, and changes little")
{
    std::vector<Member> members = makeMembers(660, 9);
    const std::vector<HostId> before = subsetOf(members, "subset/e1/llm", 12);
    REQUIRE(before.size() == 12);
    CHECK(before == subsetOf(members, "subset/e1/llm", 12));
    CHECK(before != subsetOf(members, "subset/e2/llm", 12));
    std::map<DataCentreId, int> dataCentres;
    for (const HostId& host : before)
        ++dataCentres[members[static_cast<std::size_t>(std::stoi(host.value.substr(1)))].dataCentre];
    CHECK(dataCentres.size() == 9);
    members.erase(
        std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.host == before[0]; }));
    const std::vector<HostId> after = subsetOf(members, "subset/e1/llm", 12);
    std::set<HostId> kept(before.begin(), before.end());
    CHECK(std::count_if(after.begin(), after.end(), [&](const HostId& host) { return kept.contains(host); }) == 11);
    CHECK(subsetOf(makeMembers(5, 3), "subset/e1/llm", 12).size() == 5);
}

// Guards against requests that leave the entry's data centre while it has room, and against ones that wait there when
// it is full or lost.
TEST_CASE("Requests stay in the entry's data centre until it is full or lost")
{
    RequestFixture fixture(4);
    for (std::size_t replica = 0; replica < 4; ++replica)
        fixture.statuses[replica].dataCentre = { replica < 2 ? "a" : replica == 2 ? "b" : "c" };
    fixture.start();
    std::map<std::string, int> hosts;
    const auto send = [&](int count) {
        hosts.clear();
        for (int number = 0; number < count; ++number)
            for (const auto& dispatch : all<DispatchAttempt>(fixture.run(fixture.call("normal"))))
                ++hosts[dispatch.host.value];
    };
    send(16);
    CHECK(hosts["r0"] + hosts["r1"] == 16);
    send(8);
    CHECK(hosts["r2"] == 8); // own region before other regions
    send(2);
    CHECK(hosts["r3"] == 2);
    fixture.run(AgentDisconnected { .host = { "r0" }, .reason = "lost" });
    fixture.run(AgentDisconnected { .host = { "r1" }, .reason = "lost" });
    send(4);
    CHECK(hosts["r3"] == 4);
}

// Guards against a failing upstream that keeps receiving its share, and against the ejection of too many upstreams.
TEST_CASE("Upstreams that fail most attempts are ejected, up to a third of all")
{
    RequestFixture fixture(6);
    fixture.start();
    const std::set<std::string> bad { "r0", "r1", "r2" };
    std::map<std::string, int> late;
    std::size_t ejected = 0;
    for (int number = 0; number < 400; ++number) {
        const EntryEffects effects = fixture.run(fixture.call());
        for (const DispatchAttempt& dispatch : all<DispatchAttempt>(effects)) {
            if (number >= 200)
                ++late[dispatch.host.value];
            const bool fails = bad.contains(dispatch.host.value);
            const EntryEffects more = fixture.run(
                fixture.ended(dispatch, fails ? DispatchResultKind::Failed : DispatchResultKind::Completed));
            for (const LogLine& line : all<LogLine>(more))
                ejected += line.event == "eject" ? 1 : 0;
        }
        fixture.now += Milliseconds { 5 };
    }
    CHECK(ejected == 2);
    CHECK(late["r0"] + late["r1"] + late["r2"] < 100);
    // The ejections end; slow start gives these upstreams a small share at first.
    fixture.advance({ 6000 });
    CHECK(fixture.state.requests.pools.at({ "llm" }).upstreams.candidates == 6);
}

// Guards against an entry that disconnects from all agents when most of them miss heartbeats at the same time, which
// rather indicates a fault of the entry or its network.
TEST_CASE("Connections are kept and used when most agents miss heartbeats at once")
{
    RequestFixture fixture(3);
    fixture.start();
    std::size_t dropped = 0;
    for (const char* host : { "r0", "r1", "r2" })
        for (int missed = 0; missed < 3; ++missed)
            dropped += all<DisconnectAgent>(fixture.run(HeartbeatMissed { .host = { host } })).size();
    CHECK(dropped == 1); // the first is dropped: only it has missed heartbeats until then
    CHECK(all<DispatchAttempt>(fixture.run(fixture.call())).size() == 1);
}
