#include "answer_end_func.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against answering a stream at its head because its type is missing or spelled otherwise.
TEST_CASE("A stream of events is recognised by its type in any case, or by its route", "[answer-end]")
{
    const auto typed = [](const std::string& type) { return WireHead { .headers = { { "content-TYPE", type } } }; };
    for (const bool expected : { true, false }) {
        CHECK(isEventStream(typed("text/event-stream"), expected));
        CHECK(isEventStream(typed("Text/Event-Stream ; charset=utf-8"), expected));
        CHECK_FALSE(isEventStream(typed("application/json"), expected));
        CHECK_FALSE(isEventStream(typed("text/event-streams"), expected));
        CHECK(isEventStream({}, expected) == expected);
        CHECK(isEventStream(typed(""), expected) == expected);
    }
}

// Guards against an answer on a streaming route that is passed on before its body has arrived.
TEST_CASE("An answer of another type on a route of streams is forwarded once it is whole", "[answer-end]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const auto sent = relay.request("/letters/");
    CHECK(findEffect<SendToUpstream>(sent)->expectsStream);
    const SendId send = findEffect<SendToUpstream>(sent)->send;
    CHECK_FALSE(findEffect<ForwardResponse>(
        relay.event(ResponseStarted { .call = relay.lastCallId(), .send = send, .status = 200, .sealed = true })));
    CHECK(findEffect<ForwardResponse>(relay.event(ResponseEnded { .call = relay.lastCallId(), .send = send })));
}
