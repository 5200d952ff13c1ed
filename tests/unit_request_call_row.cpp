#include "call_row_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against an answer that is altered in its row because JSON text cannot hold arbitrary bytes.
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

// Guards against a second run, which a damaged row would permit if it were read as absent or cancelled.
TEST_CASE("Decoding a damaged call row fails")
{
    for (const char* value : { "", "[]", "{}", R"({"state":"paused"})", "{\"state\":\"done\",\"answer\":\"?\"}" })
        CHECK_FALSE(decodeCallRow(value));
}
