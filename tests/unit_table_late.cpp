#include "front_io.h"
#include "platform_table_io.h"
#include "query_func.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace hickory;
using platform::LateAnswer;
using platform::TableChanges;
using platform::TableRow;

namespace {

/// A store whose answers a test writes one by one, and a follower of its table "servers". An answer may be held up
/// while the follower's copy moves on.
struct HeldStore {
    explicit HeldStore(Milliseconds wait = { 5000 }, Milliseconds responseGrace = { 500 })
        : front(this->io, {},
            { .onRequest = [this](FrontRequest&& request) { this->requests.push_back(std::move(request)); },
                .onCallerDisconnected = [](CallId) {} })
        , address("127.0.0.1:" + std::to_string(this->front.listen("127.0.0.1:0").value()))
        , follower(this->io, this->pool,
              { .address = this->address,
                  .table = "servers",
                  .wait = wait,
                  .responseGrace = responseGrace,
                  .retryDelay = { 5 } },
              { .onChange
                  = [this](const auto& rows) { this->changed.insert(this->changed.end(), rows.begin(), rows.end()); },
                  .onConfirmed = [] {},
                  .onLost = [](const Error&) {},
                  .onRegained = [](Milliseconds) {},
                  .onRestored = [](const StoreVersion&, const StoreVersion&) {},
                  .onLate = [this](const LateAnswer& late) { this->late.push_back(late); } })
    {
        this->follower.start();
    }

    /// Waits for the next request of the follower.
    FrontRequest nextRequest()
    {
        const Milliseconds until = monotonicNow() + Milliseconds { 2000 };
        while (this->requests.empty() && monotonicNow() < until) {
            this->io.restart();
            this->io.run_for(std::chrono::milliseconds(5));
        }
        REQUIRE_FALSE(this->requests.empty());
        FrontRequest request = std::move(this->requests.front());
        this->requests.pop_front();
        return request;
    }

    /// @param rows JSON texts made by row() and removal(), separated by commas
    void answer(const FrontRequest& request, const StoreVersion& version, const std::string& rows, bool hasMore = false)
    {
        this->front.answer(request.id, 200, { { "Store-Era", std::to_string(version.era) } },
            R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(version.revision) + R"(,"has_more":)"
                + (hasMore ? "true" : "false") + "}");
    }

    /// Answers the follower's first request, so that it holds a copy.
    /// @return its request for what follows
    FrontRequest read(const StoreVersion& version, const std::string& rows)
    {
        this->answer(this->nextRequest(), version, rows);
        return this->nextRequest();
    }

    bool holds(const std::string& key) const { return this->follower.snapshot().rows.contains(key); }

    asio::io_context io;
    FrontServer front;
    std::string address;
    CallPool pool { this->io, {} };
    std::deque<FrontRequest> requests; ///< not answered yet
    std::vector<TableRow> changed;
    std::vector<LateAnswer> late;
    platform::TableFollower follower;
};

std::string row(const std::string& key, std::uint64_t revision)
{
    return R"({"key":")" + key + R"(","value":"eA==","ver":)" + std::to_string(revision) + "}";
}

std::string removal(const std::string& key, std::uint64_t revision)
{
    return R"({"key":")" + key + R"(","deleted":true,"ver":)" + std::to_string(revision) + "}";
}

/// A peer's changes of a table in which only the named rows exist, all older than the copy that they are sent to.
TableChanges peerChanges(const StoreVersion& version, std::set<std::string> keys)
{
    return { .version = version,
        .eraStart = 1,
        .lastRemovalRevision = version.revision,
        .asOf = { 1 },
        .rows = {},
        .keys = std::move(keys) };
}

} // namespace

// Guards against a follower that never gets a large row over a narrow link: it gave each answer up after the same time
// and asked for all of it again (ratiba-hub-grown, CONFIG).
TEST_CASE("A follower waits longer for an answer each time that one did not come in time", "[platform][table-late]")
{
    HeldStore store({ 50 }, { 50 });
    const FrontRequest first = store.read({ .revision = 3 }, row("a", 3));
    store.answer(first, { .revision = 4 }, row("b", 4));
    // Each answer begins at once and takes 250 ms.
    std::deque<std::pair<Milliseconds, CallId>> answers;
    const Milliseconds until = monotonicNow() + Milliseconds { 3000 };
    while (!store.holds("c") && monotonicNow() < until) {
        store.io.restart();
        store.io.run_for(std::chrono::milliseconds(5));
        for (; !store.requests.empty(); store.requests.pop_front()) {
            const CallId call = store.requests.front().id;
            answers.emplace_back(monotonicNow() + Milliseconds { 250 }, call);
            store.front.begin(call, 200, { { "Store-Era", "0" } });
            store.front.body(call, R"({"rows":[)");
        }
        for (; !answers.empty() && answers.front().first <= monotonicNow(); answers.pop_front()) {
            store.front.body(answers.front().second, row("c", 5) + R"(],"ver":5})");
            store.front.finish(answers.front().second);
        }
    }
    CHECK(store.holds("c"));
}

// Guards against an upstream that comes back for good because an answer from before its removal was held up.
TEST_CASE("A late answer does not bring back a row that a peer's copy removed", "[table-late]")
{
    HeldStore store;
    const FrontRequest held = store.read({ 1, 50 }, row("stays", 40) + "," + row("leaves", 41));
    REQUIRE(store.holds("leaves"));
    store.follower.adopt(peerChanges({ 1, 60 }, { "stays" }));
    REQUIRE_FALSE(store.holds("leaves"));
    store.changed.clear();
    SECTION("when it is older than the copy")
    {
        store.answer(held, { 1, 55 }, row("leaves", 55));
        CHECK(queryNumber(store.nextRequest().head.target, "after_rev") == 60);
        CHECK(store.follower.snapshot().version == StoreVersion { 1, 60 });
        CHECK(store.changed.empty());
    }
    SECTION("when it is as old as the copy")
    {
        store.answer(held, { 1, 60 }, row("leaves", 55) + "," + removal("other", 60));
        store.nextRequest();
        CHECK(store.changed.empty());
    }
    SECTION("when it is newer than the copy but has a row from before the removal")
    {
        store.answer(held, { 1, 70 }, row("leaves", 55) + "," + row("joins", 65));
        CHECK(queryNumber(store.nextRequest().head.target, "after_rev") == 70);
        CHECK(store.holds("joins"));
        CHECK(store.changed.size() == 1);
    }
    CHECK_FALSE(store.holds("leaves"));
    CHECK(store.holds("stays"));
    REQUIRE(store.late.size() == 1);
    CHECK(store.late.front().held == StoreVersion { 1, 60 });
    CHECK(store.late.front().answered.revision >= 55);
}

// Guards against an upstream that is listed again and is taken for the one that was removed.
TEST_CASE("A row that was written again after its removal is taken from a late answer", "[table-late]")
{
    HeldStore store;
    const FrontRequest held = store.read({ 1, 50 }, row("returns", 41));
    store.follower.adopt(peerChanges({ 1, 60 }, {}));
    REQUIRE_FALSE(store.holds("returns"));
    store.answer(held, { 1, 70 }, row("returns", 65));
    store.nextRequest();
    CHECK(store.holds("returns"));
    CHECK(store.late.empty());
}

// Guards against a row that is missing for good: a late answer tells the changes since a revision of an earlier era.
TEST_CASE("An answer that was asked for in an earlier era is dropped", "[table-late]")
{
    HeldStore store;
    const FrontRequest held = store.read({ 1, 90 }, row("old", 80));
    TableChanges restored = peerChanges({ 2, 57 }, { "old" });
    restored.rows = { { .key = "old", .value = "x", .revision = 40 } };
    store.follower.adopt(restored);
    REQUIRE(store.follower.snapshot().version == StoreVersion { 2, 57 });
    // The row "between" has revision 70, which is not after 90.
    store.answer(held, { 2, 95 }, row("after", 95));
    const FrontRequest next = store.nextRequest();
    CHECK(queryNumber(next.head.target, "after_rev") == 57);
    CHECK(store.follower.snapshot().version == StoreVersion { 2, 57 });
    CHECK(store.late.size() == 1);
    store.answer(next, { 2, 96 }, row("between", 70) + "," + row("after", 95));
    store.nextRequest();
    CHECK(store.holds("between"));
    CHECK(store.holds("after"));
}

// Guards against rows that a restored store has lost and that a late answer from before the restore brings back.
TEST_CASE("An answer of an earlier era than the copy's is dropped", "[table-late]")
{
    HeldStore store;
    const FrontRequest held = store.read({ 1, 90 }, row("old", 80));
    TableChanges restored = peerChanges({ 2, 57 }, { "old" });
    restored.rows = { { .key = "old", .value = "x", .revision = 40 } };
    store.follower.adopt(restored);
    store.answer(held, { 1, 95 }, row("lost", 95));
    CHECK(queryNumber(store.nextRequest().head.target, "after_rev") == 57);
    CHECK_FALSE(store.holds("lost"));
    CHECK(store.follower.snapshot().version == StoreVersion { 2, 57 });
    CHECK(store.late.size() == 1);
}

// Guards against reading a whole table again because the store no longer has what a peer has told meanwhile.
TEST_CASE("Late word that the history is gone does not repeat the read of a table", "[table-late]")
{
    HeldStore store;
    const FrontRequest held = store.read({ 1, 50 }, row("stays", 40));
    const bool isLate = GENERATE(false, true);
    if (isLate)
        store.follower.adopt(peerChanges({ 1, 60 }, { "stays" }));
    store.front.answer(held.id, 410, {}, "");
    const std::string target = store.nextRequest().head.target;
    CHECK(target.starts_with(isLate ? "/api/rows-feed" : "/api/rows-get"));
    CHECK(store.late.size() == (isLate ? 1 : 0));
}

// Guards against a peer's answer that was computed before the copy moved on.
TEST_CASE("An older copy of a peer does not bring back a removed row", "[table-late]")
{
    HeldStore store;
    store.read({ 1, 50 }, row("stays", 40) + "," + row("leaves", 41));
    store.follower.adopt(peerChanges({ 1, 60 }, { "stays" }));
    TableChanges older = peerChanges({ 1, 55 }, { "leaves", "stays" });
    older.rows = { { .key = "leaves", .value = "x", .revision = 55 } };
    store.follower.adopt(older);
    CHECK_FALSE(store.holds("leaves"));
    CHECK(store.late.size() == 1);
    older.version = { 1, 70 };
    store.follower.adopt(older);
    CHECK_FALSE(store.holds("leaves"));
}

// Guards against a row that stays for good because it was removed after its page of a table was read.
TEST_CASE("A row that is removed between two pages is removed from the copy", "[table-late]")
{
    HeldStore store;
    const bool isRemoved = GENERATE(true, false);
    store.answer(store.nextRequest(), { 1, 50 }, row("a", 40) + "," + row("b", 41), true);
    const FrontRequest second = store.nextRequest();
    REQUIRE(second.head.target.find("from=b") != std::string::npos);
    // By now the store has removed or changed the row "a".
    store.answer(second, { 1, 60 }, row("c", 55));
    const FrontRequest changes = store.nextRequest();
    CHECK(queryNumber(changes.head.target, "after_rev") == 50);
    store.answer(changes, { 1, 60 }, (isRemoved ? removal("a", 52) : row("a", 52)) + "," + row("c", 55));
    store.nextRequest();
    CHECK(store.holds("a") != isRemoved);
    CHECK((isRemoved || store.follower.snapshot().rows.at("a").revision == 52));
    CHECK(store.holds("b"));
    CHECK(store.holds("c"));
    CHECK(store.follower.snapshot().version == StoreVersion { 1, 60 });
    CHECK(store.late.empty());
}

// Guards against pages that were read before a peer's copy arrived and replace it.
TEST_CASE("Pages read before a peer's copy arrived do not replace it", "[table-late]")
{
    HeldStore store;
    store.answer(store.nextRequest(), { 1, 50 }, row("leaves", 40) + "," + row("stays", 41), true);
    const FrontRequest second = store.nextRequest();
    TableChanges copy = peerChanges({ 1, 55 }, { "stays" });
    copy.rows = { { .key = "stays", .value = "x", .revision = 41 } };
    store.follower.adopt(copy);
    store.answer(second, { 1, 60 }, row("t", 57));
    const FrontRequest next = store.nextRequest();
    CHECK(next.head.target.starts_with("/api/rows-feed"));
    CHECK(queryNumber(next.head.target, "after_rev") == 55);
    CHECK_FALSE(store.holds("leaves"));
    CHECK(store.late.size() == 1);
}

// Guards against a copy that looks complete and current although nothing was ever read: weights that are read after it
// would count as declared only then.
TEST_CASE("The copy of a peer that has not read the table is not taken for an empty table", "[table-late]")
{
    HeldStore store;
    const FrontRequest read = store.nextRequest();
    store.follower.adopt({ .version = {}, .asOf = monotonicNow() });
    CHECK(store.follower.snapshot().asOf == Milliseconds {});
    CHECK(store.follower.unchangedUntil() == Milliseconds {});
    store.answer(read, { 1, 50 }, row("a", 40));
    store.nextRequest();
    CHECK(store.holds("a"));
}
