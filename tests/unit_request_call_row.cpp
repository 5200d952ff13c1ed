#include "call_row_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

// JSON text cannot hold arbitrary bytes; an answer with such bytes must not be altered in the row.
TEST_CASE("A call row with arbitrary bytes in its answer is unchanged by encoding and decoding")
{
    const CallRow row { .state = CallRowState::Done,
        .attempt = { .entry = { "entry-1" }, .request = { ~0ULL }, .attempt = { 3 } },
        .incarnation = { 77 },
        .requestDigest = { "ab" },
        .status = 201,
        .contentType = "text/plain",
        .answer = std::string("\xff\x00\"\n", 4) };
    const Result<CallRow> decoded = decodeCallRow(encodeCallRow(row));
    REQUIRE(decoded);
    CHECK(decoded.value().state == row.state);
    CHECK(decoded.value().attempt == row.attempt);
    CHECK(decoded.value().incarnation == row.incarnation);
    CHECK(decoded.value().requestDigest == row.requestDigest);
    CHECK(decoded.value().status == row.status);
    CHECK(decoded.value().contentType == row.contentType);
    CHECK(decoded.value().answer == row.answer);
}

// A damaged row that is read as absent or cancelled would permit a second run.
TEST_CASE("Decoding a damaged call row fails")
{
    for (const char* value : { "", "[]", "{}", R"({"state":"paused"})", "{\"state\":\"done\",\"answer\":\"?\"}" })
        CHECK_FALSE(decodeCallRow(value));
}
