#include "relay_fixture.h"
#include "table/relay_limits.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace hickory;

// Guards against a request that failed at one upstream and is ended with 502 because another one is full.
TEST_CASE("An upstream that turns a request away does not use up an attempt", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain"),
        RelayFixture::upstream("p3", "plain") });
    auto effects = relay.request("/read/");
    const auto end = [&](SendResult result) {
        const auto sent = *findEffect<SendToUpstream>(effects);
        effects = relay.event(ResponseEnded { .call = sent.call, .send = sent.send, .end = result });
    };
    const auto turnAway = [&] {
        const auto sent = *findEffect<SendToUpstream>(effects);
        effects = relay.event(
            ResponseStarted { .call = sent.call, .send = sent.send, .status = 429, .notRun = true, .sealed = true });
        if (findEffect<SendToUpstream>(effects) || findEffect<RefuseCall>(effects))
            return;
        const Milliseconds until = relay.now + Milliseconds { 2500 };
        while (relay.now < until && !findEffect<SendToUpstream>(effects)) {
            relay.now += Milliseconds { 20 };
            effects = relay.event(RelayTick {});
        }
    };
    SECTION("after a failure")
    {
        end(SendResult::Broken);
        for (int times = 0; times < 4; ++times) {
            REQUIRE(findEffect<SendToUpstream>(effects));
            turnAway();
        }
        REQUIRE(findEffect<SendToUpstream>(effects));
    }
    SECTION("but it leaves the retry budget to others")
    {
        end(SendResult::Broken);
        const Milliseconds until = relay.now + Milliseconds { 5000 };
        std::size_t sends = 0;
        while (relay.now < until) {
            if (findEffect<SendToUpstream>(effects)) {
                ++sends;
                turnAway();
                continue;
            }
            relay.now += Milliseconds { 20 };
            effects = relay.event(RelayTick {});
        }
        CHECK(sends <= 8);
    }
    SECTION("before a failure")
    {
        turnAway();
        REQUIRE(findEffect<SendToUpstream>(effects));
        end(SendResult::Broken);
        REQUIRE(findEffect<SendToUpstream>(effects));
        end(SendResult::Broken);
        REQUIRE(findEffect<RefuseCall>(effects));
        CHECK(findEffect<RefuseCall>(effects)->status == 502);
    }
    SECTION("but one that only turned it away is not asked again and again")
    {
        turnAway();
        REQUIRE(findEffect<SendToUpstream>(effects));
        turnAway();
        REQUIRE(findEffect<RefuseCall>(effects));
        CHECK(findEffect<RefuseCall>(effects)->status == 503);
    }
    SECTION("and counts against the retry budget")
    {
        end(SendResult::Broken);
        relay.state.options.retryRatio = relay.state.options.retryExtra = 0;
        REQUIRE(findEffect<SendToUpstream>(effects));
        turnAway();
        CHECK_FALSE(findEffect<SendToUpstream>(effects));
        CHECK_FALSE(findEffect<RefuseCall>(effects));
        relay.state.options.retryExtra = 10;
        CHECK(findEffect<SendToUpstream>(relay.event(RelayTick {})));
        std::uint32_t retries = 0;
        for (const RetryWindow::Bucket& bucket : relay.state.services.at({ "plain" }).retries.buckets)
            retries += bucket.retries;
        CHECK(retries == 2);
    }
    SECTION("and it waits while no other one is listed")
    {
        end(SendResult::Broken);
        const auto sent = *findEffect<SendToUpstream>(effects);
        relay.list({ RelayFixture::upstream("p1", "plain") });
        relay.event(
            ResponseStarted { .call = sent.call, .send = sent.send, .status = 429, .notRun = true, .sealed = true });
        relay.now += Milliseconds { 1000 };
        CHECK_FALSE(findEffect<RefuseCall>(relay.event(RelayTick {})));
        relay.confirmConfig();
        CHECK(findEffect<SendToUpstream>(relay.request("/read/")));
        CHECK(findEffect<SendToUpstream>(relay.list({ RelayFixture::upstream("p4", "plain") })));
    }
    const auto& buckets = relay.state.services.at({ "plain" }).retries.buckets;
    CHECK(std::accumulate(buckets.begin(), buckets.end(), 0U, [](std::uint32_t sum, const auto& bucket) {
        return sum + bucket.firstSends;
    }) == relay.lastCall);
}
