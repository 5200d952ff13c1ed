#include "call_pool_io.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <string>

using namespace hickory;

namespace {

/// Answers each request on a connection with a short body and notes when its peer closes it.
struct AnsweringServer {
    explicit AnsweringServer(asio::io_context& io)
        : acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        this->accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    void accept()
    {
        this->acceptor.async_accept([this](const std::error_code& code, asio::ip::tcp::socket socket) {
            if (code)
                return;
            ++this->opened;
            this->serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            this->accept();
        });
    }

    void serve(const std::shared_ptr<asio::ip::tcp::socket>& socket)
    {
        auto buffer = std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(
            asio::buffer(*buffer), [this, socket, buffer](const std::error_code& code, std::size_t) {
                if (code) {
                    ++this->closed;
                    return;
                }
                asio::write(*socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
                this->serve(socket);
            });
    }

    asio::ip::tcp::acceptor acceptor; ///< listens
    int opened { 0 }; ///< connections
    int closed { 0 }; ///< by the peer
};

/// Runs the loop until a condition holds or a second has passed.
template <typename Condition> bool runUntil(asio::io_context& io, const Condition& condition)
{
    const Milliseconds until = monotonicNow() + Milliseconds { 1000 };
    while (!condition() && monotonicNow() < until) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace

// Load pattern: dozens of hosts fetch from an origin that takes 48 connections; idle ones locked the others out.
TEST_CASE("a connection that is not to be kept is closed after its answer", "[call-pool]")
{
    asio::io_context io;
    AnsweringServer server(io);
    CallPool pool(io, {});
    int answers = 0;
    const auto ask = [&](bool keep) {
        pool.fetch({ .address = server.address(), .target = "/", .keep = keep },
            [&](const Result<FetchAnswer>& answer) { answers += succeeded(answer) ? 1 : 0; });
        const int wanted = answers + 1;
        CHECK(runUntil(io, [&] { return answers == wanted; }));
    };
    SECTION("closed")
    {
        ask(false);
        CHECK(runUntil(io, [&] { return server.closed == 1; }));
    }
    SECTION("kept and used again otherwise")
    {
        ask(true);
        ask(true);
        CHECK(server.opened == 1);
        CHECK(server.closed == 0);
    }
}
