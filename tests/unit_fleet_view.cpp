#include "fleet_view_func.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

TEST_CASE("agents get the hosts of their service and the newest declared weights, once", "[fleet]")
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

    const FleetQuestion question = decodeFleetQuestion(fleetQuestionTarget({ .service = { "engine" }, .stamp = 77 }));
    CHECK(question.service.value == "engine");
    CHECK(question.stamp == 77);
    const auto answered = [&](std::uint64_t stamp) {
        return decodeFleetAnswer(
            Result<FetchAnswer>(FetchAnswer { .head = { .status = 200 }, .body = encodeFleetView(*view, stamp) }));
    };
    const auto first = answered(0);
    REQUIRE(first);
    REQUIRE(first.value().view);
    CHECK(*first.value().view == *view);
    const auto second = answered(first.value().stamp);
    REQUIRE(second);
    CHECK_FALSE(second.value().view);
    CHECK_FALSE(decodeFleetAnswer(Result<FetchAnswer>(FetchAnswer { .head = { .status = 200 }, .body = "{" })));
    CHECK_FALSE(decodeFleetAnswer(Result<FetchAnswer>(FetchAnswer { .head = { .status = 503 } })));
}

TEST_CASE("an entry without a configuration has no view of the fleet", "[fleet]")
{
    CHECK_FALSE(makeFleetView(makeRelayState({}), { "engine" }));
}
