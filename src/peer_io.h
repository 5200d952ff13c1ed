#pragma once

#include "beacon_count_func.h"
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
    /// Receives each valid beacon, with the source address of its datagram.
    using OnBeacon = std::function<void(const PeerBeacon&, const std::string& ip)>;

    PeerSocket(asio::io_context& io, OnBeacon onBeacon);

    /// Binds the socket and starts to receive.
    /// @return the error, or nothing on success
    std::optional<Error> open(const std::string& ip, std::uint16_t port);
    /// Sends a beacon to each ip, at this socket's own port number. A datagram that cannot be sent is dropped and
    /// counted.
    void send(const PeerBeacon& beacon, const std::vector<std::string>& ips);
    /// Adds what was sent and received since the last call to the metrics.
    void publishCounts();

private:
    void receive();

    static constexpr std::size_t maxDatagram = 65536; ///< bytes; above the largest UDP datagram of IPv4

    asio::ip::udp::socket socket; ///< bound to the host's address
    std::array<char, maxDatagram> buffer {}; ///< datagram being received
    asio::ip::udp::endpoint sender; ///< source of the datagram being received
    BeaconCounts counts; ///< since the last publishCounts()
    std::uint16_t port { 0 }; ///< port that all peers use, 0 before open()
    OnBeacon onBeacon;
};

} // namespace hickory
