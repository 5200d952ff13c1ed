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
        return decodeFleetViewResponse(Result<FetchResponse>(FetchResponse { .head = { .status = 200 },
                                           .body = encodeFleetView(*view, Milliseconds { 40 }, stamp) }),
            { 5000 });
    };
    const auto first = answered(0);
    REQUIRE(first);
    REQUIRE(first.value().view);
    CHECK(*first.value().view == *view);
    const auto second = answered(first.value().stamp);
    REQUIRE(second);
    CHECK_FALSE(second.value().view);
    CHECK_FALSE(decodeFleetViewResponse(
        Result<FetchResponse>(FetchResponse { .head = { .status = 200 }, .body = "{" }), { 5000 }));
    CHECK_FALSE(decodeFleetViewResponse(Result<FetchResponse>(FetchResponse { .head = { .status = 503 } }), { 5000 }));
}

// Guards against an agent that counts the time allowed for new weights from when it learned of them, and against an
// age that counts as a change of the view.
TEST_CASE("The fleet view's answer tells when the weights may have been declared", "[fleet]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("10.0.0.1", "engine") });
    const auto answer = [&](std::uint64_t stamp) {
        const auto view = makeFleetView(relay.state, { "engine" });
        REQUIRE(view);
        std::optional<Milliseconds> unseenFor;
        if (const auto notBefore = declaredNotBefore(relay.state, *view))
            unseenFor = relay.now - *notBefore;
        const auto read = decodeFleetViewResponse(Result<FetchResponse>(FetchResponse { .head = { .status = 200 },
                                                      .body = encodeFleetView(*view, unseenFor, stamp) }),
            { 5000 });
        REQUIRE(read);
        return read.value();
    };
    relay.event(WeightsDeclared { .model = { "model" }, .version = { 2 } });
    CHECK_FALSE(answer(0).declaredNotBefore);
    relay.event(WeightsDeclared {
        .model = { "model" }, .version = { 3 }, .notBefore = relay.now - Milliseconds { 3000 }, .source = "store" });
    const FleetViewResponse first = answer(0);
    CHECK(first.declaredNotBefore == Milliseconds { 2000 });
    relay.now += Milliseconds { 100 };
    const FleetViewResponse later = answer(first.stamp);
    CHECK(later.stamp == first.stamp);
    CHECK_FALSE(later.view);
}

// Guards against an agent that takes an entry without data for an empty service.
TEST_CASE("An entry without a configuration has no fleet view", "[fleet]")
{
    CHECK_FALSE(makeFleetView(makeRelayState({}), { "engine" }));
}
