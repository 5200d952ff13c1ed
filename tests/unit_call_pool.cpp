#include "call_pool_io.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <string>

using namespace hickory;

namespace {

/// HTTP server that answers each request with a short body and counts the connections that its peers open and close.
struct FakeHttpServer {
    explicit FakeHttpServer(asio::io_context& io)
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

    asio::ip::tcp::acceptor acceptor;
    int opened { 0 }; ///< connections accepted so far
    int closed { 0 }; ///< connections that peers have closed so far
};

/// Runs the loop until a condition holds or one second has passed.
/// @return whether the condition holds
template <typename Condition> bool runUntil(asio::io_context& io, const Condition& condition)
{
    const Milliseconds deadline = monotonicNow() + Milliseconds { 1000 };
    while (!condition() && monotonicNow() < deadline) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace

// Guards against idle connections to an origin that accepts only 48 of them: when dozens of hosts fetch from it, those
// that keep a connection would lock the others out.
TEST_CASE("A connection that is not kept for reuse is closed after its answer", "[call-pool]")
{
    asio::io_context io;
    FakeHttpServer server(io);
    CallPool pool(io, {});
    int answers = 0;
    const auto fetchOnce = [&](bool keep) {
        pool.fetch({ .address = server.address(), .target = "/", .keep = keep },
            [&](const Result<FetchResponse>& answer) { answers += succeeded(answer) ? 1 : 0; });
        const int expectedAnswers = answers + 1;
        CHECK(runUntil(io, [&] { return answers == expectedAnswers; }));
    };
    SECTION("not kept")
    {
        fetchOnce(false);
        CHECK(runUntil(io, [&] { return server.closed == 1; }));
    }
    SECTION("kept and reused")
    {
        fetchOnce(true);
        fetchOnce(true);
        CHECK(server.opened == 1);
        CHECK(server.closed == 0);
    }
}
