#include "engine_news_func.h"
#include "peer_state_type.h"
#include "table/loader_limits.h"
#include "table/relay_limits.h"
#include "table/relay_loop_limits.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace hickory;

namespace {

EngineReported reportOf(const std::string& address, std::uint32_t sequence, Milliseconds age = {},
    std::uint64_t agentStart = 1, std::uint32_t running = 0)
{
    return { .address = address,
        .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .running = running },
        .order = { .agentStart = { agentStart }, .sequence = sequence },
        .age = age };
}

/// Entries and agents of one data centre, in steps of 10 ms. Agents report as LoaderLoop does, entries pass the reports
/// on as RelayLoop does; a datagram arrives in the next step, or is lost.
struct ReportFleet {
    struct Entry {
        PeerInfo info;
        EngineNews news;
        PeerTable peers;
        bool dead { false };
        bool frozen { false };
        std::vector<std::pair<std::vector<EngineReported>, bool>> inbox; ///< reports, and whether an agent sent them
        Milliseconds sentAt { 0 };
        std::uint64_t datagrams { 0 }; ///< sent and received
        std::map<std::string, Milliseconds> agents; ///< last report of each agent that reports here
    };
    struct Agent {
        HostId host;
        PeerTable peers;
        std::uint32_t sequence { 0 };
        std::uint64_t datagrams { 0 }; ///< sent and received
        Milliseconds offset; ///< of its reports
    };

    ReportFleet(std::size_t entryCount, std::size_t agentCount)
    {
        for (std::size_t index = 0; index < entryCount; ++index) {
            const std::string name = "entry-" + std::to_string(index);
            this->entries.push_back({ .info = { .host = { name },
                                          .incarnation = { 1 },
                                          .ip = "10.0.0." + std::to_string(index),
                                          .front = name,
                                          .dataCentre = { "a" },
                                          .ready = true } });
        }
        for (std::size_t index = 0; index < agentCount; ++index) {
            Agent agent { .host = { "agent-" + std::to_string(index) },
                .offset = { static_cast<std::int64_t>(this->random() % engineBeaconPeriod.value) / 10 * 10 } };
            agent.peers.liveTimeout = entryLiveTimeout;
            this->agents.push_back(std::move(agent));
        }
        for (Agent& agent : this->agents)
            this->tellEntries(agent, this->entries.front());
    }

    bool lost() { return this->random() % 100 == 0; }

    /// An entry sends an agent a beacon that names all live entries.
    void tellEntries(Agent& agent, const Entry& from)
    {
        PeerBeacon beacon { .from = from.info };
        for (const Entry& entry : this->entries)
            if (!entry.dead)
                beacon.known.push_back(entry.info);
        recordBeacon(agent.peers, agent.host, beacon, from.info.ip, this->now);
        ++agent.datagrams;
    }

    void report(Agent& agent)
    {
        ++agent.sequence;
        std::vector<PeerInfo> homes = homeEntries(agent.peers, agent.host, { "a" }, this->now);
        if (agent.sequence % reportsPerReportToAll != 0 && homes.size() > 1)
            homes.resize(1);
        recordReportSent(agent.peers, homes, this->now);
        for (const PeerInfo& home : homes) {
            ++agent.datagrams;
            for (Entry& entry : this->entries)
                if (entry.info.host == home.host && !entry.dead && !this->lost()) {
                    const EngineReported sent = reportOf(agent.host.value, agent.sequence, {}, 1, agent.sequence);
                    entry.inbox.push_back({ { sent }, true });
                    entry.agents[agent.host.value] = this->now;
                }
        }
    }

    void step()
    {
        this->now += Milliseconds { 10 };
        for (Entry& entry : this->entries) {
            if (entry.dead || entry.frozen)
                continue;
            for (const auto& [reports, fromAgent] : std::exchange(entry.inbox, {})) {
                ++entry.datagrams;
                recordReports(entry.news, reports, fromAgent, this->now);
            }
            const Milliseconds period = dataCentreBeaconPeriod(this->entries.size() - 1);
            if (this->now - entry.sentAt >= period)
                this->sendBeacon(entry);
        }
        for (Agent& agent : this->agents) {
            if ((this->now.value - agent.offset.value) % engineBeaconPeriod.value == 0)
                this->report(agent);
            if (this->now.value % (beaconPeriod * beaconsPerAgentBeacon).value == 0)
                for (Entry& entry : this->entries)
                    if (!entry.dead && !entry.frozen && entry.agents.contains(agent.host.value)
                        && this->now - entry.agents[agent.host.value] < reportingAgentTimeout) {
                        this->tellEntries(agent, entry);
                        ++entry.datagrams;
                    }
        }
    }

    void sendBeacon(Entry& from)
    {
        from.sentAt = this->now;
        const std::vector<EngineReported> reports = takeReportsToRelay(from.news, this->now);
        for (Entry& entry : this->entries) {
            if (&entry == &from)
                continue;
            ++from.datagrams;
            if (!entry.dead && !this->lost())
                entry.inbox.push_back({ reports, false });
        }
    }

    void run(
        Milliseconds duration, const std::function<void()>& afterStep = [] {})
    {
        for (const Milliseconds end = this->now + duration; this->now < end;) {
            this->step();
            afterStep();
        }
    }

    /// Collects the ages of all reports at all entries that run.
    void addAges(std::vector<std::int64_t>& ages) const
    {
        for (const Entry& entry : this->entries) {
            if (entry.dead || entry.frozen)
                continue;
            for (const Agent& agent : this->agents) {
                const auto found = entry.news.engines.find(agent.host.value);
                ages.push_back(found == entry.news.engines.end() ? 100000 : (this->now - found->second.readAt).value);
            }
        }
    }

    std::vector<Entry> entries;
    std::vector<Agent> agents;
    std::mt19937_64 random { 5 };
    Milliseconds now { 100000 };
};

struct DataCentreSize {
    std::size_t entries;
    std::size_t agents;
};

} // namespace

// Guards against reports that every agent sends to every entry: 53 datagrams a second for an agent at 8 entries.
TEST_CASE("An agent sends few reports, and all entries of its data centre know them soon", "[peer][engine-news]")
{
    const DataCentreSize size = GENERATE(
        DataCentreSize { 1, 5 }, DataCentreSize { 3, 14 }, DataCentreSize { 8, 47 }, DataCentreSize { 44, 73 });
    CAPTURE(size.entries, size.agents);
    ReportFleet fleet(size.entries, size.agents);
    fleet.run({ 2000 });
    for (ReportFleet::Agent& agent : fleet.agents)
        agent.datagrams = 0;
    for (ReportFleet::Entry& entry : fleet.entries)
        entry.datagrams = 0;
    std::vector<std::int64_t> ages;
    fleet.run({ 5000 }, [&] { fleet.addAges(ages); });
    for (const ReportFleet::Agent& agent : fleet.agents)
        CHECK(agent.datagrams <= 20 * 5);
    // Reports of engines are used for a second. They change every 150 ms.
    std::sort(ages.begin(), ages.end());
    CHECK(ages[ages.size() * 999 / 1000] < reportMaxAge.value);
    CHECK(std::accumulate(ages.begin(), ages.end(), 0LL) / static_cast<std::int64_t>(ages.size()) < 300);
}

// Guards against engines whose reports end with the entry that passes them on: that one is dead, frozen or just back.
TEST_CASE("Reports go on while entries that pass them on are dead or frozen", "[peer][engine-news]")
{
    ReportFleet fleet(8, 47);
    fleet.run({ 2000 });
    std::vector<std::int64_t> ages;
    const auto addAges = [&] { fleet.addAges(ages); };
    fleet.entries[2].dead = true;
    fleet.run({ 4000 }, addAges);
    fleet.entries[5].frozen = true;
    fleet.run({ 4000 }, addAges);
    // What it had not read when it was frozen is old now, and must not replace what the others know.
    fleet.entries[5].frozen = false;
    fleet.run({ 2000 }, addAges);
    std::sort(ages.begin(), ages.end());
    CHECK(ages[ages.size() * 99 / 100] < reportMaxAge.value);
    std::vector<std::int64_t> after;
    fleet.addAges(after);
    CHECK(*std::max_element(after.begin(), after.end()) < reportMaxAge.value);
}

// Guards against an old report that a frozen entry passes on, and against agents that count anew after a restart.
TEST_CASE("A report replaces only older ones", "[peer][engine-news]")
{
    EngineNews news;
    CHECK(recordReports(news, { reportOf("e", 5) }, true, { 1000 }).size() == 1);
    CHECK(recordReports(news, { reportOf("e", 5) }, false, { 1010 }).empty());
    CHECK(recordReports(news, { reportOf("e", 4) }, false, { 1020 }).empty());
    CHECK(recordReports(news, { reportOf("e", 6) }, false, { 1030 }).size() == 1);
    SECTION("an agent that started again counts from one")
    {
        CHECK(recordReports(news, { reportOf("e", 1, {}, 2) }, true, { 1100 }).size() == 1);
        CHECK(recordReports(news, { reportOf("e", 9, {}, 1) }, false, { 1110 }).empty());
    }
    SECTION("an agent whose time of day went back is heard once the last report is old")
    {
        CHECK(recordReports(news, { reportOf("e", 1, {}, 0) }, true, { 1500 }).empty());
        CHECK(recordReports(news, { reportOf("e", 2, {}, 0) }, true, { 2100 }).size() == 1);
    }
    SECTION("agents of an older program count no reports")
    {
        EngineNews older;
        CHECK(recordReports(older, { reportOf("e", 0) }, true, { 1000 }).size() == 1);
        CHECK(recordReports(older, { reportOf("e", 0) }, true, { 1150 }).size() == 1);
    }
}

// Guards against load orders that entries learn of only with their next beacon, and against reports passed on in
// circles.
TEST_CASE("Reports from agents are passed on once, at once if more than the load changed", "[peer][engine-news]")
{
    EngineNews news;
    recordReports(news, { reportOf("e", 1) }, true, { 1000 });
    CHECK(news.relayAtOnce);
    CHECK(takeReportsToRelay(news, { 1040 }).at(0).age == Milliseconds { 40 });
    CHECK(takeReportsToRelay(news, { 1050 }).empty());
    recordReports(news, { reportOf("e", 2, {}, 1, 7) }, true, { 1150 });
    CHECK_FALSE(news.relayAtOnce);
    EngineReported ordered = reportOf("e", 2);
    ordered.order.sequence = 3;
    ordered.orderPending = true;
    recordReports(news, { ordered }, true, { 1200 });
    CHECK(news.relayAtOnce);
    takeReportsToRelay(news, { 1200 });
    ordered.order.sequence = 4;
    ordered.clearing = true;
    recordReports(news, { ordered }, true, { 1205 });
    CHECK(news.relayAtOnce);
    takeReportsToRelay(news, { 1205 });
    recordReports(news, { reportOf("f", 1) }, false, { 1210 });
    CHECK(takeReportsToRelay(news, { 1220 }).empty());
    CHECK(takeReportsForSummary(news, false, { 1230 }).size() == 2);
    CHECK(takeReportsForSummary(news, false, { 1240 }).empty());
    CHECK(takeReportsForSummary(news, true, { 1250 }).size() == 2);
}

// Guards against all agents choosing the same entry, and against all of them choosing others when one is gone.
TEST_CASE("Agents spread over the entries of their data centre", "[peer][engine-news]")
{
    PeerTable table;
    table.liveTimeout = entryLiveTimeout;
    for (int index = 0; index < 8; ++index) {
        const std::string name = "entry-" + std::to_string(index);
        const PeerInfo entry { .host = { name }, .front = name, .dataCentre = { index < 6 ? "a" : "b" } };
        recordBeacon(table, { "self" }, { .from = entry }, "10.0.0." + std::to_string(index), { 100000 });
    }
    std::map<std::string, int> agents;
    int moved = 0;
    PeerTable without = table;
    without.entries.erase({ "entry-3" });
    for (int index = 0; index < 60; ++index) {
        const HostId agent { "agent-" + std::to_string(index) };
        const auto homes = homeEntries(table, agent, { "a" }, { 100100 });
        REQUIRE(homes.size() == 2);
        CHECK(homes.front().dataCentre == DataCentreId { "a" });
        CHECK(homes.front().host != homes.back().host);
        ++agents[homes.front().host.value];
        const auto next = homeEntries(without, agent, { "a" }, { 100100 });
        moved += next.front().host == homes.front().host ? 0 : 1;
        CHECK((homes.front().host.value == "entry-3" || next.front().host == homes.front().host));
    }
    CHECK(agents.size() == 6);
    CHECK(moved == agents["entry-3"]);
    // Entries elsewhere stand in when none is live here.
    for (int index = 0; index < 6; ++index)
        table.entries.erase({ "entry-" + std::to_string(index) });
    CHECK(homeEntries(table, { "agent" }, { "a" }, { 100100 }).size() == 2);
}

// Guards against reports sent for good to an entry that others name as live but that this agent cannot reach.
TEST_CASE("An entry that does not answer an agent is left out for a while", "[peer][engine-news]")
{
    PeerTable table;
    table.liveTimeout = entryLiveTimeout;
    const PeerInfo near { .host = { "near" }, .ip = "10.0.0.1", .front = "f", .dataCentre = { "a" } };
    const PeerInfo cut { .host = { "cut" }, .ip = "10.0.0.2", .front = "f", .dataCentre = { "a" } };
    Milliseconds now { 100000 };
    const auto heard = [&] { recordBeacon(table, { "self" }, { .from = near, .known = { cut } }, "10.0.0.1", now); };
    heard();
    REQUIRE(homeEntries(table, { "agent" }, { "a" }, now).size() == 2);
    for (int round = 0; round < 12; ++round) {
        recordReportSent(table, homeEntries(table, { "agent" }, { "a" }, now), now);
        now += Milliseconds { 150 };
        heard();
    }
    CHECK(homeEntries(table, { "agent" }, { "a" }, now).size() == 1);
    now += Milliseconds { 10000 };
    heard();
    CHECK(homeEntries(table, { "agent" }, { "a" }, now).size() == 2);
}

// Guards against beacons that grow with the fleet: 400 entries would take 40 KB.
TEST_CASE("A list of entries names all of the data centre and the others in turn", "[peer][engine-news]")
{
    PeerTable table;
    for (int index = 0; index < 400; ++index) {
        const std::string name = "entry-" + std::to_string(index);
        const PeerInfo entry { .host = { name }, .front = name, .dataCentre = { "dc-" + std::to_string(index % 9) } };
        recordBeacon(table, { "self" }, { .from = entry }, "10.0.0.1", { 100000 });
    }
    std::set<std::string> named;
    for (std::uint32_t round = 0; round < 30; ++round) {
        const auto list = peerList(table, { "dc-0" }, round, { 100100 });
        CHECK(list.size() == 45 + 16);
        for (const PeerInfo& entry : list)
            named.insert(entry.host.value);
    }
    CHECK(named.size() == 400);
}

// Guards against lists of entries that grow with each host that is ever replaced.
TEST_CASE("An agent forgets an entry that was replaced, and keeps one that others name", "[peer]")
{
    PeerTable table;
    const auto entry = [](const char* name) {
        return PeerInfo { .host = { name }, .incarnation = { 1 }, .ip = name, .front = name, .dataCentre = { "a" } };
    };
    recordBeacon(table, { "agent" }, { .from = entry("gone") }, "gone", { 1000 });
    constexpr Milliseconds beacons { 500 };
    Milliseconds now { 1000 };
    for (; now < Milliseconds { 60000 }; now += beacons) {
        PeerBeacon beacon { .from = entry("home") };
        beacon.known = { entry("named") };
        recordBeacon(table, { "agent" }, beacon, "home", now);
        removeSilentPeers(table, now);
        REQUIRE(table.entries.contains({ "named" }));
    }
    CHECK(table.entries.at({ "named" }).firstSeenAt == Milliseconds { 1000 });
    CHECK(table.entries.contains({ "home" }));
    CHECK_FALSE(table.entries.contains({ "gone" }));
}

TEST_CASE(
    "While the store is away all entries together ask it for less than a third of what it serves", "[peer][store]")
{
    constexpr double readsPerSecond = 2000; // of the store of the smallest deployments
    constexpr double tables = 2;
    for (const std::size_t count : { 3U, 17U, 40U, 400U }) {
        std::vector<HostId> entries;
        for (std::size_t index = 0; index < count; ++index)
            entries.push_back({ "entry-" + std::to_string(index) });
        double perSecond = 0;
        for (const HostId& entry : entries) {
            const Milliseconds delay = storeRetryDelay(isStorePoller(entry, entries), count);
            CHECK(delay <= Milliseconds { 2000 });
            perSecond += tables * 1000.0 / static_cast<double>(delay.value);
        }
        CHECK(perSecond < readsPerSecond / 3);
    }
}
