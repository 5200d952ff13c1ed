#include "front_io.h"

#include <catch2/catch.hpp>

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
