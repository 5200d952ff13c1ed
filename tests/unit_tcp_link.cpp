#include "table/relay_loop_limits.h"
#include "tcp_link_io.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace hickory;

// Guards against taking a reset connection for a closed one: the kernel reports a reset only once, to a write if that
// comes first, and then the end of the file to reads.
TEST_CASE("A reset that a write detects first is not reported as a proper close", "[tcp-link]")
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::ip::tcp::socket client(io);
    client.connect(acceptor.local_endpoint());
    asio::ip::tcp::socket server = acceptor.accept();
    const auto link = std::make_shared<TcpLink>(std::move(client), LinkOptions {});
    std::optional<LinkEnd> end;
    link->start([](std::string_view) {}, [&](LinkEnd how) { end = how; });
    server.set_option(asio::socket_base::linger(true, 0));
    server.close();
    asio::post(io, [&] { link->write("x"); });
    for (int turn = 0; turn < 100 && !end; ++turn) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(end);
    CHECK(*end == LinkEnd::Broken);
    link->close();
}

// Guards against answers that are cut because their caller reads nothing for some seconds: the kernel counts the time
// in which the peer's buffer is full as well.
TEST_CASE("A caller that reads nothing for some seconds keeps its connection", "[tcp-link]")
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::ip::tcp::socket caller(io);
    caller.connect(acceptor.local_endpoint());
    const auto link = std::make_shared<TcpLink>(acceptor.accept(), callerLinkOptions);
    std::optional<LinkEnd> end;
    link->start([](std::string_view) {}, [&](LinkEnd how) { end = how; });
    link->write(std::string(32U << 20U, 'x')); // more than the kernel's buffers hold
    REQUIRE(link->pending() > 0);
    io.run_for(std::chrono::milliseconds(4500));
    CHECK_FALSE(end);
    link->close();
}
