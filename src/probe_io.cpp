#include "probe_io.h"

#include "tcp_link_io.h"

#include <memory>

namespace hickory {

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
        done(!code                                        ? ProbeResult::Accepted
                : code == asio::error::connection_refused ? ProbeResult::Refused
                                                          : ProbeResult::Unreachable);
    });
}

} // namespace hickory
