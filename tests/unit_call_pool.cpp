#include "call_pool_io.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
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

/// How ScriptedServer ends its connections.
enum class ServerEnd : std::uint8_t { Close, Reset };

/// Server that sends the same bytes to each connection once it has read from it, and then ends the connection.
struct ScriptedServer {
    ScriptedServer(asio::io_context& io, std::string bytes, ServerEnd end)
        : acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
        , bytes(std::move(bytes))
        , end(end)
    {
        this->accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    void accept()
    {
        this->acceptor.async_accept([this](const std::error_code& code, asio::ip::tcp::socket accepted) {
            if (code)
                return;
            auto socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
            auto buffer = std::make_shared<std::array<char, 4096>>();
            socket->async_read_some(
                asio::buffer(*buffer), [this, socket, buffer](const std::error_code& readError, std::size_t) {
                    if (readError)
                        return;
                    asio::write(*socket, asio::buffer(this->bytes));
                    if (this->end == ServerEnd::Reset)
                        socket->set_option(asio::socket_base::linger(true, 0));
                    socket->close();
                });
            this->accept();
        });
    }

    asio::ip::tcp::acceptor acceptor;
    std::string bytes; ///< what each connection gets
    ServerEnd end; ///< how each connection ends then
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

// Guards against taking a part of an answer for the whole one, or a whole one without a length for a part.
TEST_CASE(
    "An answer that ends with its connection is complete only if the connection was closed properly", "[call-pool]")
{
    asio::io_context io;
    CallPool pool(io, {});
    const auto fetchFrom = [&](const std::string& bytes, ServerEnd end) {
        ScriptedServer server(io, bytes, end);
        std::optional<Result<FetchResponse>> answer;
        pool.fetch({ .address = server.address(), .target = "/" },
            [&](const Result<FetchResponse>& received) { answer = received; });
        REQUIRE(runUntil(io, [&] { return answer.has_value(); }));
        return *answer;
    };
    const std::string unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole";
    const auto closed = fetchFrom(unframed, ServerEnd::Close);
    REQUIRE(succeeded(closed));
    CHECK(closed.value().body == "whole");
    CHECK_FALSE(fetchFrom(unframed, ServerEnd::Reset));
    CHECK_FALSE(fetchFrom("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole", ServerEnd::Close));
    CHECK_FALSE(fetchFrom("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", ServerEnd::Close));
    CHECK_FALSE(fetchFrom("HTTP/1.1 200 OK\r\nConnection: close\r\n", ServerEnd::Close));
    CHECK_FALSE(fetchFrom("HTTP/1.1 100 Continue\r\n\r\n", ServerEnd::Close));
}
