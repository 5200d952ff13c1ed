#pragma once

#include "caller_memory_func.h"
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

using CallId = NumberId<struct CallTag>; ///< a request received by a FrontServer, unique within it

/// Limits on callers' requests and connections. A new configuration may change them.
struct FrontLimits {
    Bytes headBytes { 16384 }; ///< largest start line and headers; a larger head is answered with 431
    Bytes bodyBytes { 4U << 20U }; ///< largest body; a larger one is answered with 413
    Milliseconds headTimeout { 3000 }; ///< longest time from the first to the last byte of a request
    /// Longest time that a connection may stay open between requests, from when the caller's host has acknowledged the
    /// last answer. Answers state four fifths of it in whole seconds.
    Milliseconds idleTimeout { 15000 };
};

/// What a connection was between two requests.
struct IdleConnection {
    std::uint32_t answers { 0 }; ///< complete answers sent on it before
    Milliseconds time { 0 }; ///< time from the accept or the last answer, as far as the caller's host confirmed it
    Milliseconds limit { 0 }; ///< longest such time that the server allowed
    std::size_t unacknowledged { 0 }; ///< bytes of answers that the caller's host had not confirmed at its end
};

/// A complete request of a caller.
struct FrontRequest {
    CallId id; ///< identifies the request when it is answered
    std::uint16_t port { 0 }; ///< local port that it arrived at
    Milliseconds firstByteAt { 0 }; ///< monotonic time at which its first byte was read
    IdleConnection before; ///< its connection, before its first byte
    WireHead head; ///< start line and headers
    std::string body; ///< without transfer coding
};

/// How the body of an answer that is sent in parts is delimited.
enum class BodyFraming : std::uint8_t {
    Chunks,
    Connection, ///< neither a length nor chunks: the body ends with its connection
};

/// Why a FrontServer ended a connection.
enum class CloseReason : std::uint8_t {
    Idle, ///< no request came within FrontLimits::idleTimeout
    RequestTimeout, ///< a request was not complete within FrontLimits::headTimeout
    Drain, ///< the process is about to stop
    Refused, ///< the request was not valid HTTP or exceeded a limit
    Aborted, ///< see FrontServer::abort()
    AfterAnswer, ///< an answer announced it
    UnexpectedError, ///< the handling of a request failed
    Memory, ///< memory for callers was short
    Descriptors, ///< descriptors for callers' connections were short
    Crossed, ///< it had been ended before, with nothing on it, and bytes arrived that crossed its end; see endIdle()
};

/// A connection that the server ended while it held a request or bytes that had not been read.
struct ClosedConnection {
    CloseReason reason { CloseReason::Idle };
    std::string detail; ///< why an answer was broken off, else empty
    CallId call; ///< request that was being answered, 0 for none
    WireHead head; ///< of the request that was being read, empty if its head was not complete
    bool inRequest { false }; ///< a request was being read
    std::size_t unparsed { 0 }; ///< bytes that were received and belong to no request yet
    std::size_t unread { 0 }; ///< bytes that the kernel held
    std::uint16_t port { 0 }; ///< local port
    Milliseconds age { 0 }; ///< time since the request being read began, or since the connection became idle
    IdleConnection idle; ///< as it was ended, or before the request that it held
};

/// HTTP/1.1 server on the Asio loop, used by RelayLoop and LoaderLoop; EntryLoop and AgentLoop use the servers of
/// http_io.h. It handles one request per connection at a time: a pipelined request
/// is parsed after the previous answer is complete.
class FrontServer {
public:
    /// Callbacks; they run on the event loop.
    struct Handlers {
        std::function<void(FrontRequest&&)> onRequest; ///< a complete request arrived
        std::function<void(CallId)> onCallerDisconnected; ///< the caller disconnected before its answer was complete
        std::function<void(const ClosedConnection&)> onConnectionClosed {}; ///< may be empty; must not call the server
    };

    /// @param link socket options of accepted connections
    FrontServer(asio::io_context& io, const LinkOptions& link, Handlers handlers);
    ~FrontServer();

    /// Starts to accept connections; may be called for several addresses.
    /// @param address "ip:port", port 0 lets the kernel choose
    /// @param internal connections there count apart from callers', and get a further part of the memory
    /// @return the bound port, or the error
    Result<std::uint16_t> listen(const std::string& address, bool internal = false);
    /// Sets what callers may hold. Without a call there is no limit.
    void setBudget(const CallerBudget& budget) { this->memory->budget = budget; }
    /// @return bytes that callers hold
    std::size_t heldBytes() const { return this->memory->held; }
    /// Sets the limits of later requests. Callers act on the limits that they know: a request that is being read and a
    /// connection that is idle keep theirs. Longer times hold at once.
    void setLimits(const FrontLimits& limits) { this->limits = limits; }

    /// Sends a complete answer. Here and below, an unknown id is ignored: the caller has disconnected.
    void answer(CallId id, std::uint16_t status, const std::vector<WireHeader>& headers, std::string_view body);
    /// Sends the head of an answer whose body is sent in parts.
    void begin(CallId id, std::uint16_t status, const std::vector<WireHeader>& headers,
        BodyFraming framing = BodyFraming::Chunks);
    /// Sends the next part of the body.
    void body(CallId id, std::string_view bytes);
    /// Ends the body.
    void finish(CallId id);
    /// Resets the connection, so that the caller cannot take the part of the answer sent so far for a complete one.
    /// @param why passed on to Handlers::onConnectionClosed
    void abort(CallId id, const std::string& why = {});

    /// @return bytes queued for the caller and not yet taken by the kernel, 0 for an unknown id
    std::size_t pending(CallId id) const;
    /// @return number of requests whose answer is not complete
    std::size_t openCalls() const { return this->calls.size(); }

    /// Makes each further answer carry `Connection: close`, unless the next request has already arrived behind it.
    void startDrain() { this->draining = true; }
    /// @return whether bytes of complete answers are queued that the kernel has not taken
    bool hasUnsent();
    /// @return whether a connection that was ended here is kept until its caller closes it, for about a second at most
    bool isLingering() const { return !this->closing.empty(); }
    /// Stops accepting and closes the connections that have no request in progress.
    /// @param readingToo also those on which a request has arrived in part, which is refused with status 503, or whole
    ///   and unread, and those whose callers may still be reading the last answer
    void closeIdle(bool readingToo = true);
    /// @return whether any connection is open
    bool hasConnections() const { return !this->connections.empty(); }
    /// Ends connections that exceeded FrontLimits::headTimeout, with status 408, or idleTimeout. One with bytes unread
    /// gets a second more, once: they may be the request, or the rest of it. To be called regularly: the time between
    /// calls is the precision of these limits.
    /// @param now monotonic time
    void sweep(Milliseconds now);

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    /// Accepts connections until the acceptor is closed.
    void accept(asio::ip::tcp::acceptor& acceptor, bool internal);
    /// Takes over an accepted connection, or closes it if there is no room for it.
    void open(asio::ip::tcp::socket socket, bool internal);
    /// Accepts connections again after a pause: the kernel had no descriptor.
    void acceptLater(asio::ip::tcp::acceptor& acceptor, bool internal);
    /// Counts what a connection holds now.
    void updateHeld(Connection& connection);
    /// Closes others until a connection may hold more.
    /// @param more bytes in addition to those that are counted for it
    /// @return whether it may hold them
    bool makeRoom(const ConnectionPointer& connection, std::size_t more);
    /// Closes some connections if memory is short, and goes on later if that did not suffice.
    void relieve();
    /// Calls relieve() from the loop, if memory is short.
    void scheduleRelief();
    /// @return the connections that may be considered for closing
    std::vector<HoldingConnection> holdings() const;
    /// @return whether callers hold more than they may
    bool isOverBudget() const;
    /// Closes one connection because memory or descriptors are short.
    /// @return whether it was closed; an idle one whose next request has arrived is not
    bool closeForShortage(std::uint64_t number, CloseReason reason);
    /// Closes an ended connection at once and stops counting it.
    void dropEnded(const ConnectionPointer& connection);
    /// Closes a connection of the same kind to make way for a new one.
    /// @return whether one was closed
    bool replaceOne(bool internal);
    /// Refuses a request whose declared length, or what was read of it, is more than the limits or the budget allow.
    /// @return whether it was refused
    bool refuseOversized(const ConnectionPointer& connection);
    void onData(const ConnectionPointer& connection, std::string_view bytes);
    /// Parses received bytes until a request is complete or invalid.
    void parse(const ConnectionPointer& connection);
    /// Passes a complete request to Handlers::onRequest.
    void deliver(const ConnectionPointer& connection);
    /// Answers a request that is invalid or not complete in time with an error status and ends the connection.
    void refuse(const ConnectionPointer& connection, std::uint16_t status, CloseReason reason);
    /// Passes a connection that is about to be ended to Handlers::onConnectionClosed, if anything is on it.
    void reportClosed(const Connection& connection, CloseReason reason, const std::string& detail = {}) const;
    /// Passes a connection that was ended, and on which bytes have arrived since, to Handlers::onConnectionClosed.
    /// @param received bytes that were read
    void reportCrossed(const Connection& connection, std::size_t received) const;
    /// @return whether a caller has certainly read all answers: its host has had them for about a second
    static bool hasReadAnswers(Connection& connection);
    /// Ends a connection between two requests. Where its caller's host has all answers, the next request is left
    /// unread.
    void endIdle(const ConnectionPointer& connection, CloseReason reason);
    /// Closes a connection that was ended between two requests and on which another one has arrived. Its caller has not
    /// noticed the end and waits for an answer: only a close tells it that none comes.
    void endCrossed(const ConnectionPointer& connection);
    /// Ends a connection once what was written to it has been sent. It is read on for a moment, so that the kernel
    /// does not reset it before its caller has read that.
    void endConnection(const ConnectionPointer& connection);
    /// Closes the ended connections whose time to linger is over, and forgets those that are closed.
    void sweepLingering(Milliseconds now);
    /// Removes a connection from the server and reports a request in progress as gone.
    void removeConnection(const ConnectionPointer& connection);
    /// Ends a request; closes the connection or continues with the next request.
    void completeAnswer(CallId id, const ConnectionPointer& connection);
    /// Sends the head of an answer.
    /// @param length length of the body, or nothing for one that is sent in parts
    void sendHead(const ConnectionPointer& connection, std::uint16_t status, const std::vector<WireHeader>& headers,
        std::optional<std::size_t> length, BodyFraming framing = BodyFraming::Chunks);
    /// @return the connection of a request in progress, or nullptr
    ConnectionPointer find(CallId id) const;

    asio::io_context& io;
    LinkOptions link; ///< socket options of accepted connections
    Handlers handlers;
    FrontLimits limits;
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> acceptors; ///< one for each address passed to listen()
    std::unordered_map<std::uint64_t, ConnectionPointer> connections; ///< open connections by Connection::number
    std::unordered_map<CallId, ConnectionPointer> calls; ///< connections by the request in progress on them
    std::shared_ptr<CallerMemory> memory { std::make_shared<CallerMemory>() }; ///< what callers hold
    Milliseconds nextFreeSearch { 0 }; ///< no memory is looked for before, since too little was found
    std::size_t missedBytes { 0 }; ///< least number of bytes that were looked for in vain; less may still be found
    Milliseconds nextRelief { 0 }; ///< relieve() looks for no connection before, since it found none
    Milliseconds nextReplace { 0 }; ///< no caller's connection to replace is looked for before, since none was found
    Milliseconds nextInternalReplace { 0 }; ///< the same for those at internal ports
    bool reliefScheduled { false }; ///< relieve() is about to be called
    std::size_t discardedTogether { 0 }; ///< bytes read from ended connections since the last sweep
    std::vector<ConnectionPointer> closing; ///< removed from `connections`, their links not closed yet
    std::uint64_t lastNumber { 0 }; ///< last number given to a connection or request
    bool draining { false }; ///< startDrain() was called
};

/// @return the standard reason phrase of an HTTP status, "Status" for one that this system does not use
std::string_view reasonPhrase(std::uint16_t status);

} // namespace hickory
