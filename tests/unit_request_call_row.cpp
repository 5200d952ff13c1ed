#include "call_row_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against answers with bytes that JSON cannot hold being damaged in the row.
TEST_CASE("A call row survives encoding with any bytes in the answer")
{
    const CallRow row { .state = CallRowState::Done,
        .attempt = { .entry = { "entry-1" }, .request = { ~0ULL }, .attempt = { 3 } },
        .incarnation = { 77 },
        .bodyDigest = { "ab" },
        .status = 201,
        .contentType = "text/plain",
        .answer = std::string("\xff\x00\"\n", 4) };
    const Result<CallRow> decoded = decodeCallRow(encodeCallRow(row));
    REQUIRE(decoded);
    CHECK(decoded.value().state == row.state);
    CHECK(decoded.value().attempt == row.attempt);
    CHECK(decoded.value().incarnation == row.incarnation);
    CHECK(decoded.value().bodyDigest == row.bodyDigest);
    CHECK(decoded.value().status == row.status);
    CHECK(decoded.value().contentType == row.contentType);
    CHECK(decoded.value().answer == row.answer);
}

// Guards against a damaged row being taken for an absent or cancelled one.
TEST_CASE("A damaged call row is an error")
{
    for (const char* value : { "", "[]", "{}", R"({"state":"paused"})", "{\"state\":\"done\",\"answer\":\"?\"}" })
        CHECK_FALSE(decodeCallRow(value));
}
