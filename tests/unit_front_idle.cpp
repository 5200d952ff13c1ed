#include "front_fixture.h"
#include "front_idle_func.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace hickory;

// Guards against callers that are not told when their connection ends, and send their next request into its end.
TEST_CASE("An answer states how long its connection may be left unused", "[front][front-idle]")
{
    FrontRig rig;
    auto caller = rig.connect();
    const std::string limits = "\r\nKeep-Alive: timeout=12\r\n";

    SECTION("complete and begun answers")
    {
        send(caller, plainRequest);
        CHECK(rig.receive(caller).find(limits) != std::string::npos);
        send(caller, "GET /begin HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(rig.receive(caller).find(limits) != std::string::npos);
    }
    SECTION("a new limit from the next answer on")
    {
        send(caller, plainRequest);
        rig.receive(caller);
        rig.server->setLimits({ .idleTimeout = { 4999 } });
        send(caller, plainRequest);
        CHECK(rig.receive(caller).find("\r\nKeep-Alive: timeout=3\r\n") != std::string::npos);
    }
    SECTION("not where the connection ends with the answer")
    {
        const bool drains = GENERATE(true, false);
        if (drains)
            rig.server->startDrain();
        send(caller, drains ? plainRequest : "nonsense\r\n\r\n");
        const std::string answer = rig.receive(caller);
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(answer.find("Keep-Alive") == std::string::npos);
    }
}

TEST_CASE("The stated time leaves a fifth of the limit for the way of answers and requests", "[front][front-idle]")
{
    CHECK(keepAliveValue({ 15000 }) == "timeout=12");
    CHECK(keepAliveValue({ 1249 }) == "timeout=0");
    CHECK(keepAliveValue({ 0 }) == "timeout=0");
}

// Guards against a configuration that lowers the limit after it was stated at the start of a long answer.
TEST_CASE("A connection stays open for the limit that its answer stated at its start", "[front][front-idle]")
{
    FrontRig rig;
    rig.server->setLimits({ .idleTimeout = { 20000 } });
    auto caller = rig.connect();
    send(caller, "GET /begin HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(rig.receive(caller).find("timeout=16") != std::string::npos);
    rig.server->setLimits({ .idleTimeout = { 5000 } });
    rig.server->finish(rig.lastCall);
    rig.receive(caller);
    rig.server->sweep(monotonicNow() + Milliseconds { 19000 });
    send(caller, plainRequest);
    CHECK(rig.receive(caller).starts_with("HTTP/1.1 200"));
}

// Guards against a caller that reads its answer slowly and whose connection ends before the time that the answer
// states.
TEST_CASE("The idle time begins when the caller's host has the whole answer", "[front][front-idle]")
{
    FrontRig rig;
    rig.server->setLimits({ .idleTimeout = { 1000 } });
    asio::ip::tcp::socket caller(rig.callers);
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(4096));
    caller.connect({ asio::ip::make_address("127.0.0.1"), rig.port });
    send(caller, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    rig.run();
    const Milliseconds start = monotonicNow();
    constexpr Milliseconds slowFor { 5000 };
    for (Milliseconds past { 0 }; past <= slowFor; past += Milliseconds { 500 })
        rig.server->sweep(start + past);
    CHECK(rig.receive(caller).size() > largeAnswer);
    rig.server->sweep(start + slowFor + Milliseconds { 900 });
    send(caller, plainRequest);
    CHECK(rig.receive(caller).ends_with("done"));
    // From here on nothing is on the way.
    rig.server->sweep(monotonicNow());
    rig.server->sweep(monotonicNow() + Milliseconds { 1100 });
    rig.receive(caller);
    CHECK(rig.lastError == asio::error::eof);
}

// Guards against a request that is read and thrown away: its caller can't know that it has not run.
TEST_CASE("A request that crosses the end of an idle connection is not read", "[front][front-idle]")
{
    FrontRig rig;
    auto caller = rig.connect();
    const bool isFirst = GENERATE(true, false);
    rig.run();
    if (!isFirst) {
        send(caller, plainRequest);
        CHECK(rig.receive(caller).ends_with("done"));
        rig.server->sweep(monotonicNow());
        std::this_thread::sleep_for(std::chrono::milliseconds(1100)); // by then it has certainly read its answer
    }
    const CallId before = rig.lastCall;
    if (GENERATE(true, false))
        rig.server->sweep(monotonicNow() + Milliseconds { 60000 });
    else
        rig.server->closeIdle();
    rig.run();
    send(caller, plainRequest);
    rig.run();
    CHECK(rig.lastCall == before);
    REQUIRE(rig.closed.size() == 1);
    CHECK(rig.closed[0].reason == CloseReason::Crossed);
    CHECK(rig.closed[0].unparsed == 0);
    CHECK(rig.closed[0].unread == plainRequest.size());
    CHECK(rig.closed[0].idle.answers == (isFirst ? 0 : 1));
    CHECK_FALSE(rig.server->isLingering());
    std::error_code code;
    asio::write(caller, asio::buffer(plainRequest), code);
    CHECK(code); // a reset
}

TEST_CASE("An ended connection is forgotten when its caller closes it", "[front][front-idle]")
{
    FrontRig rig;
    auto caller = rig.connect();
    rig.run();
    rig.server->sweep(monotonicNow() + Milliseconds { 60000 });
    rig.run();
    REQUIRE(rig.server->isLingering());
    caller.close();
    rig.run();
    rig.server->sweep(monotonicNow());
    CHECK_FALSE(rig.server->isLingering());
    CHECK(rig.closed.empty());
}

// Guards against a request that is read and thrown away: an answer that began before the drain does not announce the
// close, and its caller sends the next request at once.
TEST_CASE("A request right behind an answer that began before the drain is answered", "[front][front-idle]")
{
    FrontRig rig;
    auto caller = rig.connect();
    send(caller, "GET /begin HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(rig.receive(caller).find("Keep-Alive: timeout=12") != std::string::npos);
    rig.server->startDrain();
    rig.server->finish(rig.lastCall);
    rig.server->closeIdle(false);
    rig.receive(caller);
    SECTION("sent at once")
    {
        send(caller, plainRequest);
        const std::string answer = rig.receive(caller);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(rig.closed.empty());
    }
    SECTION("not sent")
    {
        rig.server->sweep(monotonicNow());
        std::this_thread::sleep_for(
            std::chrono::milliseconds(1100)); // by then the caller has certainly read its answer
        rig.server->closeIdle(false);
    }
    CHECK_FALSE(rig.server->hasConnections());
}

// Guards against a reset that takes an answer from a caller which sends its next request before it has read it.
TEST_CASE("A request that crosses the end does not cost its caller the answer before", "[front][front-idle]")
{
    FrontRig rig;
    asio::ip::tcp::socket caller(rig.callers);
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(4096));
    caller.connect({ asio::ip::make_address("127.0.0.1"), rig.port });
    const bool isAcknowledged = GENERATE(true, false);
    send(caller, isAcknowledged ? plainRequest : "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    rig.run();
    // Kernels delay acknowledgements by 40 ms and more; after a second a caller counts as having read what it got.
    std::this_thread::sleep_for(std::chrono::milliseconds(isAcknowledged ? 300 : 1100));
    rig.server->closeIdle();
    send(caller, plainRequest);
    rig.run();
    CHECK(rig.receive(caller).size() > (isAcknowledged ? 0 : largeAnswer));
    CHECK(rig.lastError == asio::error::eof);
}

// Guards against a request that is read and thrown away since its caller had an answer just before.
TEST_CASE("A request that crosses the end right behind an answer is not read", "[front][front-idle]")
{
    FrontRig rig;
    auto caller = rig.connect();
    send(caller, plainRequest);
    CHECK(rig.receive(caller).ends_with("done"));
    std::this_thread::sleep_for(std::chrono::milliseconds(300)); // for an acknowledgement that was delayed
    const CallId before = rig.lastCall;
    const bool isEarly = GENERATE(true, false);
    if (isEarly)
        send(caller, plainRequest); // lies in the kernel when the process stops
    rig.server->closeIdle();
    rig.run();
    if (!isEarly)
        send(caller, plainRequest);
    rig.run();
    CHECK(rig.lastCall == before);
    REQUIRE(rig.closed.size() == 1);
    CHECK(rig.closed[0].reason == (isEarly ? CloseReason::Drain : CloseReason::Crossed));
    CHECK(rig.closed[0].unparsed == 0);
    CHECK(rig.closed[0].unread == plainRequest.size());
    CHECK_FALSE(rig.server->isLingering());
    std::error_code code;
    asio::write(caller, asio::buffer(plainRequest), code);
    CHECK(code); // a reset
}
