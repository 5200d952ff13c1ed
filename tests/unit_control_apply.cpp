#include "unit_control_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;
using namespace hickory::test;

namespace {

/// Performs the entry's store operations on the table, one at a time, until an event causes none.
void answerStoreOperations(EntryHarness& entry, FakeTable& table)
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

/// @return a table whose `config/current` row, at version 9, holds this generation with change id "old"
FakeTable tableWith(std::uint64_t generation)
{
    FakeTable table;
    table.rows[currentConfigKey] = { .version = 9, .value = recordToJson(makeRecord(generation, "old")) };
    return table;
}

/// @return the answer that the entry gets when the platform does not answer: status Unavailable
StoreAnswer lostAnswer(const StoreToken& token) { return { .token = token }; }

} // namespace

// Guards against an accepted change that is not committed, loses the previous generation or is not adopted at once.
TEST_CASE("An accepted change is committed, keeps the previous generation and is adopted by the entry")
{
    EntryHarness entry;
    FakeTable table = tableWith(4);
    entry.adopt(makeRecord(4, "old"));
    entry.apply(4, "mine", configText("next"));
    answerStoreOperations(entry, table);
    REQUIRE(entry.answer()["http"] == 200);
    REQUIRE(entry.answer()["generation"] == 5);
    REQUIRE(entry.state.config.record.generation.value == 5);
    REQUIRE(recordFromJson(table.rows["config/g/4"].value).value().changeId.value == "old");
    REQUIRE(recordFromJson(table.rows[currentConfigKey].value).value().changeId.value == "mine");
    REQUIRE(entry.all<PushConfig>().size() == 2);
}

// Guards against a first change that fails because no row exists yet.
TEST_CASE("The first change is accepted with base generation 0")
{
    EntryHarness entry;
    FakeTable table;
    entry.apply(0, "first", configText("one"));
    answerStoreOperations(entry, table);
    REQUIRE(entry.answer()["generation"] == 1);
    REQUIRE(table.rows.size() == 1);
}

// Guards against two concurrent changes that are both reported as accepted.
TEST_CASE("Of two concurrent changes one gets a conflict with the change id of the other")
{
    EntryHarness first("e1");
    EntryHarness second("e2");
    FakeTable table = tableWith(4);
    first.apply(4, "mine", configText("a"));
    second.apply(4, "yours", configText("b"));
    first.send(table.perform(first.all<StoreRead>().front()));
    second.send(table.perform(second.all<StoreRead>().front()));
    answerStoreOperations(first, table);
    answerStoreOperations(second, table);
    REQUIRE(first.answer()["http"] == 200);
    REQUIRE(second.answer()["http"] == 409);
    REQUIRE(second.answer()["change_id"] == "mine");
    REQUIRE(second.state.config.record.changeId.value == "mine");
}

// Guards against a conflict that names the newest change instead of the one that took the proposed generation.
TEST_CASE("A conflict names the change that took the proposed generation")
{
    EntryHarness entry;
    FakeTable table = tableWith(6);
    table.rows["config/g/5"] = { .version = 1, .value = recordToJson(makeRecord(5, "conflicting")) };
    entry.apply(4, "mine", configText("a"));
    answerStoreOperations(entry, table);
    REQUIRE(entry.answer()["http"] == 409);
    REQUIRE(entry.answer()["change_id"] == "conflicting");
    REQUIRE(entry.answer()["generation"] == 6);
}

// Guards against a blind retry that commits the change twice, and a conflict of a change with itself.
TEST_CASE("After a lost answer to the compare-and-set the outcome is read from the row")
{
    EntryHarness entry;
    FakeTable table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    entry.send(table.perform(entry.all<StoreRead>().front()));
    entry.send(table.perform(entry.all<StoreWrite>().front()));
    const StoreWrite write = entry.all<StoreWrite>().front();
    REQUIRE(write.key == currentConfigKey);

    SECTION("the write was committed")
    {
        table.perform(write);
        entry.send(lostAnswer(write.token));
        answerStoreOperations(entry, table);
        REQUIRE(entry.answer()["http"] == 200);
        REQUIRE(table.rows[currentConfigKey].version == 10);
    }
    SECTION("the write was not committed")
    {
        entry.send(lostAnswer(write.token));
        answerStoreOperations(entry, table);
        REQUIRE(entry.answer()["http"] == 200);
        REQUIRE(table.rows[currentConfigKey].version == 10);
    }
    SECTION("the write was committed between the read and the second compare-and-set")
    {
        entry.send(lostAnswer(write.token));
        entry.send(table.perform(entry.all<StoreRead>().front()));
        table.perform(write);
        answerStoreOperations(entry, table);
        REQUIRE(entry.answer()["http"] == 200);
        REQUIRE(table.rows[currentConfigKey].version == 10);
    }
    SECTION("the write was committed and another change followed")
    {
        table.perform(write);
        table.rows["config/g/5"] = { .version = 1, .value = table.rows[currentConfigKey].value };
        table.rows[currentConfigKey] = { .version = 11, .value = recordToJson(makeRecord(6, "later")) };
        entry.send(lostAnswer(write.token));
        answerStoreOperations(entry, table);
        REQUIRE(entry.answer()["http"] == 200);
        REQUIRE(entry.answer()["generation"] == 5);
        REQUIRE(entry.state.config.record.generation.value == 6);
    }
    SECTION("a peer pushes the committed change before the store answers")
    {
        table.perform(write);
        entry.send(lostAnswer(write.token));
        entry.adopt(recordFromJson(table.rows[currentConfigKey].value).value());
        REQUIRE(entry.answer()["http"] == 200);
    }
}

// Guards against reporting success or failure while the outcome is unknown, and against unpaced reads of a store that
// is down.
TEST_CASE("A write whose outcome cannot be read within the deadline is reported as unknown")
{
    EntryHarness entry;
    FakeTable table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    entry.send(table.perform(entry.all<StoreRead>().front()));
    entry.send(table.perform(entry.all<StoreWrite>().front()));
    entry.send(lostAnswer(entry.all<StoreWrite>().front().token));
    int reads = 0;
    for (int step = 0; step < 400 && entry.answer().is_null(); ++step) {
        for (const StoreRead& read : entry.all<StoreRead>())
            if (read.token.purpose == StorePurpose::ConfigWrite) {
                ++reads;
                entry.send(lostAnswer(read.token));
            }
        entry.advance(50);
    }
    REQUIRE(entry.answer()["http"] == 504);
    REQUIRE(entry.answer()["error"] == "unknown");
    REQUIRE(reads <= 31);
    REQUIRE(entry.state.control.applies.empty());
}

// Guards against a busy loop of reads and writes at a store that answers reads but not writes.
TEST_CASE("Writes without an answer are paced and end at the deadline")
{
    EntryHarness entry;
    FakeTable table = tableWith(4);
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
            entry.send(lostAnswer(current.front().token));
        } else
            entry.advance(50);
    }
    REQUIRE(entry.answer()["http"] == 504);
    REQUIRE(writes <= 32);
}

// Guards against a partly written change and a false "unknown" when the store is down from the start.
TEST_CASE("While the store is down a change is rejected without any write")
{
    EntryHarness entry;
    entry.apply(4, "mine", configText("a"));
    entry.send(lostAnswer(entry.all<StoreRead>().front().token));
    for (int step = 0; step < 60 && entry.answer().is_null(); ++step) {
        REQUIRE(entry.all<StoreWrite>().empty());
        for (const StoreRead& read : entry.all<StoreRead>())
            if (read.token.purpose == StorePurpose::ConfigWrite)
                entry.send(lostAnswer(read.token));
        entry.advance(50);
    }
    REQUIRE(entry.answer()["http"] == 503);
    REQUIRE(entry.answer()["accepted"] == false);
}

// Guards against a change that fails because one answer before its compare-and-set was lost.
TEST_CASE("Operations before the compare-and-set are retried after a lost answer")
{
    EntryHarness entry;
    FakeTable table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    entry.send(lostAnswer(entry.all<StoreRead>().front().token));
    const auto isRetried = [&] {
        const std::vector<StoreRead> reads = entry.all<StoreRead>();
        return !reads.empty() && reads.front().token.purpose == StorePurpose::ConfigWrite;
    };
    for (int step = 0; step < 20 && !isRetried(); ++step)
        entry.advance(50);
    REQUIRE(isRetried());
    entry.send(table.perform(entry.all<StoreRead>().front()));
    const StoreWrite history = entry.all<StoreWrite>().front();
    table.perform(history);
    entry.send(lostAnswer(history.token));
    for (int step = 0; step < 20 && entry.all<StoreWrite>().empty(); ++step)
        entry.advance(50);
    answerStoreOperations(entry, table);
    REQUIRE(entry.answer()["http"] == 200);
}

// Guards against going back to an older generation after the store was restored from a backup.
TEST_CASE("A change is rejected while the store holds an older generation than the active one")
{
    EntryHarness entry;
    FakeTable table = tableWith(4);
    entry.adopt(makeRecord(7, "newer"));
    entry.apply(4, "mine", configText("a"));
    answerStoreOperations(entry, table);
    REQUIRE(entry.answer()["http"] == 503);
    REQUIRE(entry.state.config.record.generation.value == 7);
    REQUIRE(table.rows[currentConfigKey].version == 9);
}

// Guards against a resent change that creates a second generation.
TEST_CASE("A resent change is recognised by its change id")
{
    EntryHarness entry;
    FakeTable table = tableWith(4);
    entry.apply(4, "mine", configText("a"));
    answerStoreOperations(entry, table);
    entry.apply(4, "mine", configText("a"));
    answerStoreOperations(entry, table);
    REQUIRE(entry.answer()["http"] == 200);
    REQUIRE(entry.answer()["generation"] == 5);
    entry.apply(4, "mine", configText("other"));
    answerStoreOperations(entry, table);
    REQUIRE(entry.answer()["http"] == 409);
    REQUIRE(table.rows[currentConfigKey].version == 10);
}

// Guards against an invalid configuration that reaches the store.
TEST_CASE("An invalid configuration is rejected with line, key and reason before the store is read")
{
    EntryHarness entry;
    entry.apply(0, "mine", "[[rank]]\nname = \"a\"\nfloor = 2\n");
    REQUIRE(entry.answer()["http"] == 400);
    REQUIRE(entry.answer()["detail"] == "line 3, key rank[a].floor: 2 is out of range; allowed 0 to 1");
    REQUIRE(entry.all<StoreRead>().empty());
}
