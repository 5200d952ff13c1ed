#include "request_table_io.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

constexpr Attempt firstAttempt { 1 };
constexpr Attempt secondAttempt { 2 };

} // namespace

// Guards against an answer that mixes parts of an abandoned attempt with those of the next attempt.
TEST_CASE("Parts of an earlier attempt are dropped")
{
    RequestTable table;
    const auto pending = table.add({ .body = "question" });
    REQUIRE(table.openAttempt(pending->request, firstAttempt));
    REQUIRE(table.takePart(pending->request, firstAttempt, 0, "a", 200, "text/plain") == PartResult::First);
    REQUIRE(table.closeAttempt(pending->request, firstAttempt) == 1);
    REQUIRE(table.takePart(pending->request, firstAttempt, 1, "late", 200, "text/plain") == PartResult::Dropped);
    REQUIRE(table.openAttempt(pending->request, secondAttempt));
    REQUIRE(table.takePart(pending->request, firstAttempt, 1, "late", 200, "text/plain") == PartResult::Dropped);
    REQUIRE(table.takePart(pending->request, secondAttempt, 1, "b", 200, "text/plain") == PartResult::Taken);
    REQUIRE(pending->parts == std::deque<std::string> { "a", "b" });
}

// Guards against duplicated and reordered parts in an answer.
TEST_CASE("Parts are accepted once and in order")
{
    RequestTable table;
    const auto pending = table.add({});
    table.openAttempt(pending->request, firstAttempt);
    REQUIRE(table.takePart(pending->request, firstAttempt, 1, "b", 200, "") == PartResult::Dropped);
    REQUIRE(table.takePart(pending->request, firstAttempt, 0, "a", 200, "") == PartResult::First);
    REQUIRE(table.takePart(pending->request, firstAttempt, 0, "a", 200, "") == PartResult::Dropped);
    REQUIRE(pending->parts.size() == 1);
}

// Guards against an answer that ends twice, and against parts after the end.
TEST_CASE("Only the first end of a request counts and no part is accepted after it")
{
    RequestTable table;
    const auto pending = table.add({});
    table.openAttempt(pending->request, firstAttempt);
    table.finish(pending->request, AbortRequest { .request = pending->request, .reason = "upstream-lost" });
    table.finish(pending->request, FinishRequest { .request = pending->request });
    REQUIRE(std::holds_alternative<AbortRequest>(*pending->end));
    REQUIRE(table.takePart(pending->request, firstAttempt, 0, "late", 200, "") == PartResult::Dropped);
}

// Guards against unbounded buffering of the answer to a slow caller.
TEST_CASE("Parts are refused while the buffer of a slow caller is full")
{
    RequestTable table;
    const auto pending = table.add({});
    table.openAttempt(pending->request, firstAttempt);
    const std::string part(100 * 1024, 'x');
    std::uint32_t sequence = 0;
    while (table.takePart(pending->request, firstAttempt, sequence, part, 200, "") != PartResult::Full) {
        ++sequence;
        REQUIRE(sequence < 10);
    }
    REQUIRE(pending->bufferedBytes <= 4 * part.size());
}

// Guards against an answer that ends after the parts of a lost attempt and is framed as whole.
TEST_CASE("A recorded answer continues after the bytes that the caller has")
{
    RequestTable table;
    const auto pending = table.add({});
    table.openAttempt(pending->request, firstAttempt);
    REQUIRE(table.takePart(pending->request, firstAttempt, 0, "ab", 200, "") == PartResult::First);
    REQUIRE(table.takePart(pending->request, firstAttempt, 1, "c", 200, "") == PartResult::Taken);
    REQUIRE(table.closeAttempt(pending->request, firstAttempt) == 2);
    table.openAttempt(pending->request, secondAttempt);
    REQUIRE(table.takePart(pending->request, secondAttempt, 0, "abcdef", 200, "") == PartResult::Taken);
    REQUIRE(table.takePart(pending->request, secondAttempt, 0, "abcdef", 200, "") == PartResult::Dropped);
    REQUIRE(pending->parts == std::deque<std::string> { "ab", "c", "def" });
}
