#include "follow_cmd.h"
#include "member_func.h"
#include "operator_json_func.h"
#include "table/control_limits.h"
#include "unit_control_fixture.h"

#include <catch2/catch.hpp>
#include <set>

using namespace hickory;
using namespace hickory::test;

namespace {

AgentStatus statusOf(const std::string& host, std::uint64_t generation, std::uint64_t sequence = 1)
{
    return {
        .host = { host }, .incarnation = { 1 }, .sequence = sequence, .ready = true, .generation = { generation }
    };
}

GossipMessage gossipFrom(const std::string& host, std::uint64_t generation, std::vector<HostId> leaving = {})
{
    return { .from = { host }, .generation = { generation }, .leaving = std::move(leaving) };
}

} // namespace

// Guards against a push that goes to all entries, is repeated, returns to its sender or misses home agents.
TEST_CASE("A new generation is pushed once to 4 other entries and to the home agents that lack it")
{
    EntryHarness entry("e1", 9, 3);
    entry.send(HomeReport { .status = statusOf("a1", 0) });
    entry.send(HomeReport { .status = statusOf("a2", 5) });
    entry.adopt(makeRecord(5, "c"), "e2");
    std::set<HostId> entries;
    std::set<HostId> agents;
    for (const PushConfig& push : entry.all<PushConfig>())
        (push.toEntry ? entries : agents).insert(push.peer);
    REQUIRE(entries.size() == 4);
    REQUIRE_FALSE(entries.contains({ "e1" }));
    REQUIRE_FALSE(entries.contains({ "e2" }));
    REQUIRE(agents == std::set<HostId> { { "a1" } });
    entry.adopt(makeRecord(5, "c"), "e3");
    REQUIRE(entry.effects.empty());
}

// Guards against an outdated peer or a corrupt record that replaces the active configuration.
TEST_CASE("An older, corrupt or unparsable configuration is ignored")
{
    EntryHarness entry;
    entry.adopt(makeRecord(5, "c"));
    entry.adopt(makeRecord(4, "old"));
    REQUIRE(entry.state.config.record.generation.value == 5);
    ConfigRecord damaged = makeRecord(6, "d");
    damaged.text += " ";
    entry.adopt(damaged);
    REQUIRE(entry.state.config.record.generation.value == 5);
    const std::string newer = "[[rank]]\nname = \"a\"\nkey_of_a_later_release = 1\n";
    const ConfigRecord unreadable {
        .generation = { 7 }, .digest = digestHex(newer), .changeId = { "e" }, .text = newer
    };
    entry.adopt(unreadable);
    REQUIRE(entry.all<LogLine>().size() == 1);
    REQUIRE(entry.state.config.record.generation.value == 5);
    entry.adopt(unreadable);
    REQUIRE(entry.all<LogLine>().empty());
    entry.adopt(makeRecord(8, "f"));
    REQUIRE(entry.state.config.record.generation.value == 8);
}

// Guards against a polling load that grows with the number of entries, and no polling after failures.
TEST_CASE("Three entries poll the store and unreachable ones are replaced")
{
    const auto polls = [](EntryHarness& entry) {
        int count = 0;
        for (int step = 0; step < 41; ++step) {
            entry.advance(50);
            for (const StoreRead& read : entry.all<StoreRead>())
                count += read.token.purpose == StorePurpose::ConfigPoll ? 1 : 0;
        }
        return count;
    };
    std::vector<HostId> pollers;
    std::vector<EntryHarness> fleet;
    for (int index = 1; index <= 8; ++index) {
        fleet.emplace_back("e" + std::to_string(index), 8, 0);
        fleet.back().adopt(makeRecord(1, "c"));
        if (polls(fleet.back()) > 0)
            pollers.push_back(fleet.back().state.settings.process.host);
    }
    REQUIRE(pollers.size() == 3);
    for (EntryHarness& entry : fleet)
        for (const HostId& dead : pollers)
            if (dead != entry.state.settings.process.host)
                entry.send(GossipFailed { .peer = dead });
    std::size_t replacements = 0;
    for (EntryHarness& entry : fleet)
        if (std::find(pollers.begin(), pollers.end(), entry.state.settings.process.host) == pollers.end())
            replacements += polls(entry) > 0 ? 1 : 0;
    REQUIRE(replacements == 3);
}

// Guards against an entry that starts while the store is down and never gets a configuration.
TEST_CASE("An entry without a configuration fetches from its peers and polls the store")
{
    EntryHarness entry;
    std::set<HostId> asked;
    int polls = 0;
    for (int step = 0; step < 400; ++step) {
        entry.advance(50);
        for (const FetchConfig& fetch : entry.all<FetchConfig>())
            asked.insert(fetch.peer);
        for (const StoreRead& read : entry.all<StoreRead>()) {
            ++polls;
            entry.send(StoreAnswer { .token = read.token });
        }
    }
    REQUIRE(asked.size() == 2);
    REQUIRE(polls == 10);
}

// Guards against a lost push that is never repaired, and a configuration that is both pushed and fetched.
TEST_CASE("On gossip with different generations the entry that is behind fetches")
{
    EntryHarness entry;
    entry.adopt(makeRecord(5, "c"));
    entry.send(GossipReceived { .message = gossipFrom("e2", 6) });
    REQUIRE(entry.all<FetchConfig>().size() == 1);
    REQUIRE(entry.all<FetchConfig>().front().known.value == 5);
    entry.send(GossipReceived { .message = gossipFrom("e3", 4) });
    REQUIRE(entry.effects.empty());
    entry.send(GossipReceived { .message = gossipFrom("e3", 0) });
    REQUIRE(entry.all<PushConfig>().size() == 1);
}

// Guards against new requests to a leaving host, and a notice that entries relay to each other forever.
TEST_CASE("A leaving notice takes effect at once, is relayed for a limited time and expires")
{
    EntryHarness entry;
    EntryHarness other("e2");
    entry.send(GossipReceived { .message = { .from = { "e3" }, .fromLeaving = true } });
    REQUIRE(isLeaving(entry.state.members, { "e3" }));
    bool shared = false;
    std::int64_t lastSeen = 0;
    for (std::int64_t time = 0; time < 2 * noticeTimeToLive.value; time += 500) {
        entry.advance(500);
        other.advance(500);
        for (const SendGossip& gossip : entry.all<SendGossip>())
            other.send(GossipReceived { .message = gossip.message });
        for (const SendGossip& gossip : other.all<SendGossip>())
            entry.send(GossipReceived { .message = gossip.message });
        shared = shared || isLeaving(other.state.members, { "e3" });
        if (isLeaving(entry.state.members, { "e3" }) || isLeaving(other.state.members, { "e3" }))
            lastSeen = time;
    }
    REQUIRE(shared);
    REQUIRE(lastSeen < noticeTimeToLive.value + 2 * noticeRelayPeriod.value);
    entry.send(GossipReceived { .message = { .from = { "e3" }, .fromLeaving = true } });
    entry.send(GossipReceived { .message = gossipFrom("e3", 1) });
    REQUIRE_FALSE(isLeaving(entry.state.members, { "e3" }));
}

// Guards against callers that are directed to a leaving or distant entry first.
TEST_CASE("Entries are listed by proximity, without leaving ones")
{
    EntryHarness entry;
    MemberList list = makeMembers(5, 0);
    list.members[1].dataCentre = { "p2" };
    list.members[2].region = { "r2" };
    list.members[2].dataCentre = { "p3" };
    list.members[3].state = HostState::Leaving;
    list.version = 2;
    entry.send(MembersUpdated { .list = list });
    entry.send(GossipFailed { .peer = { "e5" } });
    entry.send(OperatorCalled { .call = { .call = 1, .kind = OperatorCallKind::Entries } });
    std::vector<std::string> hosts;
    const nlohmann::json listed = entry.answer();
    for (const nlohmann::json& row : listed["entries"])
        hosts.push_back(row["host"]);
    REQUIRE(hosts == std::vector<std::string> { "e1", "e2", "e3", "e5" });
    REQUIRE(entry.answer()["entries"][0]["address"] == "10.0.0.1:80");
    entry.send(ShutdownRequested {});
    entry.send(OperatorCalled { .call = { .call = 1, .kind = OperatorCallKind::Entries } });
    REQUIRE(entry.answer()["entries"].size() == 3);
}

// Guards against reporting a generation as in force while a host lacks it or is unreachable.
TEST_CASE("Status collects all entries and lists hosts that lack the generation")
{
    EntryHarness entry;
    entry.adopt(makeRecord(5, "c"));
    entry.send(HomeReport { .status = statusOf("a1", 5) });
    entry.send(OperatorCalled { .call = { .call = 1, .kind = OperatorCallKind::Status } });
    const std::vector<QueryEntryStatus> queries = entry.all<QueryEntryStatus>();
    REQUIRE(queries.size() == 2);
    EntryStatus second { .host = { "e2" }, .generation = { 5 }, .agents = { statusOf("a2", 4) } };
    entry.send(EntryStatusReceived { .status = second, .query = queries[0].query });
    REQUIRE(entry.answer().is_null());
    SECTION("all entries answer")
    {
        entry.send(
            EntryStatusReceived { .status = { .host = { "e3" }, .generation = { 5 } }, .query = queries[0].query });
        REQUIRE(entry.answer()["waiting_for"] == nlohmann::json { "a2" });
    }
    SECTION("one entry does not answer")
    {
        entry.advance(statusTimeout.value);
        REQUIRE(entry.answer()["entries"][2]["reachable"] == false);
        REQUIRE(entry.answer()["waiting_for"] == nlohmann::json { "a2", "e3" });
        REQUIRE(entry.answer()["in_force"] == false);
    }
}

// Guards against reporting a generation as in force by an entry that knows no hosts to wait for.
TEST_CASE("Without a membership list no generation is reported as in force")
{
    EntryHarness entry("e1", 0, 0);
    entry.adopt(makeRecord(5, "c"));
    entry.send(OperatorCalled { .call = { .call = 1, .kind = OperatorCallKind::Status } });
    REQUIRE(entry.answer()["in_force"] == false);
    REQUIRE(entry.answer()["waiting_for"] == nlohmann::json { "e1" });
}

// Guards against an agent that reports to no entry after its home entry failed, or that never returns to it.
TEST_CASE("An agent reports to its home entry, and to the next entry while that one is unreachable")
{
    AgentState agent;
    agent.settings.process.host = { "a1" };
    agent.members.list = makeMembers(3, 1);
    const std::vector<HostId> order = rendezvousOrder("a1", liveEntries(agent.members));
    const auto reports = [&](std::int64_t milliseconds) {
        std::vector<HostId> homes;
        for (std::int64_t time = 0; time < milliseconds; time += 50) {
            agent.now += Milliseconds { 50 };
            AgentEffects effects;
            tickFollow(agent, {}, effects);
            for (const AgentEffect& effect : effects)
                if (const auto* report = std::get_if<ReportHome>(&effect))
                    homes.push_back(report->entry);
        }
        return homes;
    };
    REQUIRE(reports(2000) == std::vector<HostId> { order[0] });
    AgentEffects effects;
    applyHomeReportFailed(agent, { .entry = order[0] }, effects);
    REQUIRE(reports(100) == std::vector<HostId> { order[1] });
    REQUIRE(reports(unreachableTimeToLive.value + 2000).back() == order[0]);
    REQUIRE_FALSE(applyConfigReceived(agent, { .record = {}, .from = order[0] }, effects));
    REQUIRE(applyConfigReceived(agent, { .record = makeRecord(3, "c"), .from = order[0] }, effects));
    REQUIRE(reports(50).size() == 1);
    REQUIRE_FALSE(applyConfigReceived(agent, { .record = makeRecord(2, "c"), .from = order[1] }, effects));
}
