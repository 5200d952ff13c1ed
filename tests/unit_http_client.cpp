#include "endless_server.h"
#include "http_client_io.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace hickory;

namespace {

/// An EndlessServer with a thread of its own, for a client that blocks.
struct ServerThread {
    ServerThread(const std::string& start, const std::string& unit)
        : server(this->io, start, unit)
        , thread([this] { this->io.run(); })
    {
    }
    ~ServerThread() { this->join(); }

    /// Waits until the peer has closed the connection.
    void join()
    {
        if (this->thread.joinable())
            this->thread.join();
    }

    asio::io_context io;
    EndlessServer server;
    std::thread thread;
};

} // namespace

// Guards against collecting an answer in memory for as long as a server sends it.
TEST_CASE("A blocking call whose answer has no end to its body fails once it exceeds its limit", "[http-client]")
{
    constexpr std::size_t limit = 1U << 20U;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto& [start, unit] : { std::pair<std::string, std::string> { "HTTP/1.1 200 OK\r\n\r\n", "bytes" },
             std::pair<std::string, std::string> { chunked, "5\r\nbytes\r\n" } }) {
        ServerThread peer(start, unit);
        Result<HttpReply> reply { HttpReply {} };
        {
            HttpConnection connection("http://" + peer.server.address());
            reply = connection.send({ .path = "/", .maxAnswerBody = limit, .timeout = { 5000 } });
        }
        peer.join();
        REQUIRE_FALSE(reply);
        CHECK(reply.error().code == make_error_code(ErrorCode::Unavailable));
        CHECK(peer.server.sent < 2 * limit + socketBuffers);
    }
}

// Guards against reading an answer past the time that the call allows: the library's timeouts apply to each read.
TEST_CASE("A blocking call whose answer has no end to its head ends at its deadline", "[http-client]")
{
    for (const auto& [start, unit] : { std::pair<std::string, std::string> { "", "HTTP/1.1 100 Continue\r\n\r\n" },
             std::pair<std::string, std::string> { "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
             std::pair<std::string, std::string> { "HTTP/1.1 200 OK\r\nA: ", "b" } }) {
        ServerThread peer(start, unit);
        const Milliseconds begin = monotonicNow();
        Result<HttpReply> reply { HttpReply {} };
        {
            HttpConnection connection("http://" + peer.server.address());
            reply = connection.send({ .path = "/", .timeout = { 200 } });
        }
        peer.join();
        CHECK_FALSE(reply);
        CHECK(monotonicNow() - begin < Milliseconds { 2000 });
    }
}

// Guards against taking a part of a document for the whole one.
TEST_CASE("A blocking call whose answer has neither a length nor chunks fails", "[http-client]")
{
    ScriptedServer server("HTTP/1.1 200 OK\r\n\r\n{}");
    HttpConnection connection("http://" + server.address());
    const Result<HttpReply> reply = connection.send({ .path = "/", .timeout = { 2000 } });
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == make_error_code(ErrorCode::Unavailable));
}
