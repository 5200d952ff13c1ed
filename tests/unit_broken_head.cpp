#include "call_pool_io.h"
#include "http_client_io.h"
#include "scripted_server.h"
#include "upstream_io.h"
#include "wire_parser_func.h"

#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace hickory;

// Answers whose server stops inside the head and closes or resets the connection.

namespace {

/// How a server ends its connection.
enum class HeadEnd : std::uint8_t { Close, Reset };

/// @return heads of answers, by the framing of the body and the way in which lines end
std::vector<std::string> heads()
{
    std::vector<std::string> made;
    for (const char* framing : { "Content-Length: 1234\r\n", "Transfer-Encoding: chunked\r\n", "" })
        made.push_back(
            "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n" + std::string(framing) + "Content-Type: text/event-stream\r\n\r\n");
    made.push_back("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n");
    made.push_back("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\nAttempt-Id: a\r\n\r\n");
    made.push_back("HTTP/1.1 200 OK\nContent-Length: 1234\nAttempt-Id: a\n\n");
    made.push_back("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 12");
    return made;
}

/// Records whether an answer was begun or completed.
struct HeadSink : WireSink {
    void onHead(WireHead&& head) override { this->final = this->final || head.status >= 200; }
    void onBody(std::string_view) override { }
    void onComplete() override { this->complete = this->complete || this->final; }

    bool final { false }; ///< a head with a final status arrived
    bool complete { false }; ///< the answer with that head was complete
};

/// Records how a call ended.
struct EndSink : CallSink {
    bool accepts(const WireHead&) override { return true; }
    void onHead(WireHead&&) override { this->begun = true; }
    bool onBody(std::string_view) override { return true; }
    void onEnd(CallEnd how) override { this->end = how; }

    bool begun { false }; ///< a head with a final status arrived
    std::optional<CallEnd> end;
};

/// Server that answers the first requests of each connection whole, and the next with the start of a head.
class HeadServer {
public:
    explicit HeadServer(asio::io_context& io)
        : acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        this->accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    std::string bytes; ///< what comes instead of an answer
    HeadEnd end { HeadEnd::Close };
    int wholeAnswers { 0 }; ///< on each connection, before

private:
    void accept()
    {
        this->acceptor.async_accept([this](const std::error_code& code, asio::ip::tcp::socket socket) {
            if (code)
                return;
            this->serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)), 0);
            this->accept();
        });
    }

    void serve(const std::shared_ptr<asio::ip::tcp::socket>& socket, int answers)
    {
        auto buffer = std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(
            asio::buffer(*buffer), [this, socket, buffer, answers](const std::error_code& code, std::size_t) {
                if (code)
                    return;
                if (answers < this->wholeAnswers) {
                    asio::write(*socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
                    this->serve(socket, answers + 1);
                    return;
                }
                asio::write(*socket, asio::buffer(this->bytes));
                if (this->end == HeadEnd::Reset)
                    socket->set_option(asio::socket_base::linger(true, 0));
                socket->close();
            });
    }

    asio::ip::tcp::acceptor acceptor;
};

/// Sends a request through a pool.
std::shared_ptr<EndSink> sendCall(asio::io_context& io, CallPool& pool, const std::string& address)
{
    auto sink = std::make_shared<EndSink>();
    pool.send({ .address = address, .bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n" }, sink);
    const Milliseconds until = monotonicNow() + Milliseconds { 2000 };
    while (!sink->end && monotonicNow() < until) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(5));
    }
    return sink;
}

} // namespace

// Guards against taking an end of the file inside a head for the end of an answer without a body.
TEST_CASE("A parser completes no answer whose connection ends inside its head", "[broken-head]")
{
    const std::string before = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string& head : heads())
        for (std::size_t length = 0; length < head.size(); ++length)
            for (const bool used : { false, true }) {
                CAPTURE(head, length, used);
                WireParser parser(WireKind::Response, 4096);
                HeadSink earlier;
                if (used)
                    parser.feed(before, earlier);
                HeadSink sink;
                for (std::size_t at = 0; at < length;)
                    at += parser.feed(std::string_view(head).substr(at, length - at), sink);
                parser.finish(sink);
                CHECK_FALSE(sink.final);
                CHECK_FALSE(sink.complete);
            }
}

// Guards against answers with an empty or a short body that callers take for whole ones.
TEST_CASE("A call whose server stops inside the head ends as broken", "[broken-head]")
{
    asio::io_context io;
    HeadServer server(io);
    for (const std::string& head : heads())
        for (const HeadEnd end : { HeadEnd::Close, HeadEnd::Reset })
            for (const int wholeAnswers : { 0, 1 })
                for (std::size_t length = 0; length < head.size(); ++length) {
                    CAPTURE(head, length, wholeAnswers);
                    CallPool pool(io, {});
                    server.bytes = head.substr(0, length);
                    server.end = end;
                    server.wholeAnswers = wholeAnswers;
                    for (int number = 0; number < wholeAnswers; ++number)
                        CHECK(sendCall(io, pool, server.address())->end == CallEnd::Complete);
                    const auto sink = sendCall(io, pool, server.address());
                    CHECK(sink->end == CallEnd::Broken);
                    CHECK_FALSE(sink->begun);
                }
}

// The same for the blocking client.
TEST_CASE("A blocking call whose server stops inside the head fails", "[broken-head]")
{
    for (const std::string& head : heads())
        for (std::size_t length = 0; length < head.size(); ++length) {
            CAPTURE(head, length);
            ScriptedServer server(head.substr(0, length));
            HttpConnection connection("http://" + server.address());
            CHECK_FALSE(connection.send({ .path = "/", .timeout = { 2000 } }));
        }
}

// The same for the upstreams of agents, whose answers are passed on in parts and recorded.
TEST_CASE("A request whose upstream stops inside the head ends as crashed, without a part", "[broken-head]")
{
    for (const std::string& head : heads())
        for (std::size_t length = 0; length < head.size(); length += 3) {
            CAPTURE(head, length);
            ScriptedServer server(head.substr(0, length));
            std::promise<UpstreamEnded> end;
            auto ended = end.get_future();
            UpstreamClient client(
                { .url = "http://" + server.address(), .maxThreads = 1, .onEvent = [&](AgentEventBody event) {
                     if (auto* found = std::get_if<UpstreamEnded>(&event))
                         end.set_value(std::move(*found));
                 } });
            const auto channel = std::make_shared<PartChannel>();
            channel->postPart = [](std::uint32_t, const std::string&, std::uint16_t, const std::string&) {};
            client.start(StartUpstream { .timeout = { 3000 } },
                std::make_shared<RequestPayload>(RequestPayload { .method = "POST", .path = "/" }), channel);
            REQUIRE(ended.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
            const UpstreamEnded result = ended.get();
            CHECK(result.result == UpstreamResult::Crashed);
            CHECK(result.parts == 0);
        }
}
