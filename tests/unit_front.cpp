#include "front_io.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

using namespace hickory;

// Guards against a process that stops and spends the rest of its grace period on accepting from a closed socket.
TEST_CASE("A server that closes while a connection is being accepted does not go on accepting", "[front]")
{
    asio::io_context io;
    FrontServer server(io, {}, { .onRequest = [](FrontRequest&&) {}, .onCallerDisconnected = [](CallId) {} });
    const auto port = server.listen("127.0.0.1:0");
    REQUIRE(port);
    const asio::ip::tcp::endpoint endpoint { asio::ip::make_address("127.0.0.1"), port.value() };
    asio::ip::tcp::socket first(io);
    asio::ip::tcp::socket second(io);
    first.connect(endpoint);
    second.connect(endpoint);
    io.run_one(); // the first is accepted; the second at once, and its handler waits
    server.closeIdle();
    io.restart();
    CHECK(io.run_for(std::chrono::milliseconds(20)) < 100);
}

// Guards against requests that end without an answer because they arrive just when a process that stops closes its
// idle connections.
TEST_CASE("A request that has arrived in part or is unread is answered before its connection closes", "[front]")
{
    const bool inPart = GENERATE(true, false);
    asio::io_context io;
    std::unique_ptr<FrontServer> server;
    server = std::make_unique<FrontServer>(io, LinkOptions {},
        FrontServer::Handlers { .onRequest = [&](FrontRequest&& request) { server->answer(request.id, 503, {}, ""); },
            .onCallerDisconnected = [](CallId) {} });
    const auto port = server->listen("127.0.0.1:0");
    REQUIRE(port);
    server->startDrain();
    asio::ip::tcp::socket caller(io);
    caller.connect({ asio::ip::make_address("127.0.0.1"), port.value() });
    const std::string request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";
    const std::size_t first = inPart ? request.size() - 1 : 0;
    asio::write(caller, asio::buffer(request.substr(0, first)));
    io.run_for(std::chrono::milliseconds(20));
    asio::write(caller, asio::buffer(request.substr(first, inPart ? 0 : std::string::npos)));
    server->closeIdle(false);
    asio::write(caller, asio::buffer(inPart ? request.substr(first) : std::string {}));
    io.restart();
    io.run_for(std::chrono::milliseconds(20));
    std::string answer(1000, '\0');
    std::error_code code;
    answer.resize(caller.read_some(asio::buffer(answer), code));
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK_FALSE(server->hasConnections());
}

// Guards against an error in the handling of one request that ends the process, and with it the requests of all others.
TEST_CASE("A request whose handling fails unexpectedly costs its own connection only", "[front][guard]")
{
    asio::io_context io;
    std::unique_ptr<FrontServer> server;
    std::optional<CallId> disconnected;
    server = std::make_unique<FrontServer>(io, LinkOptions {},
        FrontServer::Handlers { .onRequest =
                                    [&](FrontRequest&& request) {
                                        if (request.head.target == "/bad")
                                            throw std::out_of_range("no such route");
                                        server->answer(request.id, 200, {}, "");
                                    },
            .onCallerDisconnected = [&](CallId call) { disconnected = call; } });
    const auto port = server->listen("127.0.0.1:0");
    REQUIRE(port);
    const auto ask = [&](const std::string& target) {
        asio::ip::tcp::socket caller(io);
        caller.connect({ asio::ip::make_address("127.0.0.1"), port.value() });
        asio::write(caller, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n"));
        io.restart();
        io.run_for(std::chrono::milliseconds(20));
        std::string answer(1000, '\0');
        std::error_code code; // the connection was reset
        answer.resize(caller.read_some(asio::buffer(answer), code));
        return answer;
    };
    CHECK(ask("/bad").empty());
    CHECK(disconnected);
    CHECK(ask("/good").starts_with("HTTP/1.1 200"));
}
