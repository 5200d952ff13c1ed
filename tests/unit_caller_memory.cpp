#include "caller_memory_func.h"
#include "table/caller_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

constexpr Milliseconds now { 100000 };
constexpr Milliseconds longAgo { 90000 };

} // namespace

// Guards against a budget that a sound caller at the smallest entry meets, or that leaves the process no memory.
TEST_CASE("The budget follows the memory and the descriptors of the process", "[caller-memory]")
{
    const CallerBudget small = callerBudget(160, 4100);
    CHECK(small.bytes == 60'000'000);
    // Three bodies of the largest size, twice as large in memory and with a copy that is being sent.
    CHECK(small.bytes - small.smallReserve >= 2U * 2U * 2U * (4U << 20U));
    CHECK(small.connections == 1950);
    CHECK(small.internalConnections == 487);
    CHECK(callerBudget(64, 256).connections + callerBudget(64, 256).internalConnections < 256 - 64);
    CHECK(answerBudget(64) == 6'400'000);
    CHECK(answerBudget(512) == 16U << 20U);
}

// Guards against large bodies that leave no memory for ordinary requests.
TEST_CASE("Only small connections use the reserve", "[caller-memory]")
{
    const auto shared = std::make_shared<CallerMemory>();
    CallerMemory& memory = *shared;
    memory.budget = { .bytes = 1'000'000, .smallReserve = 250'000, .internalReserve = 100'000 };
    HeldForCaller large(shared, false);
    large.set(700'000);
    CHECK(mayHold(memory, 700'000, 50'000, false));
    CHECK_FALSE(mayHold(memory, 700'000, 50'001, false));
    CHECK_FALSE(mayHold(memory, 0, 750'000, false));
    CHECK(mayHold(memory, 0, smallConnection, false));
    HeldForCaller others(shared, false);
    others.set(290'000);
    CHECK(mayHold(memory, 0, 10'000, false));
    CHECK_FALSE(mayHold(memory, 0, 10'001, false));
    CHECK(mayHold(memory, 0, 10'001, true));
    CHECK_FALSE(mayHold(memory, 0, 400'000, true));
}

// Guards against a length that overflows the sum.
TEST_CASE("A length of any size is compared with what is left", "[caller-memory]")
{
    CallerMemory memory { .budget = callerBudget(64, 256) };
    CHECK_FALSE(mayHold(memory, connectionCost, SIZE_MAX - connectionCost, false));
    memory.held = memory.budget.bytes * 2;
    CHECK_FALSE(mayHold(memory, 0, 1, false));
    CHECK_FALSE(mayHold(memory, 0, 1, true));
}

TEST_CASE("Bytes are counted for as long as they are held", "[caller-memory]")
{
    const auto memory = std::make_shared<CallerMemory>();
    memory->budget.connections = 1;
    {
        HeldForCaller held(memory, false);
        held.set(100);
        held.set(40);
        CHECK(memory->held == 40);
        CHECK(held.bytes() == 40);
        CHECK_FALSE(mayOpen(*memory, false));
        CHECK(mayOpen(*memory, true));
    }
    CHECK(memory->held == 0);
    CHECK(mayOpen(*memory, false));
}

// Guards against heads of thousands of short lines, which take many times their length.
TEST_CASE("A head is counted with what its containers have allocated", "[caller-memory]")
{
    WireHead head;
    for (int line = 0; line < 4000; ++line)
        head.headers.push_back({ "a", "" });
    CHECK(headCost(head) >= 4000 * sizeof(WireHeader));
}

// Guards against closing callers that send as fast as they can, or whose request is being served.
TEST_CASE("The connection that holds most without progress is closed first", "[caller-memory]")
{
    std::vector<HoldingConnection> connections {
        { .number = 1, .use = ConnectionUse::Reading, .bytes = 9000, .progressAt = now },
        { .number = 2, .use = ConnectionUse::Waiting, .bytes = 8000, .progressAt = longAgo },
        { .number = 3, .use = ConnectionUse::Reading, .bytes = 5000, .progressAt = now - stalledTime },
        { .number = 4, .use = ConnectionUse::Reading, .bytes = 4000, .progressAt = longAgo },
        { .number = 5, .use = ConnectionUse::Unsent, .bytes = 6000, .progressAt = longAgo },
        { .number = 6, .use = ConnectionUse::Idle, .bytes = 100, .progressAt = now },
    };
    CHECK(connectionsToFree(connections, now).front().number == 5U);
    connections[4].progressAt = now;
    CHECK(connectionsToFree(connections, now).front().number == 3U);
    connections.resize(2);
    CHECK(connectionsToFree(connections, now).empty());
}

TEST_CASE("The connection that has been idle longest makes way for a new one", "[caller-memory]")
{
    std::vector<HoldingConnection> connections {
        { .number = 1, .use = ConnectionUse::Idle, .progressAt = now - Milliseconds { 10 } },
        { .number = 2, .use = ConnectionUse::Idle, .progressAt = now - Milliseconds { 20 } },
        { .number = 3, .use = ConnectionUse::Reading, .progressAt = longAgo },
        { .number = 4, .use = ConnectionUse::Waiting, .progressAt = longAgo },
        { .number = 5, .use = ConnectionUse::Idle, .progressAt = longAgo, .internal = true },
    };
    CHECK(connectionToReplace(connections, false, now) == 2U);
    CHECK(connectionToReplace(connections, true, now) == 5U);
    connections.erase(connections.begin(), connections.begin() + 2);
    CHECK(connectionToReplace(connections, false, now) == 3U);
    connections[0].progressAt = now;
    CHECK_FALSE(connectionToReplace(connections, false, now));
    connections.push_back({ .number = 6, .use = ConnectionUse::Ended, .progressAt = now });
    CHECK(connectionToReplace(connections, false, now) == 6U);
}

// Guards against closing ordinary idle connections for a body that does not fit all the same.
TEST_CASE("Connections are closed only if that suffices", "[caller-memory]")
{
    std::vector<HoldingConnection> connections;
    for (std::uint64_t number = 1; number <= 40; ++number)
        connections.push_back({ .number = number, .bytes = connectionCost, .progressAt = now });
    connections.push_back({ .number = 41, .use = ConnectionUse::Reading, .bytes = 300'000, .progressAt = longAgo });
    const auto order = connectionsToFree(connections, now);
    CHECK(closesNeeded(order, { .bytes = 0 }, maxClosedAtOnce) == 0U);
    CHECK(closesNeeded(order, { .bytes = 300'000 }, maxClosedAtOnce) == 1U);
    CHECK(closesNeeded(order, { .bytes = 300'001 }, maxClosedAtOnce) == 2U);
    CHECK_FALSE(closesNeeded(order, { .bytes = 4'000'000 }, maxClosedAtOnce));
    CHECK_FALSE(closesNeeded(order, { .bytes = 300'001, .large = 300'001 }, maxClosedAtOnce));
    CHECK_FALSE(closesNeeded(order, { .bytes = 300'000 + 16 * connectionCost }, maxClosedAtOnce));
}

// Guards against many small connections that take from large bodies what is not reserved for the small ones.
TEST_CASE("Small connections do not count against the limit of large ones", "[caller-memory]")
{
    const auto memory = std::make_shared<CallerMemory>();
    memory->budget = { .bytes = 1'000'000, .smallReserve = 250'000 };
    HeldForCaller small(memory, false);
    small.set(smallConnection);
    HeldForCaller large(memory, false);
    large.set(700'000);
    CHECK(memory->large == 700'000);
    CHECK(mayHold(*memory, 700'000, 50'000, false));
    CHECK_FALSE(mayHold(*memory, 700'000, 50'001, false));
    large.set(10);
    CHECK(memory->large == 0);
    // One that becomes large counts with all that it holds.
    CHECK(mayHold(*memory, 10, 749'990, false));
    CHECK_FALSE(mayHold(*memory, 10, 749'991, false));
}
