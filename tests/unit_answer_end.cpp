#include "answer_end_func.h"
#include "probe_io.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>

using namespace hickory;

// Guards against passing on a part of an answer as the whole one.
TEST_CASE("An answer is complete only if its end was seen", "[answer-end]")
{
    using enum AnswerTransfer;
    CHECK(judgeAnswer({ .transfer = Framed }) == AnswerVerdict::Complete);
    CHECK(judgeAnswer({ .transfer = Broken }) == AnswerVerdict::BrokenOff);
    CHECK(judgeAnswer({ .transfer = Broken, .checked = true }) == AnswerVerdict::BrokenOff);
    CHECK(judgeAnswer({ .transfer = Closed }) == AnswerVerdict::Unconfirmed);
    CHECK(judgeAnswer({ .transfer = Closed, .checked = true }) == AnswerVerdict::Complete);
    const auto stream = [](AnswerTransfer transfer, bool hasEvents, bool insideEvent) {
        return judgeAnswer(
            { .transfer = transfer, .stream = true, .hasEvents = hasEvents, .insideEvent = insideEvent });
    };
    CHECK(stream(Framed, true, false) == AnswerVerdict::Complete);
    CHECK(stream(Framed, false, false) == AnswerVerdict::Complete);
    CHECK(stream(Framed, true, true) == AnswerVerdict::BrokenOff);
    CHECK(stream(Closed, true, false) == AnswerVerdict::Unconfirmed);
    CHECK(stream(Closed, true, true) == AnswerVerdict::BrokenOff);
    CHECK(stream(Closed, false, false) == AnswerVerdict::BrokenOff);
    CHECK(stream(Broken, true, false) == AnswerVerdict::BrokenOff);
}

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

TEST_CASE("An answer with neither a length nor chunks is complete only by its connection", "[answer-end]")
{
    CHECK(completeTransfer(200, true, "") == AnswerTransfer::Framed);
    CHECK(completeTransfer(200, false, "Chunked") == AnswerTransfer::Framed);
    CHECK(completeTransfer(204, false, "") == AnswerTransfer::Framed);
    CHECK(completeTransfer(200, false, "") == AnswerTransfer::Closed);
    CHECK(completeTransfer(200, false, "gzip") == AnswerTransfer::Closed);
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

namespace {

/// A relay with two engines, a plain upstream and one stream whose head and seventh event have arrived.
struct ClosedStream {
    explicit ClosedStream(const std::string& route = "/letters/")
    {
        this->relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine"),
            RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
        const auto sent = this->relay.request(route);
        this->upstream = findEffect<SendToUpstream>(sent)->upstream;
        this->send = findEffect<SendToUpstream>(sent)->send;
        const bool stream = route == "/letters/";
        this->relay.event(ResponseStarted {
            .call = this->relay.lastCallId(), .send = this->send, .status = 200, .sealed = true, .stream = stream });
        if (stream)
            this->relay.event(
                StreamProgressed { .call = this->relay.lastCallId(), .send = this->send, .lastEventId = "7" });
    }

    std::vector<RelayEffect> close()
    {
        return this->relay.event(
            ResponseEnded { .call = this->relay.lastCallId(), .send = this->send, .end = SendResult::Unconfirmed });
    }
    std::vector<RelayEffect> probed(ProbeResult result, Milliseconds startedAt)
    {
        return this->relay.event(
            UpstreamProbed { .upstream = this->upstream, .result = result, .startedAt = startedAt });
    }

    RelayFixture relay;
    UpstreamId upstream;
    SendId send;
};

} // namespace

// Guards against streams that end as complete because the process of their engine ended between two events.
TEST_CASE("A stream that ends with its connection is complete only if its engine still runs", "[answer-end]")
{
    ClosedStream stream;
    const auto closed = stream.close();
    CHECK_FALSE(findEffect<FinishResponse>(closed));
    REQUIRE(findEffect<ProbeUpstream>(closed));
    CHECK(findEffect<ProbeUpstream>(closed)->upstream == stream.upstream);
    CHECK(findEffect<ProbeUpstream>(closed)->statusPath == "/status");
    stream.relay.now += Milliseconds { 25 };
    const Milliseconds startedAt = stream.relay.now - Milliseconds { 25 };
    SECTION("complete")
    {
        const auto effects = stream.probed(ProbeResult::Accepted, startedAt);
        CHECK(findEffect<FinishResponse>(effects));
        CHECK(stream.relay.state.requests.empty());
    }
    SECTION("goes on at another engine")
    {
        const auto result = GENERATE(ProbeResult::Refused, ProbeResult::Unreachable);
        const auto effects = stream.probed(result, startedAt);
        CHECK_FALSE(findEffect<FinishResponse>(effects));
        REQUIRE(findEffect<SendToUpstream>(effects));
        CHECK(findEffect<SendToUpstream>(effects)->upstream != stream.upstream);
        CHECK(findEffect<SendToUpstream>(effects)->resumeAfter == "7");
    }
    SECTION("waits for a probe that began after the close")
    {
        const auto effects = stream.probed(ProbeResult::Accepted, startedAt - Milliseconds { 1 });
        CHECK_FALSE(findEffect<FinishResponse>(effects));
        CHECK(stream.relay.state.requests.size() == 1);
    }
    SECTION("outlasts a second in which its engine accepts no connection")
    {
        for (int times = 0; times < 3; ++times) {
            const Milliseconds asked = stream.relay.now;
            stream.relay.now += Milliseconds { 400 };
            const auto effects = stream.probed(ProbeResult::Unreachable, asked);
            CHECK_FALSE(findEffect<SendToUpstream>(effects));
            REQUIRE(findEffect<ProbeUpstream>(effects));
        }
        CHECK(findEffect<FinishResponse>(stream.probed(ProbeResult::Accepted, stream.relay.now)));
    }
    SECTION("outlasts a status request that a busy engine does not answer in time")
    {
        const auto effects = stream.relay.event(UpstreamProbed { .upstream = stream.upstream,
            .result = ProbeResult::Unreachable,
            .startedAt = startedAt,
            .mustAnswer = true });
        CHECK_FALSE(findEffect<SendToUpstream>(effects));
        CHECK(findEffect<FinishResponse>(stream.probed(ProbeResult::Accepted, startedAt)));
    }
    SECTION("goes on at another engine when it stays unreachable")
    {
        std::vector<RelayEffect> effects;
        for (int times = 0; times < 6 && !findEffect<SendToUpstream>(effects); ++times) {
            const Milliseconds asked = stream.relay.now;
            stream.relay.now += Milliseconds { 400 };
            effects = stream.probed(ProbeResult::Unreachable, asked);
        }
        REQUIRE(findEffect<SendToUpstream>(effects));
        CHECK(findEffect<SendToUpstream>(effects)->resumeAfter == "7");
    }
    SECTION("of a caller that left is forgotten")
    {
        stream.relay.event(RelayCallerDisconnected { .call = stream.relay.lastCallId() });
        CHECK_FALSE(findEffect<FinishResponse>(stream.probed(ProbeResult::Accepted, startedAt)));
    }
}

// Guards against a second run, or a part taken for the whole, of a call that may not be repeated.
TEST_CASE("A plain answer that ends with its connection is complete only if its upstream still runs", "[answer-end]")
{
    ClosedStream call("/book/");
    REQUIRE(findEffect<ProbeUpstream>(call.close()));
    SECTION("complete")
    {
        const auto effects = call.probed(ProbeResult::Accepted, call.relay.now);
        CHECK(findEffect<ForwardResponse>(effects));
        CHECK(findEffect<FinishResponse>(effects));
    }
    SECTION("broken off")
    {
        const auto effects = call.probed(ProbeResult::Refused, call.relay.now);
        CHECK_FALSE(findEffect<SendToUpstream>(effects));
        REQUIRE(findEffect<RefuseCall>(effects));
        CHECK(findEffect<RefuseCall>(effects)->status == 502);
    }
}

// Guards against events that reach the caller twice because a second engine begins anew.
TEST_CASE("A stream whose events have no ids does not go on at another engine", "[answer-end]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    const auto sent = relay.request("/letters/");
    const SendId send = findEffect<SendToUpstream>(sent)->send;
    const CallId call = relay.lastCallId();
    const auto progress = [&](const std::string& id) {
        relay.event(StreamProgressed { .call = call, .send = send, .lastEventId = id });
    };
    const auto breakOff
        = [&] { return relay.event(ResponseEnded { .call = call, .send = send, .end = SendResult::Broken }); };
    relay.event(ResponseStarted { .call = call, .send = send, .status = 200, .sealed = true, .stream = true });
    progress("");
    SECTION("broken off")
    {
        const auto effects = breakOff();
        CHECK_FALSE(findEffect<SendToUpstream>(effects));
        CHECK(findEffect<AbortResponse>(effects));
    }
    SECTION("unless one with an id has followed")
    {
        progress("3");
        const auto effects = breakOff();
        REQUIRE(findEffect<SendToUpstream>(effects));
        CHECK(findEffect<SendToUpstream>(effects)->resumeAfter == "3");
    }
}

// Guards against a stream that a second engine's answer of another type ends without its events.
TEST_CASE("A stream cannot be completed by an answer that is no stream", "[answer-end]")
{
    ClosedStream stream;
    const auto resumed = stream.relay.event(
        ResponseEnded { .call = stream.relay.lastCallId(), .send = stream.send, .end = SendResult::Broken });
    REQUIRE(findEffect<SendToUpstream>(resumed));
    const SendId second = findEffect<SendToUpstream>(resumed)->send;
    stream.relay.event(
        ResponseStarted { .call = stream.relay.lastCallId(), .send = second, .status = 200, .sealed = true });
    const auto effects = stream.relay.event(ResponseEnded { .call = stream.relay.lastCallId(), .send = second });
    CHECK_FALSE(findEffect<FinishResponse>(effects));
    CHECK(findEffect<AbortResponse>(effects));
}

// Guards against the text of an error in the middle of a caller's stream.
TEST_CASE("A stream that has begun is neither continued nor completed by an error", "[answer-end]")
{
    const bool sealed = GENERATE(false, true);
    const std::uint16_t status = GENERATE(std::uint16_t { 500 }, std::uint16_t { 503 }, std::uint16_t { 404 });
    ClosedStream stream;
    const auto resumed = stream.relay.event(
        ResponseEnded { .call = stream.relay.lastCallId(), .send = stream.send, .end = SendResult::Broken });
    REQUIRE(findEffect<SendToUpstream>(resumed));
    const SendId second = findEffect<SendToUpstream>(resumed)->send;
    auto effects = stream.relay.event(ResponseStarted {
        .call = stream.relay.lastCallId(), .send = second, .status = status, .sealed = sealed, .stream = true });
    const auto ended = stream.relay.event(ResponseEnded { .call = stream.relay.lastCallId(), .send = second });
    effects.insert(effects.end(), ended.begin(), ended.end());
    CHECK_FALSE(findEffect<FinishResponse>(effects));
    CHECK_FALSE(findEffect<ForwardResponse>(effects));
    CHECK_FALSE(findEffect<RefuseCall>(effects));
    CHECK(findEffect<AbortResponse>(effects));
}

namespace {

/// Listens and ends each connection at once, or keeps it.
struct Listener {
    Listener(asio::io_context& io, bool keeps)
        : acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
        , keeps(keeps)
    {
        this->accept();
    }

    void accept()
    {
        this->acceptor.async_accept([this](const std::error_code& code, asio::ip::tcp::socket socket) {
            if (code)
                return;
            if (this->keeps)
                this->kept.push_back(std::move(socket));
            this->accept();
        });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    asio::ip::tcp::acceptor acceptor;
    bool keeps;
    std::vector<asio::ip::tcp::socket> kept;
};

} // namespace

// Guards against taking a connection that the kernel accepts for an ending process as a sign that it runs.
TEST_CASE("A probe succeeds only if its connection stays open", "[answer-end]")
{
    asio::io_context io;
    const auto probe = [&](const std::string& address) {
        std::optional<ProbeResult> result;
        probeConnection(io, { .address = address, .timeout = { 500 } }, [&](ProbeResult probed) { result = probed; });
        const Milliseconds until = monotonicNow() + Milliseconds { 2000 };
        while (!result && monotonicNow() < until) {
            io.restart();
            io.run_for(std::chrono::milliseconds(5));
        }
        REQUIRE(result);
        return *result;
    };
    auto keeping = std::make_unique<Listener>(io, true);
    const std::string address = keeping->address();
    CHECK(probe(address) == ProbeResult::Accepted);
    keeping.reset();
    CHECK(probe(address) == ProbeResult::Refused);
    Listener ending(io, false);
    CHECK(probe(ending.address()) == ProbeResult::Unreachable);
}

// Guards against a proxy that accepts connections and takes a while to notice that its upstream has ended.
TEST_CASE("A probe that asks for a path is answered by the process itself", "[answer-end]")
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::ip::tcp::socket accepted(io);
    asio::steady_timer timer(io);
    const auto probe = [&](const std::string& answer, Milliseconds closedAfter) {
        accepted = asio::ip::tcp::socket(io);
        acceptor.async_accept(accepted, [&, answer](const std::error_code&) {
            std::error_code ignored;
            asio::write(accepted, asio::buffer(answer), ignored);
            timer.expires_after(std::chrono::milliseconds(closedAfter.value));
            timer.async_wait([&](const std::error_code&) {
                std::error_code alsoIgnored;
                accepted.close(alsoIgnored);
            });
        });
        std::optional<ProbeResult> result;
        probeConnection(io,
            { .address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                .statusPath = "/status",
                .timeout = { 300 } },
            [&](ProbeResult probed) { result = probed; });
        io.restart();
        io.run();
        return result;
    };
    CHECK(probe("", { 60 }) == ProbeResult::Unreachable);
    CHECK(probe("HTTP/1.1 502 Bad Gateway\r\n\r\n", { 60 }) == ProbeResult::Unreachable);
    CHECK(probe("HTTP/1.1 503 Service Unavailable\r\n\r\n", { 60 }) == ProbeResult::Accepted);
    CHECK(probe("", { 1000 }) == ProbeResult::Accepted);
}
