#include "call_pool_io.h"
#include "endless_server.h"
#include "table/answer_limits.h"
#include "table/relay_loop_limits.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

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

/// Sink of a call that accepts all answers or none and keeps only their size.
struct CountingSink : CallSink {
    explicit CountingSink(bool accepting)
        : accepting(accepting)
    {
    }

    bool accepts(const WireHead&) override { return this->accepting; }
    void onHead(WireHead&&) override { }
    bool onBody(std::string_view received) override
    {
        this->bytes += received.size();
        return true;
    }
    void onEnd(CallEnd how) override { this->end = how; }

    bool accepting; ///< answers belong to the call
    std::size_t bytes { 0 }; ///< received of the body
    std::optional<CallEnd> end; ///< how the call ended, empty before
};

constexpr const char* shortAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* shortRequest = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

/// How a peer ends a connection.
struct PeerEnd {
    const char* what;
    const char* bytes; ///< sent before the end
    bool reset;
};

/// Server whose connections the test handles itself, outside the loop of the pool.
struct ManualServer {
    ManualServer()
        : acceptor(this->io, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        this->acceptor.non_blocking(true);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    /// Accepts the next connection, if one waits and the one before has ended.
    /// @return whether a connection is open
    bool accept()
    {
        std::error_code code;
        if (!this->socket.is_open()) {
            this->acceptor.accept(this->socket, code);
            this->received = 0;
        }
        return this->socket.is_open();
    }

    /// Reads what has arrived.
    /// @return whether a request has arrived since the last answer
    bool read()
    {
        std::error_code code;
        std::array<char, 4096> buffer {};
        if (this->socket.available(code) > 0)
            this->received += this->socket.read_some(asio::buffer(buffer), code);
        return this->received > 0;
    }

    void answer(const std::string& bytes)
    {
        this->write(bytes);
        this->received = 0;
    }

    void write(const std::string& bytes) { asio::write(this->socket, asio::buffer(bytes)); }

    void end(const PeerEnd& how)
    {
        this->write(how.bytes);
        if (how.reset)
            this->socket.set_option(asio::socket_base::linger(true, 0));
        this->socket.close();
        // The loopback device delivers this at once; the pause is for a busy machine.
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    asio::io_context io; ///< runs nothing: all calls are blocking ones
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket { this->io }; ///< connection accepted last
    std::size_t received { 0 }; ///< bytes since the last answer
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

/// Sends a request on a new connection, answers it and waits until the connection is idle.
void openIdle(asio::io_context& io, CallPool& pool, ManualServer& server)
{
    const auto sink = std::make_shared<CountingSink>(true);
    pool.send({ .address = server.address(), .bytes = shortRequest }, sink);
    REQUIRE(runUntil(io, [&] { return server.accept(); }));
    REQUIRE(runUntil(io, [&] { return server.read(); }));
    server.answer(shortAnswer);
    REQUIRE(runUntil(io, [&] { return sink->end.has_value(); }));
    REQUIRE(sink->end == CallEnd::Complete);
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

// Guards against reading bytes that are no answer for as long as a server sends them.
TEST_CASE("A call whose answer has no end to its head or framing ends as broken", "[call-pool]")
{
    struct Endless {
        const char* what;
        bool accepting;
        std::string start;
        std::string unit;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Endless> all {
        { "interim answers", true, "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "answers to other requests", false, "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" },
        { "an answer to another request", false, "HTTP/1.1 200 OK\r\n\r\n", "bytes" },
        { "a reason phrase", true, "HTTP/1.1 200 ", "OK " },
        { "blank lines", true, "", "\r\n" },
        { "a header", true, "HTTP/1.1 200 OK\r\nA: ", "aaaa" },
        { "headers", true, "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
        { "an extension of a chunk", true, chunked + "1;", "e=f;" },
        { "extensions of chunks", true, chunked, "1;" + std::string(4000, 'e') + "\r\nx\r\n" },
        { "trailers", true, chunked + "0\r\n", "A: b\r\n" },
    };
    for (const Endless& endless : all) {
        INFO(endless.what);
        asio::io_context io;
        EndlessServer server(io, endless.start, endless.unit);
        CallPool pool(io, {});
        const auto sink = std::make_shared<CountingSink>(endless.accepting);
        pool.send({ .address = server.address(), .bytes = "GET / HTTP/1.1\r\n\r\n" }, sink);
        CHECK(runUntil(io, [&] { return sink->end && server.closed; }));
        CHECK(sink->end == CallEnd::Broken);
        CHECK(server.sent < maxAnswerOverhead + socketBuffers);
    }
}

// Guards against reading on after the end of a call.
TEST_CASE("A server that sends without end after an answer, to an idle connection or for a cancelled call is closed",
    "[call-pool]")
{
    asio::io_context io;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    SECTION("after an answer")
    {
        EndlessServer server(io, answer, "more");
        CallPool pool(io, {});
        const auto sink = std::make_shared<CountingSink>(true);
        pool.send({ .address = server.address(), .bytes = "GET / HTTP/1.1\r\n\r\n" }, sink);
        CHECK(runUntil(io, [&] { return sink->end && server.closed; }));
        CHECK(sink->end == CallEnd::Complete);
        CHECK(sink->bytes == 2);
        CHECK(server.sent < socketBuffers);
    }
    SECTION("for a cancelled call")
    {
        EndlessServer server(io, "HTTP/1.1 200 OK\r\n\r\n", "more");
        CallPool pool(io, {});
        const auto sink = std::make_shared<CountingSink>(true);
        const auto call = pool.send({ .address = server.address(), .bytes = "GET / HTTP/1.1\r\n\r\n" }, sink);
        CHECK(runUntil(io, [&] { return sink->bytes > 0; }));
        pool.cancel(call);
        CHECK(runUntil(io, [&] { return server.closed; }));
        CHECK(server.sent < socketBuffers);
        CHECK_FALSE(sink->end);
    }
}

// Guards against collecting an answer in memory for as long as a server sends it.
TEST_CASE("A fetched answer whose body has no end is an error once it exceeds its limit", "[call-pool]")
{
    struct Endless {
        const char* what;
        std::string start;
        std::string unit;
    };
    const std::vector<Endless> all {
        { "until the connection ends", "HTTP/1.1 200 OK\r\n\r\n", "bytes" },
        { "in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n" },
        { "of a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "bytes" },
    };
    constexpr std::size_t limit = 1U << 20U;
    for (const Endless& endless : all) {
        INFO(endless.what);
        asio::io_context io;
        EndlessServer server(io, endless.start, endless.unit);
        CallPool pool(io, {});
        std::optional<Result<FetchResponse>> answer;
        pool.fetch({ .address = server.address(), .target = "/", .maxAnswerBody = limit, .timeout = { 10000 } },
            [&](const Result<FetchResponse>& received) { answer = received; });
        CHECK(runUntil(io, [&] { return answer && server.closed; }));
        CHECK((answer && !*answer && answer->error().code == make_error_code(ErrorCode::Unavailable)));
        CHECK(server.sent < 2 * limit + socketBuffers);
    }
}

// Guards against an error in the handling of one answer that ends the process.
TEST_CASE("A sink that fails unexpectedly costs its own call only", "[call-pool][guard]")
{
    struct FailingSink : CountingSink {
        FailingSink()
            : CountingSink(true)
        {
        }
        void onHead(WireHead&&) override { throw std::out_of_range("no such request"); }
    };
    asio::io_context io;
    FakeHttpServer server(io);
    CallPool pool(io, {});
    const auto failing = std::make_shared<FailingSink>();
    const auto sound = std::make_shared<CountingSink>(true);
    pool.send({ .address = server.address(), .bytes = "GET / HTTP/1.1\r\n\r\n" }, failing);
    CHECK(runUntil(io, [&] { return failing->end.has_value(); }));
    CHECK(failing->end == CallEnd::Broken);
    pool.send({ .address = server.address(), .bytes = "GET / HTTP/1.1\r\n\r\n" }, sound);
    CHECK(runUntil(io, [&] { return sound->end.has_value(); }));
    CHECK(sound->end == CallEnd::Complete);
}

// Guards against a request that is sent late, on an old decision, by a process that stood still as it connected.
TEST_CASE("A connection that is there after the connect timeout is not used", "[call-pool]")
{
    asio::io_context io;
    FakeHttpServer server(io);
    CallPool pool(io, {});
    std::optional<Result<FetchResponse>> answer;
    pool.fetch({ .address = server.address(), .target = "/", .connectTimeout = { 20 }, .timeout = { 500 } },
        [&](const Result<FetchResponse>& result) { answer = result; });
    // The kernel completes the connection meanwhile.
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    while (!answer)
        io.run_one_for(std::chrono::milliseconds(100));
    REQUIRE_FALSE(answer->ok());
    CHECK(answer->error().step == connectStep);
}

// Guards against a request that is sent over a connection whose end lies unread in the kernel: it cannot be answered,
// and one that may not be repeated would be given up although it did not run.
TEST_CASE("A connection that its peer has ended is not reused, though the loop has not read its end", "[call-pool]")
{
    const std::vector<PeerEnd> ends {
        { "closed", "", false },
        { "reset", "", true },
        { "closed after an answer to no request", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", false },
    };
    for (const PeerEnd& end : ends) {
        for (const Milliseconds maxIdle : { maxReuseIdle, maxReuseIdleNonIdempotent }) {
            INFO(end.what << ", at most " << maxIdle.value << " ms idle");
            asio::io_context io;
            ManualServer server;
            CallPool pool(io, {});
            openIdle(io, pool, server);
            server.end(end);
            const auto sink = std::make_shared<CountingSink>(true);
            pool.send({ .address = server.address(), .bytes = shortRequest, .maxIdle = maxIdle }, sink);
            if (runUntil(io, [&] { return sink->end || server.accept(); }) && !sink->end) {
                CHECK(runUntil(io, [&] { return server.read(); }));
                server.answer(shortAnswer);
            }
            CHECK(runUntil(io, [&] { return sink->end.has_value(); }));
            CHECK(sink->end == CallEnd::Complete);
            CHECK(sink->bytes == 2);
            CHECK(pool.opened() == 2);
        }
    }
}

TEST_CASE("What a server sent before a request is not taken for the answer to it", "[call-pool]")
{
    asio::io_context io;
    ManualServer server;
    CallPool pool(io, {});
    openIdle(io, pool, server);
    server.end({ "", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", false });
    std::optional<Result<FetchResponse>> answer;
    pool.fetch({ .address = server.address(), .target = "/" },
        [&](const Result<FetchResponse>& received) { answer = received; });
    if (runUntil(io, [&] { return answer || server.accept(); }) && !answer) {
        CHECK(runUntil(io, [&] { return server.read(); }));
        server.answer(shortAnswer);
    }
    REQUIRE(runUntil(io, [&] { return answer.has_value(); }));
    REQUIRE(answer->ok());
    CHECK(answer->value().head.status == 200);
}

// The request is on the way as the connection ends: the peer may have read it.
TEST_CASE("A request that crosses the end of its connection ends as broken, once", "[call-pool]")
{
    struct OnceSink : CountingSink {
        OnceSink()
            : CountingSink(true)
        {
        }
        void onEnd(CallEnd how) override
        {
            ++this->ends;
            CountingSink::onEnd(how);
        }
        int ends { 0 };
    };
    const std::vector<PeerEnd> ends { { "closed", "", false }, { "reset", "", true } };
    for (const PeerEnd& end : ends) {
        for (const bool isRead : { false, true }) {
            for (const Milliseconds maxIdle : { maxReuseIdle, maxReuseIdleNonIdempotent }) {
                INFO(end.what << (isRead ? ", read" : ", unread") << ", at most " << maxIdle.value << " ms idle");
                asio::io_context io;
                ManualServer server;
                CallPool pool(io, {});
                openIdle(io, pool, server);
                const auto sink = std::make_shared<OnceSink>();
                pool.send({ .address = server.address(), .bytes = shortRequest, .maxIdle = maxIdle }, sink);
                if (isRead)
                    CHECK(runUntil(io, [&] { return server.read(); }));
                server.end(end);
                CHECK(runUntil(io, [&] { return sink->end.has_value(); }));
                CHECK(sink->end == CallEnd::Broken);
                CHECK(pool.opened() == 1);
                openIdle(io, pool, server);
                CHECK(pool.opened() == 2);
                CHECK(sink->ends == 1);
            }
        }
    }
}

TEST_CASE("A connection is not reused shortly before the end of the idle time that its peer states", "[call-pool]")
{
    asio::io_context io;
    ManualServer server;
    CallPool pool(io, {});
    const auto sink = std::make_shared<CountingSink>(true);
    pool.send({ .address = server.address(), .bytes = shortRequest }, sink);
    REQUIRE(runUntil(io, [&] { return server.accept(); }));
    REQUIRE(runUntil(io, [&] { return server.read(); }));
    server.answer("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(runUntil(io, [&] { return sink->end.has_value(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(650));
    pool.send({ .address = server.address(), .bytes = shortRequest, .maxIdle = maxReuseIdle }, sink);
    CHECK(pool.opened() == 2);
}
