#include "unit_control_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;
using namespace hickory::test;

namespace {

/// Answers the entry's store operations from the table until it has none left.
void settle(EntryHarness& entry, TableModel& table)
{
    while (true) {
        const std::vector<StoreRead> reads = entry.all<StoreRead>();
        const std::vector<StoreWrite> writes = entry.all<StoreWrite>();
        if (!reads.empty())
            entry.send(table.perform(reads.front()));
        else if (!writes.empty())
            entry.send(table.perform(writes.front()));
        else
            return;
    }
}

TableModel tableWith(std::uint64_t generation)
{
    TableModel table;
    table.rows[currentConfigKey] = { .version = 9, .value = recordToJson(makeRecord(generation, "old")) };
    return table;
}

StoreAnswer lost(const StoreToken& token) { return { .token = token }; }

} // namespace

// Guards against an acceptance that does not commit, does not keep the old generation, or is not in force at once.
TEST_CASE("An accepted text moves the row, writes the history row and is in force at the entry")
{
    EntryHarness entry;
    TableModel table = tableWith(4);
    entry.adopt(makeRecord(4, "old"));
    entry.apply(4, "mine", configText("next"));
    settle(entry, table);
    REQUIRE(entry.answer()["http"] == 200);
    REQUIRE(entry.answer()["generation"] == 5);
    REQUIRE(entry.state.config.record.generation.value == 5);
    REQUIRE(recordFromJson(table.rows["config/g/4"].value).value().changeId.value == "old");
    REQUIRE(recordFromJson(table.rows[currentConfigKey].value).value().changeId.value == "mine");
    REQUIRE(entry.all<PushConfig>().size() == 2);
}

// Guards against a first text that cannot be accepted because there is nothing to compare with.
TEST_CASE("The first text is accepted on generation 0")
{
    EntryHarness entry;
    TableModel table;
    entry.apply(0, "first", configText("one"));
    settle(entry, table);
    REQUIRE(entry.answer()["generation"] == 1);
    REQUIRE(table.rows.size() == 1);
}

// Guards against two operators who both believe that their change was accepted.
TEST_CASE("Of two racing operators one is told the other's change id")
{
    EntryHarness first("e1");
    EntryHarness second("e2");
    TableModel table = tableWith(4);
    first.apply(4, "mine", configText("a"));
    second.apply(4, "yours", configText("b"));
    first.send(table.perform(first.all<StoreRead>().front()));
    second.send(table.perform(second.all<StoreRead>().front()));
    settle(first, table);
    settle(second, table);
    REQUIRE(first.answer()["http"] == 200);
    REQUIRE(second.answer()["http"] == 409);
    REQUIRE(second.answer()["change_id"] == "mine");
    REQUIRE(second.state.config.record.changeId.value == "mine");
}

// Guards against naming the newest change instead of the one that took the generation.
TEST_CASE("An operator who is several generations behind is told who took the next one")
{
    EntryHarness entry;
    TableModel table = tableWith(6);
    table.rows["config/g/5"] = { .version = 1, .value = recordToJson(makeRecord(5, "rival")) };
    entry.apply(4, "mine", configText("a"));
    settle(entry, table);
    REQUIRE(entry.answer()["http"] == 409);
    REQUIRE(entry.answer()["change_id"] == "rival");
    REQUIRE(entry.answer()["generation"] == 6);
}

// Guards against a second generation made by a blind retry, and against telling an operator "conflict" for its own
// change.
TEST_CASE("A lost answer to the write is settled by reading the row")
{
    EntryHarness entry;
    TableModel table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    entry.send(table.perform(entry.all<StoreRead>().front()));
    entry.send(table.perform(entry.all<StoreWrite>().front()));
    const StoreWrite write = entry.all<StoreWrite>().front();
    REQUIRE(write.key == currentConfigKey);

    SECTION("it took effect")
    {
        table.perform(write);
        entry.send(lost(write.token));
        settle(entry, table);
        REQUIRE(entry.answer()["http"] == 200);
        REQUIRE(table.rows[currentConfigKey].version == 10);
    }
    SECTION("it did not take effect")
    {
        entry.send(lost(write.token));
        settle(entry, table);
        REQUIRE(entry.answer()["http"] == 200);
        REQUIRE(table.rows[currentConfigKey].version == 10);
    }
    SECTION("it took effect after the read and before the second compare-and-set")
    {
        entry.send(lost(write.token));
        entry.send(table.perform(entry.all<StoreRead>().front()));
        table.perform(write);
        settle(entry, table);
        REQUIRE(entry.answer()["http"] == 200);
        REQUIRE(table.rows[currentConfigKey].version == 10);
    }
    SECTION("it took effect and another change followed")
    {
        table.perform(write);
        table.rows["config/g/5"] = { .version = 1, .value = table.rows[currentConfigKey].value };
        table.rows[currentConfigKey] = { .version = 11, .value = recordToJson(makeRecord(6, "later")) };
        entry.send(lost(write.token));
        settle(entry, table);
        REQUIRE(entry.answer()["http"] == 200);
        REQUIRE(entry.answer()["generation"] == 5);
        REQUIRE(entry.state.config.record.generation.value == 6);
    }
    SECTION("a peer pushes the change back before the store answers")
    {
        table.perform(write);
        entry.send(lost(write.token));
        entry.adopt(recordFromJson(table.rows[currentConfigKey].value).value());
        REQUIRE(entry.answer()["http"] == 200);
    }
}

// Guards against "accepted" or "refused" where nobody can know, and against hammering a store that is down.
TEST_CASE("A write whose outcome cannot be read within the deadline is reported as unknown")
{
    EntryHarness entry;
    TableModel table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    entry.send(table.perform(entry.all<StoreRead>().front()));
    entry.send(table.perform(entry.all<StoreWrite>().front()));
    entry.send(lost(entry.all<StoreWrite>().front().token));
    int reads = 0;
    for (int step = 0; step < 400 && entry.answer().is_null(); ++step) {
        for (const StoreRead& read : entry.all<StoreRead>())
            if (read.token.purpose == StorePurpose::ConfigWrite) {
                ++reads;
                entry.send(lost(read.token));
            }
        entry.advance(50);
    }
    REQUIRE(entry.answer()["http"] == 504);
    REQUIRE(entry.answer()["error"] == "unknown");
    REQUIRE(reads <= 31);
    REQUIRE(entry.state.control.applies.empty());
}

// Guards against a store that refuses writes but answers reads: the entry would spin between the two.
TEST_CASE("Writes that are refused without an answer are paced and end at the deadline")
{
    EntryHarness entry;
    TableModel table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    int writes = 0;
    for (int step = 0; step < 2000 && entry.answer().is_null(); ++step) {
        const std::vector<StoreRead> reads = entry.all<StoreRead>();
        const std::vector<StoreWrite> current = entry.all<StoreWrite>();
        if (!reads.empty() && reads.front().token.purpose == StorePurpose::ConfigWrite)
            entry.send(table.perform(reads.front()));
        else if (!current.empty() && current.front().key != currentConfigKey)
            entry.send(table.perform(current.front()));
        else if (!current.empty()) {
            ++writes;
            entry.send(lost(current.front().token));
        } else
            entry.advance(50);
    }
    REQUIRE(entry.answer()["http"] == 504);
    REQUIRE(writes <= 32);
}

// Guards against a change that is half made while the store is down.
TEST_CASE("A store that is down before the write leaves everything as it was")
{
    EntryHarness entry;
    entry.apply(4, "mine", configText("a"));
    entry.send(lost(entry.all<StoreRead>().front().token));
    for (int step = 0; step < 60 && entry.answer().is_null(); ++step) {
        REQUIRE(entry.all<StoreWrite>().empty());
        for (const StoreRead& read : entry.all<StoreRead>())
            if (read.token.purpose == StorePurpose::ConfigWrite)
                entry.send(lost(read.token));
        entry.advance(50);
    }
    REQUIRE(entry.answer()["http"] == 503);
    REQUIRE(entry.answer()["accepted"] == false);
}

// Guards against a change that is refused because one answer before its write was lost.
TEST_CASE("A lost answer before the write is asked for again")
{
    EntryHarness entry;
    TableModel table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    entry.send(lost(entry.all<StoreRead>().front().token));
    const auto asksAgain = [&] {
        const std::vector<StoreRead> reads = entry.all<StoreRead>();
        return !reads.empty() && reads.front().token.purpose == StorePurpose::ConfigWrite;
    };
    for (int step = 0; step < 20 && !asksAgain(); ++step)
        entry.advance(50);
    REQUIRE(asksAgain());
    entry.send(table.perform(entry.all<StoreRead>().front()));
    const StoreWrite history = entry.all<StoreWrite>().front();
    table.perform(history);
    entry.send(lost(history.token));
    for (int step = 0; step < 20 && entry.all<StoreWrite>().empty(); ++step)
        entry.advance(50);
    settle(entry, table);
    REQUIRE(entry.answer()["http"] == 200);
}

// Guards against the fleet falling behind a store that was restored from an old copy.
TEST_CASE("A store that holds less than what is in force accepts nothing")
{
    EntryHarness entry;
    TableModel table = tableWith(4);
    entry.adopt(makeRecord(7, "newer"));
    entry.apply(4, "mine", configText("a"));
    settle(entry, table);
    REQUIRE(entry.answer()["http"] == 503);
    REQUIRE(entry.state.config.record.generation.value == 7);
    REQUIRE(table.rows[currentConfigKey].version == 9);
}

// Guards against an operator's resend that makes a second generation.
TEST_CASE("A change that is sent again is recognised by its change id")
{
    EntryHarness entry;
    TableModel table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    settle(entry, table);
    entry.apply(4, "mine", configText("a"));
    settle(entry, table);
    REQUIRE(entry.answer()["http"] == 200);
    REQUIRE(entry.answer()["generation"] == 5);
    entry.apply(4, "mine", configText("other"));
    settle(entry, table);
    REQUIRE(entry.answer()["http"] == 409);
    REQUIRE(table.rows[currentConfigKey].version == 10);
}

// Guards against a bad text that reaches the store.
TEST_CASE("A text with an error is refused with line, key and reason before the store is asked")
{
    EntryHarness entry;
    entry.apply(0, "mine", "[[rank]]\nname = \"a\"\nfloor = 2\n");
    REQUIRE(entry.answer()["http"] == 400);
    REQUIRE(entry.answer()["detail"] == "line 3, key rank[a].floor: 2 is out of range; allowed 0 to 1");
    REQUIRE(entry.all<StoreRead>().empty());
}
