#pragma once

#include "relay_type.h"
#include "wire_head_type.h"

#include <asio.hpp>
#include <functional>
#include <string>

namespace hickory {

/// What probeConnection() tries.
struct ProbeOptions {
    std::string address; ///< "ip:port"
    std::string statusPath; ///< requested over HTTP once connected; empty to send nothing
    bool mustAnswer { false }; ///< a connection that is kept without an answer to the request counts as unreachable
    Milliseconds timeout { 400 }; ///< for the connection, after which the address counts as unreachable; also how long
                                  ///< a connection without an answer must be kept
    std::function<void(const WireHead&)> onHead; ///< called at most once, before the end, with the head of an answer
};

/// Connects to an address and asks for a path, or waits briefly whether the connection is kept. Anything that accepts
/// connections for another process, such as a proxy, cannot answer for it.
/// @param io loop that runs the connection and calls `done`
/// @param done called once from the loop
void probeConnection(asio::io_context& io, const ProbeOptions& options, std::function<void(ProbeResult)> done);

} // namespace hickory
