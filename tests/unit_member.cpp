#include "member_func.h"
#include "unit_control_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;
using namespace hickory::test;

// Guards against a parser that reads a field under the wrong name.
TEST_CASE("The membership list is parsed and sorted by host")
{
    const Result<MemberList> list = parseMembers(
        R"({"version":3,"members":[{"host":"b","role":"upstream","kind":"engine","service":"","place":"p","region":"r",)"
        R"("address":"1.2.3.4:5","state":"leaving"},{"host":"a","role":"entry","place":"p","region":"r",)"
        R"("address":"1.2.3.4:6","http":"1.2.3.4:7","state":"live"}]})");
    REQUIRE(list.ok());
    REQUIRE(list.value().version == 3);
    REQUIRE(list.value().members[0].host.value == "a");
    REQUIRE(list.value().members[0].http == "1.2.3.4:7");
    REQUIRE(list.value().members[1].kind == ServiceKind::Engine);
    REQUIRE(list.value().members[1].state == HostState::Leaving);
}

// Guards against a malformed answer that is taken for an empty fleet.
TEST_CASE("A malformed membership list is refused")
{
    const std::string body = GENERATE("", "[]", "{}", R"({"version":-1,"members":[]})", R"({"version":1,"members":{}})",
        R"({"version":1,"members":[{"host":"a"}]})", R"({"version":1,"members":[{"host":1,"role":"entry"}]})",
        R"({"version":1,"members":[7]})",
        R"({"version":1,"members":[{"host":"a","role":"entry","state":"live"},{"host":"a","role":"entry","state":"live"}]})");
    CAPTURE(body);
    REQUIRE_FALSE(parseMembers(body).ok());
}

// Guards against a list emptied by a platform fault: adopting it would mark every host as leaving.
TEST_CASE("A membership list without any entry is ignored")
{
    EntryHarness entry;
    entry.send(MembersUpdated { .list = { .version = 2 } });
    REQUIRE(liveEntries(entry.state.members).size() == 3);
}

// Guards against a host that was replaced under the same name and gets no requests until the old notice expires.
TEST_CASE("A leaving notice ends when the list shows a new address for the host")
{
    EntryHarness entry;
    entry.send(GossipReceived { .message = { .from = { "e2" }, .leaving = { { "a1" } } } });
    REQUIRE(isLeaving(entry.state.members, { "a1" }));
    MemberList list = makeMembers(3, 2);
    list.version = 2;
    entry.send(MembersUpdated { .list = list });
    REQUIRE(isLeaving(entry.state.members, { "a1" }));
    list.members[0].address = "10.0.1.99:1";
    list.version = 3;
    entry.send(MembersUpdated { .list = list });
    REQUIRE_FALSE(isLeaving(entry.state.members, { "a1" }));
}

// Guards against an agent that was restarted in place and gets no requests until its old notice expires, also when
// other entries still pass that notice on.
TEST_CASE("An agent's leaving notice ends with its process")
{
    EntryHarness entry;
    AgentStatus leaving { .host = { "a1" }, .incarnation = { 1 }, .sequence = 2, .leaving = true };
    entry.send(AgentStatusReceived { .status = leaving });
    REQUIRE(isLeaving(entry.state.members, { "a1" }));
    entry.send(AgentDisconnected { .host = { "a1" } });
    REQUIRE_FALSE(isLeaving(entry.state.members, { "a1" }));
    entry.send(GossipReceived { .message = { .from = { "e2" }, .leaving = { { "a1" } } } });
    REQUIRE_FALSE(isLeaving(entry.state.members, { "a1" }));
    SECTION("the same process reconnects")
    {
        entry.send(AgentConnected { .host = { "a1" }, .status = leaving });
        REQUIRE(isLeaving(entry.state.members, { "a1" }));
    }
    SECTION("a new process connects and then leaves")
    {
        entry.send(AgentConnected { .host = { "a1" }, .status = { .host = { "a1" }, .incarnation = { 2 } } });
        REQUIRE_FALSE(isLeaving(entry.state.members, { "a1" }));
        leaving.incarnation = { 2 };
        entry.send(AgentStatusReceived { .status = leaving });
        REQUIRE(isLeaving(entry.state.members, { "a1" }));
    }
}

// Guards against agents that change their home when an unrelated entry joins or leaves.
TEST_CASE("The rendezvous order of two hosts does not depend on the others")
{
    const std::vector<HostId> all = rendezvousOrder("key", { { "a" }, { "b" }, { "c" }, { "d" } });
    std::vector<HostId> fewer = all;
    fewer.erase(fewer.begin() + 1);
    REQUIRE(rendezvousOrder("key", { fewer[2], fewer[0], fewer[1] }) == fewer);
}

// Guards against a total read rate that grows with the fleet.
TEST_CASE("The membership list is read every 2 s, and less often in a large fleet")
{
    const auto readsIn = [](EntryHarness& entry, int milliseconds) {
        std::size_t reads = 0;
        for (int time = 0; time < milliseconds; time += 50) {
            entry.advance(50);
            reads += entry.all<ReadMembers>().size();
        }
        return reads;
    };
    EntryHarness small;
    EntryHarness large("e1", 3, 997);
    REQUIRE(readsIn(small, 20000) == 10);
    REQUIRE(readsIn(large, 20000) == 4);
}
