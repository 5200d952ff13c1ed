#pragma once

#include "clock_type.h"
#include "error_type.h"
#include "id_type.h"
#include "tcp_link_io.h"
#include "wire_head_type.h"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

using CallId = NumberId<struct CallTag>; ///< one request on a connection of the front, unique in the process

/// Limits of what a caller may send; changed by a new configuration.
struct FrontLimits {
    Bytes headBytes { 16384 }; ///< start line and headers; more is answered 431
    Bytes bodyBytes { 4U << 20U }; ///< body; more is answered 413
    Milliseconds headTimeout { 3000 }; ///< from the first byte of a request to its last
    Milliseconds idleTimeout { 15000 }; ///< silence on a kept connection
};

/// A complete request of a caller.
struct FrontRequest {
    CallId id; ///< names the request in answers
    std::uint16_t port { 0 }; ///< local port at which it arrived
    Milliseconds firstByteAt { 0 }; ///< when its first byte was read
    WireHead head; ///< start line and headers
    std::string body; ///< without transfer coding
};

/// HTTP/1.1 server on the Asio loop. Answers of one connection are sent in the order of its requests: the next
/// request is read after the answer to the last one.
class FrontServer {
public:
    struct Handlers {
        std::function<void(FrontRequest&&)> onRequest; ///< a complete request
        std::function<void(CallId)> onGone; ///< the caller left before its answer was complete
    };

    FrontServer(asio::io_context& io, const LinkOptions& link, Handlers handlers);
    ~FrontServer();

    /// Listens on an address. Port 0 lets the kernel choose.
    /// @return the port bound, or the error
    Result<std::uint16_t> listen(const std::string& address);
    void setLimits(const FrontLimits& limits) { this->limits = limits; }

    /// Sends a complete answer. Unknown ids are ignored: the caller left.
    void answer(CallId id, std::uint16_t status, const std::vector<WireHeader>& headers, std::string_view body);
    /// Sends the head of an answer whose body follows in chunks.
    void begin(CallId id, std::uint16_t status, const std::vector<WireHeader>& headers);
    /// Sends the next bytes of the body.
    void body(CallId id, std::string_view bytes);
    /// Completes an answer that was begun.
    void finish(CallId id);
    /// Ends the connection so that an answer that was begun cannot look complete.
    void abort(CallId id);

    /// @return bytes of an answer that the caller has not taken yet
    std::size_t pending(CallId id) const;
    /// @return requests without a complete answer
    std::size_t openCalls() const { return this->calls.size(); }

    /// Sends `Connection: close` with each answer from now on.
    void startDrain() { this->draining = true; }
    /// Stops accepting and ends the connections that wait for no answer.
    void closeIdle();
    /// Ends connections that exceeded a limit of time. Called about once a second.
    void sweep(Milliseconds now);

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept(asio::ip::tcp::acceptor& acceptor);
    void onData(const ConnectionPointer& connection, std::string_view bytes);
    void parse(const ConnectionPointer& connection);
    void deliver(const ConnectionPointer& connection);
    void refuse(const ConnectionPointer& connection, std::uint16_t status);
    void drop(const ConnectionPointer& connection);
    void completeAnswer(CallId id, const ConnectionPointer& connection);
    void sendHead(const ConnectionPointer& connection, std::uint16_t status, const std::vector<WireHeader>& headers,
        std::optional<std::size_t> length);
    ConnectionPointer find(CallId id) const;

    asio::io_context& io; ///< the loop
    LinkOptions link; ///< socket options
    Handlers handlers; ///< who is told
    FrontLimits limits; ///< in force
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> acceptors; ///< listening sockets
    std::unordered_map<std::uint64_t, ConnectionPointer> connections; ///< by number
    std::unordered_map<CallId, ConnectionPointer> calls; ///< requests without a complete answer
    std::uint64_t lastNumber { 0 }; ///< of connections and calls
    bool draining { false }; ///< answers carry Connection: close
};

/// @return the standard reason phrase of a status, or "Status"
std::string_view reasonPhrase(std::uint16_t status);

} // namespace hickory
