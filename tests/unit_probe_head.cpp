#include "platform_wire_func.h"
#include "probe_io.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace hickory;

namespace {

/// What a probe of a status path ends with.
struct Probed {
    std::optional<ProbeResult> result;
    std::optional<Milliseconds> coldLeft; ///< as stated in the head
    std::size_t heads { 0 }; ///< calls of onHead
};

/// Probes a listener that sends an answer in two parts and keeps the connection for a while.
Probed probeTwoParts(const std::string& first, const std::string& second)
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::ip::tcp::socket accepted(io);
    asio::steady_timer timer(io);
    acceptor.async_accept(accepted, [&](const std::error_code&) {
        std::error_code ignored;
        asio::write(accepted, asio::buffer(first), ignored);
        timer.expires_after(std::chrono::milliseconds(30));
        timer.async_wait([&](const std::error_code&) {
            std::error_code alsoIgnored;
            asio::write(accepted, asio::buffer(second), alsoIgnored);
        });
    });
    Probed probed;
    probeConnection(io,
        { .address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
            .statusPath = "/status",
            .mustAnswer = true,
            .timeout = { 200 },
            .onHead =
                [&](const WireHead& head) {
                    ++probed.heads;
                    probed.coldLeft = platform::decodeResponseHead(head).notice.coldLeft;
                } },
        [&](ProbeResult result) { probed.result = result; });
    io.run();
    return probed;
}

} // namespace

// Guards against a cold time that is lost because the head of a status report arrives in parts or is long, and against
// an answer that counts as none because its head does not.
TEST_CASE("A probe passes on the head of the answer", "[cold]")
{
    const std::string padding = "X-Padding: " + std::string(1000, 'x') + "\r\n";
    Probed probed = probeTwoParts("HTTP/1.1 200 OK\r\n" + padding + "Cold-", "Ms: 4321\r\n\r\nbody");
    CHECK(probed.result == ProbeResult::Accepted);
    CHECK(probed.heads == 1);
    CHECK(probed.coldLeft == Milliseconds { 4321 });
    probed = probeTwoParts("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "");
    CHECK(probed.result == ProbeResult::Accepted);
    CHECK(probed.heads == 1);
    CHECK_FALSE(probed.coldLeft);
    probed = probeTwoParts("HTTP/1.1 200 OK\r\nCold-", "");
    CHECK(probed.result == ProbeResult::Accepted);
    CHECK(probed.heads == 0);
    probed = probeTwoParts("not HTTP at all, but an answer", "");
    CHECK(probed.result == ProbeResult::Accepted);
    CHECK(probed.heads == 0);
    probed = probeTwoParts("HTTP/1.1 200 OK\r\n" + std::string(20000, 'x'), "");
    CHECK(probed.result == ProbeResult::Accepted);
    CHECK(probed.heads == 0);
}
