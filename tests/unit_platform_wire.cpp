#include "fixed_seed.h"
#include "platform_wire_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace hickory;

namespace {

constexpr std::size_t keptParts = 256; ///< bound on the decoded parts of a prompt

WireHead headWithParts(const std::string& list)
{
    return { .method = "POST",
        .target = "/a",
        .headers = { { .name = "Host", .value = "h" }, { .name = "Prefix-Hash", .value = list } } };
}

std::vector<RequestTrait> decodedParts(const std::string& list)
{
    return platform::decodeRequest(headWithParts(list)).promptParts;
}

/// @return "ID:TOKENS" of a well-formed part
std::string partText(std::uint64_t id)
{
    std::ostringstream text;
    text << std::hex << id << std::dec << ":" << id % 1000;
    return text.str();
}

} // namespace

// Guards against a request's own part that is taken for one that other requests share, and a shared one that is lost.
TEST_CASE("The parts of a prompt but the last are shared and keep their order", "[platform]")
{
    const auto parts = decodedParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    REQUIRE(parts.size() == 2);
    CHECK(parts.at(0) == decodedParts("5c1e07a2:800,1:1").at(0));
    CHECK(parts.at(1) == decodedParts("91bd3f06:410,1:1").at(0));
    CHECK(parts.at(0) != parts.at(1));
    CHECK(decodedParts("e4402b7d:250").empty());
    CHECK(decodedParts("").empty());
    CHECK(platform::decodeRequest({ .method = "GET", .target = "/a" }).promptParts.empty());
    CHECK(decodedParts("1:1,2:1,1:5,3:1") == decodedParts("1:1,2:1,3:1"));
}

// Guards against a crashing part that is not recognised because another caller writes its id differently.
TEST_CASE("Ids of prompt parts that differ in case, leading zeros, tokens or blanks are equal", "[platform]")
{
    const auto expected = decodedParts("ab01:8,1:1");
    REQUIRE(expected.size() == 1);
    CHECK(decodedParts("AB01:8,1:1") == expected);
    CHECK(decodedParts("000aB01:8,1:1") == expected);
    CHECK(decodedParts("ab01:9,1:1") == expected);
    CHECK(decodedParts(" ab01 : 8 , 1:1") == expected);
    CHECK(decodedParts("ab01,1:1") == expected);
    CHECK(decodedParts("ab01:many,1:1") == expected);
    CHECK(decodedParts("0:1,00:1,1:1").size() == 1);
}

// Guards against a malformed entry that hides the parts beside it.
TEST_CASE("A malformed prompt part does not hide the others", "[platform]")
{
    const auto expected = decodedParts("a1:1,b2:2,c3:3");
    REQUIRE(expected.size() == 2);
    CHECK(decodedParts("a1:1,xyz:7,b2:2,c3:3") == expected);
    CHECK(decodedParts(",,a1:1, ,:,0x5:1,-6:1,b2:2,c3:3,, ") == expected);
    CHECK(decodedParts("a1:1,b2:2,xyz") == expected);
    CHECK(decodedParts(std::string("a1:1,\0\xff:9,b2:2,c3:3", 19)) == expected);
    CHECK(decodedParts("a1:1," + std::string(100'000, 'f') + ":1,b2:2,c3:3").size() == 3);
    WireHead split = headWithParts("a1:1");
    split.headers.push_back({ .name = "prefix-hash", .value = "b2:2,c3:3" });
    CHECK(platform::decodeRequest(split).promptParts == expected);
}

// Guards against a request that makes an entry keep any number of parts.
TEST_CASE("A prompt keeps its first 256 shared parts", "[platform]")
{
    std::string list;
    for (std::uint64_t id = 1; id <= 1000; ++id)
        list += partText(id) + ",";
    const auto parts = decodedParts(list);
    REQUIRE(parts.size() == keptParts);
    CHECK(parts.back() == decodedParts(partText(keptParts) + ",0:1").at(0));
}

// Guards against a caller whose time is up and whose request runs for as long as the route allows.
TEST_CASE("A time of 0 or less is the shortest, and no time is no limit", "[platform]")
{
    const auto timeOf = [](const char* value) {
        WireHead head { .method = "GET", .target = "/" };
        if (value)
            head.headers.push_back({ .name = "Deadline-Ms", .value = value });
        return platform::decodeRequest(head).timeout;
    };
    CHECK(timeOf(nullptr) == Milliseconds { 0 });
    CHECK(timeOf("soon") == Milliseconds { 0 });
    CHECK(timeOf("250") == Milliseconds { 250 });
    CHECK(timeOf("0") == Milliseconds { 1 });
    CHECK(timeOf("-5") == Milliseconds { 1 });
}

// Guards against a list of parts that an upstream receives changed or not at all.
TEST_CASE("The list of prompt parts is forwarded unchanged", "[platform]")
{
    const std::string list = "00AB:1, xyz ,,c3:3";
    const std::string text
        = platform::encodeUpstreamRequest(headWithParts(list), "", { .upstream = { "i-1" }, .timeLeft = { 500 } });
    CHECK(text.find("Prefix-Hash: " + list + "\r\n") != std::string::npos);
}

// Guards against bytes of a caller that end an entry.
TEST_CASE("Any bytes as a list of prompt parts are decoded to distinct parts within the bound", "[platform][property]")
{
    test::checkProperty("arbitrary bytes", 61, 2000, [](const std::string& bytes) {
        const auto parts = decodedParts(bytes);
        RC_ASSERT(parts.size() <= keptParts);
        RC_ASSERT(std::set<RequestTrait>(parts.begin(), parts.end()).size() == parts.size());
        RC_ASSERT(parts == decodedParts(bytes));
    });
    test::checkProperty("bytes of the list's alphabet", 62, 2000, [] {
        const auto list = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("01aF:, \t-x")));
        const auto parts = decodedParts(list);
        RC_ASSERT(std::set<RequestTrait>(parts.begin(), parts.end()).size() == parts.size());
    });
}

// Guards against a part that is found or missed depending on what surrounds it.
TEST_CASE("Each well-formed part but the last is found among arbitrary entries", "[platform][property]")
{
    test::checkProperty("parts among noise", 63, 1000, [] {
        const auto ids = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 40));
        std::string list;
        std::vector<RequestTrait> expected;
        for (const std::uint64_t id : ids) {
            std::string noise = *rc::gen::arbitrary<std::string>();
            std::replace(noise.begin(), noise.end(), ',', ';');
            list.append("!").append(noise).append(",").append(partText(id)).append(",");
            const RequestTrait part = decodedParts(partText(id) + ",0:1").at(0);
            if (std::find(expected.begin(), expected.end(), part) == expected.end())
                expected.push_back(part);
        }
        RC_ASSERT(decodedParts(list + "ff:1") == expected);
    });
}
