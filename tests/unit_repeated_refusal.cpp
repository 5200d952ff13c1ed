#include "call_pool_io.h"
#include "platform_wire_func.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

using namespace hickory;

namespace {

std::string refusal(const std::string& attempt)
{
    return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt
        + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string answer(const std::string& attempt)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Seal: s\r\nContent-Length: 2\r\n\r\nok";
}

/// Faulty server on one kept connection: it refuses the first request, and writes that refusal once more before its
/// answer to the second.
struct RepeatingServer {
    explicit RepeatingServer(asio::io_context& io)
        : acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        this->acceptor.async_accept([this](const std::error_code& code, asio::ip::tcp::socket socket) {
            if (!code)
                this->serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
        });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    void serve(const std::shared_ptr<asio::ip::tcp::socket>& socket)
    {
        auto buffer = std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(
            asio::buffer(*buffer), [this, socket, buffer](const std::error_code& code, std::size_t) {
                if (code)
                    return;
                const bool isFirst = ++this->requests == 1;
                asio::write(*socket, asio::buffer(isFirst ? refusal("a1") : refusal("a1") + answer("a2")));
                this->serve(socket);
            });
    }

    asio::ip::tcp::acceptor acceptor;
    int requests { 0 }; ///< on its only connection
};

/// Takes answers as the relay does: those that echo another attempt are skipped.
struct AttemptSink : CallSink {
    explicit AttemptSink(std::string attemptId)
        : attempt(std::move(attemptId))
    {
    }
    bool accepts(const WireHead& head) override { return platform::matchesAttempt(head, this->attempt); }
    void onHead(WireHead&& received) override { this->head = std::move(received); }
    bool onBody(std::string_view) override { return true; }
    void onEnd(CallEnd how) override { this->end = how; }

    std::string attempt; ///< id of the request
    WireHead head;
    std::optional<CallEnd> end; ///< empty until the call has ended
};

} // namespace

// Guards against a caller that is told that its request did not run, by the refusal of another one.
TEST_CASE("An earlier refusal that is written again on a kept connection refuses no other request", "[call-pool]")
{
    asio::io_context io;
    RepeatingServer server(io);
    CallPool pool(io, {});
    const auto call = [&](const std::string& attempt) {
        auto sink = std::make_shared<AttemptSink>(attempt);
        pool.send({ .address = server.address(),
                      .bytes = "GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + attempt + "\r\n\r\n" },
            sink);
        const Milliseconds until = monotonicNow() + Milliseconds { 5000 };
        while (!sink->end && monotonicNow() < until) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
        }
        return sink;
    };
    CHECK(call("a1")->head.status == 503);
    const auto second = call("a2");
    CHECK(server.requests == 2);
    CHECK(second->end == CallEnd::Complete);
    CHECK(second->head.status == 200);
    CHECK(platform::decodeResponseHead(second->head).sealed);
}
