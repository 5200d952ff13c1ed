#include "peer_io.h"

#include "guard_func.h"
#include "log_io.h"
#include "metrics_io.h"
#include "peer_codec_func.h"

namespace hickory {

PeerSocket::PeerSocket(asio::io_context& io, OnBeacon onBeacon)
    : socket(io)
    , onBeacon(std::move(onBeacon))
{
}

std::optional<Error> PeerSocket::open(const std::string& ip, std::uint16_t boundPort)
{
    this->port = boundPort;
    std::error_code code;
    const auto address = asio::ip::make_address(ip, code);
    if (!code)
        this->socket.open(asio::ip::udp::v4(), code);
    if (!code)
        this->socket.bind({ address, boundPort }, code);
    if (!code)
        this->socket.non_blocking(true, code);
    if (code)
        return Error { .code = code, .step = "bind-peer-socket", .peer = ip, .detail = {} };
    this->receive();
    return std::nullopt;
}

void PeerSocket::send(const PeerBeacon& beacon, const std::vector<std::string>& ips)
{
    const std::string bytes = encodeBeacon(beacon);
    countBeacon(this->counts.sent, beacon, ips.size(), bytes.size());
    for (const std::string& ip : ips) {
        std::error_code code;
        const auto address = asio::ip::make_address(ip, code);
        if (!code)
            this->socket.send_to(asio::buffer(bytes), { address, this->port }, 0, code);
        // The next beacon replaces one that could not be sent, so it is not retried.
        if (code)
            recordMetric({ .name = "beacons_unsent_total" });
    }
}

void PeerSocket::publishCounts()
{
    for (const MetricSample& sample : takeSamples(this->counts))
        recordMetric(sample);
}

void PeerSocket::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->buffer), this->sender, [this](const std::error_code& code, std::size_t count) {
            if (code == asio::error::operation_aborted)
                return;
            if (!code) {
                const std::string ip = this->sender.address().to_string();
                const Result<PeerBeacon> beacon = decodeBeacon({ this->buffer.data(), count });
                if (beacon) {
                    countBeacon(this->counts.received, beacon.value(), 1, count);
                    guarded("beacon", ip, [&] { this->onBeacon(beacon.value(), ip); });
                } else
                    writeLog({ .level = LogLevel::Warning,
                        .event = "beacon-refused",
                        .fields = { { "peer", ip }, { "error", beacon.error().text() } } });
            }
            this->receive();
        });
}

} // namespace hickory
