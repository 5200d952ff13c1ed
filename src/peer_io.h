#pragma once

#include "error_type.h"
#include "peer_type.h"

#include <array>
#include <asio.hpp>
#include <functional>
#include <string>
#include <vector>

namespace hickory {

/// Sends and receives beacons as UDP datagrams.
class PeerSocket {
public:
    using OnBeacon = std::function<void(const PeerBeacon&, const std::string& ip)>;

    PeerSocket(asio::io_context& io, OnBeacon onBeacon);

    /// Binds the socket and begins to receive.
    /// @return the error, or nothing
    std::optional<Error> open(const std::string& ip, std::uint16_t port);
    /// Sends a beacon to each ip, at this socket's own port number. A datagram that cannot be sent is lost.
    void send(const PeerBeacon& beacon, const std::vector<std::string>& ips);

private:
    void receive();

    static constexpr std::size_t maxDatagram = 65536; ///< largest datagram of IPv4

    asio::ip::udp::socket socket; ///< bound to the host's address
    std::array<char, maxDatagram> buffer {}; ///< of the datagram under way
    asio::ip::udp::endpoint sender; ///< likewise
    std::uint16_t port { 0 }; ///< of all peers
    OnBeacon onBeacon; ///< receiver
};

} // namespace hickory
