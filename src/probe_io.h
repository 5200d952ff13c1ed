#pragma once

#include "relay_type.h"

#include <asio.hpp>
#include <functional>
#include <string>

namespace hickory {

/// Connects to an address and closes the connection without sending anything.
/// @param io loop that runs the connection and calls `done`
/// @param address "ip:port"
/// @param timeout after which the address counts as unreachable
/// @param done called once from the loop
void probeConnection(
    asio::io_context& io, const std::string& address, Milliseconds timeout, std::function<void(ProbeResult)> done);

} // namespace hickory
