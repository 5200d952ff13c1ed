#include "fleet_view_func.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against a view that lacks hosts or the newest declared weights, and against one that is sent again unchanged.
TEST_CASE("An agent gets the view of its service once per change", "[fleet]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("10.0.0.2", "engine"), RelayFixture::upstream("10.0.0.1", "engine"),
        RelayFixture::upstream("10.0.0.3", "plain") });
    relay.event(WeightsDeclared { .model = { "model" }, .version = { 3 } });
    const auto view = makeFleetView(relay.state, { "engine" });
    REQUIRE(view);
    CHECK(view->model.value == "model");
    CHECK(view->declared == WeightsVersion { 3 });
    REQUIRE(view->hosts.size() == 2);
    CHECK(view->hosts.front().ip == "10.0.0.1");

    const FleetViewRequest request
        = decodeFleetViewRequest(fleetViewRequestTarget({ .service = { "engine" }, .stamp = 77 }));
    CHECK(request.service.value == "engine");
    CHECK(request.stamp == 77);
    const auto answered = [&](std::uint64_t stamp) {
        return decodeFleetViewResponse(
            Result<FetchResponse>(FetchResponse { .head = { .status = 200 }, .body = encodeFleetView(*view, stamp) }));
    };
    const auto first = answered(0);
    REQUIRE(first);
    REQUIRE(first.value().view);
    CHECK(*first.value().view == *view);
    const auto second = answered(first.value().stamp);
    REQUIRE(second);
    CHECK_FALSE(second.value().view);
    CHECK_FALSE(
        decodeFleetViewResponse(Result<FetchResponse>(FetchResponse { .head = { .status = 200 }, .body = "{" })));
    CHECK_FALSE(decodeFleetViewResponse(Result<FetchResponse>(FetchResponse { .head = { .status = 503 } })));
}

// Guards against an agent that takes an entry without data for an empty service.
TEST_CASE("An entry without a configuration has no fleet view", "[fleet]")
{
    CHECK_FALSE(makeFleetView(makeRelayState({}), { "engine" }));
}
