#include "table/relay_loop_limits.h"
#include "tcp_link_io.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace hickory;

namespace {

/// A link whose peer is a plain socket.
struct LinkRig {
    LinkRig()
    {
        this->peer.connect(this->acceptor.local_endpoint());
        this->link = std::make_shared<TcpLink>(this->acceptor.accept(), LinkOptions {});
    }
    void start()
    {
        this->link->start([this](std::string_view bytes) { this->read += bytes; }, [](LinkEnd) {});
    }
    /// Ends the link, and forgets it as its owner does.
    /// @param arrived called before the handler lets go of the link, which it holds as a server's connection does
    void lingerUnread(const std::function<void(TcpLink&)>& arrived)
    {
        this->link->lingerUnread([this, arrived, own = this->link] {
            ++this->arrivals;
            this->unreadAtArrival = own->unreadBytes();
            arrived(*own);
        });
    }
    void run()
    {
        for (int turn = 0; turn < 4; ++turn) {
            this->io.restart();
            this->io.run_for(std::chrono::milliseconds(5));
        }
    }
    /// @return whether nothing but the caller of this function held the link
    bool isReleased()
    {
        const std::weak_ptr<TcpLink> weak = std::exchange(this->link, nullptr);
        return weak.expired();
    }

    asio::io_context io;
    asio::ip::tcp::acceptor acceptor { this->io, { asio::ip::make_address("127.0.0.1"), 0 } };
    asio::ip::tcp::socket peer { this->io };
    std::shared_ptr<TcpLink> link;
    std::string read; ///< bytes given to the data handler
    int arrivals { 0 }; ///< calls of the handler of lingerUnread()
    std::size_t unreadAtArrival { 0 };
};

} // namespace

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

// Guards against requests that are read after the end of their connection, and against links that are never released.
TEST_CASE("An ended link leaves unread what arrives and is released by its close", "[tcp-link]")
{
    LinkRig rig;
    const auto close = [](TcpLink& link) { link.close(); };
    const auto reset = [](TcpLink& link) { link.reset(); };
    const std::string bytes = "request";

    SECTION("bytes that come while it waits")
    {
        rig.start();
        rig.run();
        rig.lingerUnread(GENERATE(true, false) ? std::function<void(TcpLink&)>(close) : reset);
        rig.run();
        CHECK(rig.link->isLingering());
        asio::write(rig.peer, asio::buffer(bytes));
        rig.run();
        CHECK(rig.arrivals == 1);
        CHECK(rig.unreadAtArrival == bytes.size());
        CHECK(rig.read.empty());
    }
    SECTION("bytes that came before it waits")
    {
        rig.start();
        rig.run();
        asio::write(rig.peer, asio::buffer(bytes));
        rig.lingerUnread(close);
        rig.run();
        CHECK(rig.arrivals == 1);
        CHECK(rig.unreadAtArrival == bytes.size());
        CHECK(rig.read.empty());
    }
    SECTION("a read that was complete before it")
    {
        asio::write(rig.peer, asio::buffer(bytes));
        rig.start();
        rig.lingerUnread(close);
        rig.run();
        CHECK(rig.read == bytes);
        CHECK(rig.arrivals == 0);
        CHECK(rig.link->isLingering());
        asio::write(rig.peer, asio::buffer(bytes));
        rig.run();
        CHECK(rig.read == bytes);
        CHECK(rig.arrivals == 1);
    }
    SECTION("reading was paused")
    {
        rig.start();
        rig.run();
        rig.link->pauseReading(true);
        asio::write(rig.peer, asio::buffer(bytes));
        rig.run();
        CHECK(rig.read == bytes);
        rig.lingerUnread(close);
        asio::write(rig.peer, asio::buffer(bytes));
        rig.run();
        CHECK(rig.read == bytes);
        CHECK(rig.arrivals == 1);
    }
    SECTION("the peer closes its side")
    {
        rig.start();
        rig.run();
        rig.lingerUnread(close);
        if (GENERATE(true, false))
            rig.run();
        std::error_code code;
        if (GENERATE(true, false))
            rig.peer.set_option(asio::socket_base::linger(true, 0), code); // a reset
        rig.peer.close();
        rig.run();
        CHECK(rig.arrivals == 0);
    }
    SECTION("bytes and the end of the peer's side together")
    {
        rig.start();
        rig.run();
        rig.lingerUnread(close);
        rig.run();
        asio::write(rig.peer, asio::buffer(bytes));
        rig.peer.shutdown(asio::ip::tcp::socket::shutdown_send);
        rig.run();
        CHECK(rig.arrivals == 1);
        CHECK(rig.unreadAtArrival == bytes.size());
    }
    SECTION("a close while it waits")
    {
        rig.start();
        rig.run();
        rig.lingerUnread(close);
        if (GENERATE(true, false))
            rig.run();
        rig.link->close();
        rig.run();
        CHECK(rig.arrivals == 0);
    }
    SECTION("a second call")
    {
        rig.start();
        rig.run();
        rig.lingerUnread(close);
        rig.lingerUnread(reset);
        rig.run();
        asio::write(rig.peer, asio::buffer(bytes));
        rig.run();
        CHECK(rig.arrivals == 1);
    }
    CHECK_FALSE(rig.link->open());
    CHECK(rig.isReleased());
}
