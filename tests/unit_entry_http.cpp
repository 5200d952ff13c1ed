#include "http_io.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

using namespace hickory;

namespace {

constexpr std::chrono::seconds waitTimeout { 10 };

/// An entry's HTTP server without its reducer, and one caller.
class StoppingServer {
public:
    explicit StoppingServer(unsigned workers = 2)
        : http({
                   .listen = "127.0.0.1:0",
                   .workers = workers,
                   .maxBody = { 1000000 },
                   .onEvent =
                       [this](EntryEventBody body) {
                           const std::lock_guard lock(this->mutex);
                           if (const auto* event = std::get_if<RequestArrived>(&body))
                               this->arrived = event->request;
                           this->changed.notify_all();
                       },
                   .health = [] { return ProcessHealth {}; },
               },
            this->table)
        , caller(this->io)
    {
        const auto port = static_cast<std::uint16_t>(this->http.start());
        this->caller.open(asio::ip::tcp::v4());
        this->caller.set_option(asio::socket_base::receive_buffer_size(8192));
        this->caller.connect({ asio::ip::make_address("127.0.0.1"), port });
    }

    ~StoppingServer()
    {
        std::error_code ignored; // the caller may have been closed by the server
        this->caller.close(ignored);
        if (this->arrived)
            this->table.finish(*this->arrived, AbortRequest { .request = *this->arrived });
        if (this->stopped.valid())
            this->stopped.wait();
    }

    void send(const std::string& bytes) { asio::write(this->caller, asio::buffer(bytes)); }

    /// Starts to stop the server on another thread.
    void stop()
    {
        this->stopped = std::async(std::launch::async, [this] { this->http.stop(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }

    /// @return what the caller reads until the server closes, or until nothing came for some seconds
    std::string readAll()
    {
        std::string bytes;
        asio::steady_timer timer(this->io);
        timer.expires_after(std::chrono::seconds(6));
        timer.async_wait([this](std::error_code error) {
            if (!error)
                this->caller.cancel();
        });
        asio::async_read(
            this->caller, asio::dynamic_buffer(bytes), [&timer](std::error_code, std::size_t) { timer.cancel(); });
        this->io.run();
        return bytes;
    }

    /// Waits until the request was passed to the reducer.
    RequestId waitForRequest()
    {
        std::unique_lock lock(this->mutex);
        REQUIRE(this->changed.wait_for(lock, waitTimeout, [this] { return this->arrived.has_value(); }));
        return *this->arrived;
    }

    RequestTable table; ///< requests in progress

private:
    std::mutex mutex; ///< protects `arrived`
    std::condition_variable changed; ///< signalled when a request arrives
    std::optional<RequestId> arrived; ///< last request
    EntryHttp http;
    asio::io_context io; ///< reads of the caller
    asio::ip::tcp::socket caller; ///< connection to the server
    std::future<void> stopped; ///< ready when the server has stopped
};

const std::string head = "POST /v1/services/svc/x HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\n";

} // namespace

// Guards against a request that gets neither an answer nor a refusal because the entry exits while it is read.
TEST_CASE("A request that is read while the entry stops is refused")
{
    StoppingServer server;
    server.send(head + "bo");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    server.stop();
    server.send("dy");
    const std::string answer = server.readAll();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("X-Outcome: not-run") != std::string::npos);
}

// Guards against a whole answer that is cut because the entry exits while a slow caller reads it.
TEST_CASE("An answer that stands ready is written to its end while the entry stops")
{
    StoppingServer server;
    server.send(head + "body");
    const RequestId request = server.waitForRequest();
    constexpr std::size_t partBytes = 16000000; // more than the socket buffers hold
    server.table.openAttempt(request, { 1 });
    REQUIRE(
        server.table.takePart(request, { 1 }, 0, std::string(partBytes, 'x'), 200, "text/plain") == PartResult::First);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    REQUIRE(server.table.takePart(request, { 1 }, 1, "last", 200, "text/plain") == PartResult::Taken);
    server.table.finish(request, FinishRequest { .request = request });
    server.stop();
    const std::string answer = server.readAll();
    CHECK(answer.substr(answer.size() - std::min<std::size_t>(answer.size(), 14)) == "4\r\nlast\r\n0\r\n\r\n");
}

// Guards against callers that send their next request over a connection that the entry closes when it exits.
TEST_CASE("A refusal while the entry stops says that the connection closes")
{
    StoppingServer server(8);
    const auto held = server.table.add({ .method = "POST", .path = "/x", .contentType = {}, .body = {} });
    server.stop();
    server.send(head + "body");
    const std::string answer = server.readAll();
    server.table.remove(held->request);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
}
