#include "upstream_entry_type.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against requests to the row of a crashed process whose address a new process has taken over.
TEST_CASE("currentUpstreams keeps only the latest started process of each address", "[upstream]")
{
    const UpstreamEntry old { .id = { "i-old" }, .address = "10.0.0.1:80", .processStartedAt = 100 };
    const UpstreamEntry fresh { .id = { "i-new" }, .address = "10.0.0.1:80", .processStartedAt = 200 };
    const UpstreamEntry other { .id = { "i-other" }, .address = "10.0.0.2:80", .processStartedAt = 50 };
    const auto current = currentUpstreams({ fresh, old, other });
    REQUIRE(current.size() == 2);
    CHECK(current.at(0).id.value == "i-new");
    CHECK(current.at(1).id.value == "i-other");
}
