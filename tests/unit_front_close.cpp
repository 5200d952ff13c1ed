#include "front_io.h"
#include "front_log_func.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace hickory;

namespace {

const std::string plainRequest = "POST /plain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";

/// A server that answers at once, but begins an answer to "/begin" and leaves "/wait" open.
struct FrontRig {
    FrontRig()
    {
        this->server = std::make_unique<FrontServer>(this->io, LinkOptions {},
            FrontServer::Handlers { .onRequest = [this](FrontRequest&& request) { this->onRequest(request); },
                .onCallerDisconnected = [](CallId) {},
                .onConnectionClosed
                = [this](const ClosedConnection& connection) { this->closed.push_back(connection); } });
        this->port = this->server->listen("127.0.0.1:0").value();
    }

    void onRequest(const FrontRequest& request)
    {
        this->lastCall = request.id;
        if (request.head.target == "/begin")
            this->server->begin(request.id, 200, {});
        else if (request.head.target != "/wait")
            this->server->answer(request.id, 200, {}, "done");
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket caller(this->callers);
        caller.connect({ asio::ip::make_address("127.0.0.1"), this->port });
        return caller;
    }

    void run(Milliseconds time = { 20 })
    {
        this->io.restart();
        this->io.run_for(std::chrono::milliseconds(time.value));
    }

    /// @return what the caller gets within a moment, without waiting for the end of the connection
    std::string receive(asio::ip::tcp::socket& caller)
    {
        this->run();
        std::string text;
        std::error_code code;
        caller.non_blocking(true);
        while (!code) {
            std::string part(4096, '\0');
            part.resize(caller.read_some(asio::buffer(part), code));
            text += part;
        }
        caller.non_blocking(false);
        this->lastError = code;
        return text;
    }

    asio::io_context io; ///< of the server
    asio::io_context callers;
    std::unique_ptr<FrontServer> server;
    std::vector<ClosedConnection> closed;
    std::uint16_t port { 0 };
    CallId lastCall;
    std::error_code lastError; ///< how the last receive() ended
};

void send(asio::ip::tcp::socket& caller, const std::string& bytes) { asio::write(caller, asio::buffer(bytes)); }

} // namespace

// Guards against requests that end without an answer and without a trace.
TEST_CASE("A connection that the server ends with something on it is reported with its reason", "[front][front-close]")
{
    FrontRig rig;
    rig.server->setLimits({ .headTimeout = { 100 }, .idleTimeout = { 1000 } });
    auto caller = rig.connect();
    const Milliseconds later = monotonicNow() + Milliseconds { 5000 };

    SECTION("nothing is on it")
    {
        send(caller, plainRequest);
        rig.run();
        rig.server->sweep(later);
        CHECK(rig.closed.empty());
    }
    SECTION("an answer is broken off")
    {
        send(caller, "GET /begin HTTP/1.1\r\nHost: x\r\n\r\n");
        rig.run();
        rig.server->abort(rig.lastCall, "broken");
        REQUIRE(rig.closed.size() == 1);
        CHECK(rig.closed[0].reason == CloseReason::Aborted);
        CHECK(rig.closed[0].detail == "broken");
        CHECK(rig.closed[0].call == rig.lastCall);
    }
    SECTION("a request is not complete in time")
    {
        send(caller, "POST /plain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na");
        rig.run();
        rig.server->sweep(later);
        REQUIRE(rig.closed.size() == 1);
        CHECK(rig.closed[0].reason == CloseReason::RequestTimeout);
        CHECK(rig.closed[0].inRequest);
        CHECK(rig.closed[0].head.target == "/plain");
    }
    SECTION("a request is not valid")
    {
        send(caller, "nonsense\r\n\r\n");
        rig.run();
        REQUIRE(rig.closed.size() == 1);
        CHECK(rig.closed[0].reason == CloseReason::Refused);
    }
    SECTION("bytes follow a request whose answer closes")
    {
        send(caller, "GET /plain HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + plainRequest);
        rig.run();
        REQUIRE(rig.closed.size() == 1);
        CHECK(rig.closed[0].reason == CloseReason::AfterAnswer);
        CHECK(rig.closed[0].unparsed == plainRequest.size());
    }
    SECTION("the process stops")
    {
        send(caller, plainRequest.substr(0, 10));
        rig.run();
        rig.server->closeIdle();
        REQUIRE(rig.closed.size() == 1);
        CHECK(rig.closed[0].reason == CloseReason::Drain);
    }
}

TEST_CASE("The log line of a closed connection tells what was on it", "[front][front-close]")
{
    const LogLine line = closedLogLine(
        { .reason = CloseReason::RequestTimeout, .inRequest = true, .unread = 12, .port = 8080, .age = { 3001 } },
        "abc");
    CHECK(line.event == "connection-closed");
    const std::vector<std::pair<std::string, std::string>> expected { { "reason", "request-timeout" },
        { "request", "abc" }, { "in", "head" }, { "unparsed", "0" }, { "unread", "12" }, { "port", "8080" },
        { "age_ms", "3001" } };
    CHECK(line.fields == expected);
}
