#include "probe_io.h"

#include "tcp_link_io.h"

#include <memory>

namespace hickory {

namespace {

    /// An accepted connection must stay open this long: a process that ends closes all its sockets together.
    constexpr Milliseconds probeHold { 20 };

} // namespace

void probeConnection(
    asio::io_context& io, const std::string& address, Milliseconds timeout, std::function<void(ProbeResult)> done)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        asio::post(io, [done = std::move(done)] { done(ProbeResult::Unreachable); });
        return;
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(io);
    auto timer = std::make_shared<asio::steady_timer>(io);
    timer->expires_after(std::chrono::milliseconds(timeout.value));
    timer->async_wait([socket](const std::error_code& code) {
        std::error_code ignored; // the pending connect reports the failure
        if (!code)
            socket->close(ignored);
    });
    socket->async_connect(*endpoint, [socket, timer, done = std::move(done)](const std::error_code& code) {
        timer->cancel();
        if (code) {
            done(code == asio::error::connection_refused ? ProbeResult::Refused : ProbeResult::Unreachable);
            return;
        }
        // The kernel accepts connections for a process that is about to end, and resets them then.
        auto byte = std::make_shared<char>();
        auto kept = std::make_shared<bool>(false);
        timer->expires_after(std::chrono::milliseconds(probeHold.value));
        timer->async_wait([socket, kept](const std::error_code& cancelled) {
            std::error_code ignored; // the pending read returns in any case
            *kept = !cancelled;
            socket->close(ignored);
        });
        socket->async_read_some(
            asio::buffer(byte.get(), 1), [socket, timer, byte, kept, done](const std::error_code& ended, std::size_t) {
                timer->cancel();
                done(!ended || *kept ? ProbeResult::Accepted : ProbeResult::Unreachable);
            });
    });
}

} // namespace hickory
