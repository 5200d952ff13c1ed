#include "platform_wire_func.h"
#include "request_trait_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

WireHead repeatableHead()
{
    return { .method = "POST",
        .target = "/a/b?c=1",
        .headers = { { .name = "Host", .value = "desk.example" }, { .name = "Attempt-Id", .value = "a1" },
            { .name = "Deadline-Ms", .value = "9000" }, { .name = "Authorization", .value = "Bearer k1" } } };
}

RequestTrait traitOf(const WireHead& head, const std::string& body)
{
    return wholeRequestTrait(head.method, platform::decodeRequest(head), body);
}

} // namespace

// Guards against a crashing request that is taken for a new one when its caller repeats it.
TEST_CASE("A repeat of a request has its trait, whatever its attempt id, deadline and position in a stream", "[relay]")
{
    WireHead repeated = repeatableHead();
    repeated.headers.at(0).value = "Desk.Example:8080";
    repeated.headers.at(1).value = "a2";
    repeated.headers.at(2).value = "400";
    repeated.headers.push_back({ .name = "Last-Event-Id", .value = "12" });
    CHECK(traitOf(repeated, "body") == traitOf(repeatableHead(), "body"));
}

// Guards against requests that are refused because another one crashed upstreams.
TEST_CASE("Requests that differ in method, host, target, key, prompt or body have different traits", "[relay]")
{
    const RequestTrait first = traitOf(repeatableHead(), "body");
    CHECK(traitOf(repeatableHead(), "body2") != first);
    CHECK(traitOf(repeatableHead(), "") != first);
    WireHead other = repeatableHead();
    other.method = "PUT";
    CHECK(traitOf(other, "body") != first);
    other = repeatableHead();
    other.target = "/a/b?c=2";
    CHECK(traitOf(other, "body") != first);
    other = repeatableHead();
    other.headers.at(0).value = "other.example";
    CHECK(traitOf(other, "body") != first);
    other = repeatableHead();
    other.headers.at(3).value = "Bearer k2";
    CHECK(traitOf(other, "body") != first);
    other = repeatableHead();
    other.headers.push_back({ .name = "Prefix-Hash", .value = "a1:40,b2:900" });
    CHECK(traitOf(other, "body") != first);
    // Bytes that move from one value into the next.
    other = repeatableHead();
    other.target = "/a/b?c=1k1";
    other.headers.at(3).value = "";
    CHECK(traitOf(other, "body") != first);
    CHECK(traitOf(other, "k1body") != first);
}
