#include "front_connection_io.h"
#include "guard_func.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr std::uint16_t statusBadRequest = 400;
    constexpr std::uint16_t statusRequestTimeout = 408;
    constexpr std::uint16_t statusTooLarge = 413;
    constexpr std::uint16_t statusUnavailable = 503;
    constexpr std::uint16_t statusHeadTooLarge = 431;
    constexpr std::size_t keptBytes = 8192; ///< capacity for received bytes that an idle connection keeps: one read
    constexpr Milliseconds lingerTime { 1000 }; ///< after the last byte to a connection that was ended
    constexpr std::size_t maxLingering = 1024; ///< ended connections that are read on; more are closed at once
    constexpr std::size_t maxDiscarded = 8U << 20U; ///< bytes read from an ended connection before it is closed
    constexpr int listenBacklog
        = 1024; ///< when it is full, SYN packets are dropped and callers retry only after a second or more

    /// @return seconds with one decimal
    std::string retryAfterSeconds(Milliseconds time)
    {
        return std::to_string(time.value / 1000) + "." + std::to_string(time.value % 1000 / 100);
    }

} // namespace

FrontServer::FrontServer(asio::io_context& io, const LinkOptions& link, Handlers handlers)
    : io(io)
    , link(link)
    , handlers(std::move(handlers))
{
}

FrontServer::~FrontServer() = default;

Result<std::uint16_t> FrontServer::listen(const std::string& address, bool internal)
{
    const auto endpoint = parseEndpoint(address);
    std::error_code code = make_error_code(ErrorCode::InvalidSettings);
    if (endpoint) {
        auto acceptor = std::make_unique<asio::ip::tcp::acceptor>(this->io);
        acceptor->open(endpoint->protocol(), code);
        if (!code)
            acceptor->set_option(asio::socket_base::reuse_address(true), code);
        if (!code)
            acceptor->bind(*endpoint, code);
        if (!code)
            acceptor->listen(listenBacklog, code);
        if (!code) {
            const std::uint16_t port = acceptor->local_endpoint().port();
            this->acceptors.push_back(std::move(acceptor));
            this->accept(*this->acceptors.back(), internal);
            return port;
        }
    }
    return Error { .code = code, .step = "listen", .peer = address, .detail = {} };
}

void FrontServer::accept(asio::ip::tcp::acceptor& acceptor, bool internal)
{
    acceptor.async_accept([this, &acceptor, internal](const std::error_code& code, asio::ip::tcp::socket socket) {
        if (code == asio::error::operation_aborted)
            return;
        const bool isExhausted = code == asio::error::no_descriptors || code == std::errc::too_many_files_open_in_system
            || code == asio::error::no_buffer_space || code == asio::error::no_memory;
        if (!code)
            this->open(std::move(socket), internal);
        // It may have been closed since the connection was accepted.
        if (!acceptor.is_open())
            return;
        if (isExhausted)
            this->acceptLater(acceptor, internal);
        else
            this->accept(acceptor, internal);
    });
}

void FrontServer::open(asio::ip::tcp::socket socket, bool internal)
{
    std::error_code ignored; // a connection that is already closed is detected by its first read
    const auto local = socket.local_endpoint(ignored);
    const bool hasDescriptor = mayOpen(*this->memory, internal) || this->replaceOne(internal);
    auto connection = std::make_shared<Connection>(++this->lastNumber, this->limits, this->memory, internal);
    connection->port = local.port();
    connection->since = monotonicNow();
    connection->progressAt = connection->since;
    connection->link = std::make_shared<TcpLink>(std::move(socket), this->link);
    if (!hasDescriptor || !this->makeRoom(connection, connectionCost)) {
        const CloseReason reason = hasDescriptor ? CloseReason::Memory : CloseReason::Descriptors;
        this->reportClosed(*connection, reason);
        connection->ended = true;
        connection->link->close();
        return;
    }
    this->updateHeld(*connection);
    this->connections[connection->number] = connection;
    connection->link->onWritten([this, connection] {
        connection->progressAt = monotonicNow();
        this->updateHeld(*connection);
        if (connection->ended || connection->call.value != 0 || connection->isBackedUp())
            return;
        connection->link->pauseReading(false);
        this->parse(connection);
    });
    connection->link->start([this, connection](std::string_view bytes) { this->onData(connection, bytes); },
        [this, connection](LinkEnd how) {
            if (how == LinkEnd::Broken)
                connection->link->close(); // what is queued cannot be written
            else
                connection->link->closeAfterWrite();
            this->removeConnection(connection);
        });
}

void FrontServer::onData(const ConnectionPointer& connection, std::string_view bytes)
{
    if (connection->ended) {
        if (connection->discarded == 0 && !connection->refused)
            this->reportCrossed(*connection, bytes.size());
        if (connection->endedIdle) {
            this->endCrossed(connection);
            return;
        }
        connection->discarded += bytes.size();
        this->discardedTogether += bytes.size();
        if (connection->discarded > maxDiscarded || this->discardedTogether > maxDiscardedTogether)
            this->dropEnded(connection);
        return;
    }
    connection->unread.append(bytes);
    if (connection->call.value != 0 || connection->isBackedUp()) {
        // A pipelined request is parsed after the answer to the current one is complete, and its caller has taken most
        // of the answers before.
        if (connection->unread.size() > maxPipelined)
            connection->link->pauseReading(true);
        this->updateHeld(*connection);
        this->scheduleRelief();
        return;
    }
    this->parse(connection);
}

void FrontServer::parse(const ConnectionPointer& connection)
{
    Connection& current = *connection;
    if (current.unread.empty() || current.ended || current.call.value != 0 || current.isBackedUp())
        return;
    if (!current.parser.inMessage()) {
        const Milliseconds now = monotonicNow();
        current.request = {};
        current.request.before = current.idleState(this->limits, now);
        current.since = now;
        current.unreadUntil = {};
        current.request.firstByteAt = current.since;
        current.limits = this->limits;
        current.declaredBytes = current.headBytes = current.newBytes = 0;
        current.progressAt = current.since;
        current.parser.setMaxHeadBytes(current.limits.headBytes.value);
    }
    const std::size_t used = current.parser.feed(current.unread, current);
    current.unread.erase(0, used);
    if (current.unread.empty() && current.unread.capacity() > keptBytes)
        std::string().swap(current.unread);
    this->updateHeld(current);
    if (current.parser.fault())
        this->refuse(connection,
            *current.parser.fault() == WireFault::HeadTooLarge ? statusHeadTooLarge : statusBadRequest,
            CloseReason::Refused);
    else if (!this->refuseOversized(connection) && current.complete)
        this->deliver(connection);
}

void FrontServer::deliver(const ConnectionPointer& connection)
{
    Connection& current = *connection;
    current.complete = false;
    current.call = { ++this->lastNumber };
    current.closeAfter = !current.parser.keepAlive();
    current.request.id = current.call;
    current.request.port = current.port;
    const CallId call = current.call;
    this->calls[call] = connection;
    // The request, and a copy while it is sent to an upstream.
    current.inFlightBytes = 2 * (current.headBytes + current.request.body.capacity());
    current.headBytes = 0;
    const bool isHandled = guarded("request", "caller", [&] { this->handlers.onRequest(std::move(current.request)); });
    std::string().swap(current.request.body); // if the handler left it
    if (!current.ended)
        this->updateHeld(current);
    // An upstream may have it already: the close of the connection promises nothing.
    if (!isHandled) {
        this->reportClosed(current, CloseReason::UnexpectedError);
        connection->link->reset();
        guarded("request-end", "caller", [&] { this->removeConnection(connection); });
    }
}

void FrontServer::refuse(const ConnectionPointer& connection, std::uint16_t status, CloseReason reason)
{
    this->reportClosed(*connection, reason);
    connection->refused = true;
    connection->closeAfter = true;
    std::vector<WireHeader> headers;
    if (reason == CloseReason::Memory || reason == CloseReason::Descriptors)
        headers.push_back({ "Retry-After", retryAfterSeconds(shortageRetryAfter) });
    this->sendHead(connection, status, headers, 0);
    this->endConnection(connection);
}

void FrontServer::endConnection(const ConnectionPointer& connection)
{
    if (this->closing.size() < maxLingering)
        connection->link->lingerAfterWrite();
    else
        connection->link->closeAfterWrite();
    this->removeConnection(connection);
}

bool FrontServer::hasReadAnswers(Connection& connection)
{
    return connection.answers == 0 || (connection.isTaken() && monotonicNow() - connection.since >= lingerTime);
}

void FrontServer::endIdle(const ConnectionPointer& connection, CloseReason reason)
{
    this->reportClosed(*connection, reason);
    connection->endedIdle = !connection->holdsBytes();
    // A reset could take an answer that the caller's host has not got yet.
    if (!connection->endedIdle || !connection->isTaken() || this->closing.size() >= maxLingering) {
        this->endConnection(connection);
        return;
    }
    if (connection->link->unreadBytes() > 0) {
        this->removeConnection(connection);
        return;
    }
    // A request that was not read has not run, and callers may repeat it whatever it is.
    connection->link->lingerUnread([this, connection] {
        this->reportCrossed(*connection, 0);
        this->endCrossed(connection);
    });
    this->removeConnection(connection);
}

void FrontServer::endCrossed(const ConnectionPointer& connection)
{
    if (connection->isTaken())
        connection->link->reset();
    else
        connection->link->close();
    this->dropEnded(connection);
}

void FrontServer::sweepLingering(Milliseconds now)
{
    this->discardedTogether = 0;
    for (const ConnectionPointer& connection : this->closing) {
        if (connection->link->pending() > 0)
            continue;
        if (connection->lingersUntil.value == 0)
            connection->lingersUntil = now + lingerTime;
        if (now >= connection->lingersUntil)
            connection->link->close();
    }
    std::erase_if(this->closing, [](const auto& connection) { return !connection->link->open(); });
}

void FrontServer::reportClosed(const Connection& connection, CloseReason reason, const std::string& detail) const
{
    const bool inRequest = connection.call.value == 0 && connection.parser.inMessage();
    if (!this->handlers.onConnectionClosed || connection.ended)
        return;
    const bool isAlwaysReported
        = reason == CloseReason::Refused || reason == CloseReason::Memory || reason == CloseReason::Descriptors;
    if (connection.call.value == 0 && !isAlwaysReported && !connection.isReading())
        return;
    this->handlers.onConnectionClosed({ .reason = reason,
        .detail = detail,
        .call = connection.call,
        .head = inRequest || isAlwaysReported ? connection.request.head : WireHead {},
        .inRequest = inRequest,
        .unparsed = connection.unread.size(),
        .unread = connection.link->unreadBytes(),
        .port = connection.port,
        .age = monotonicNow() - connection.since,
        .idle = connection.call.value == 0 && !inRequest ? connection.idleState(this->limits, monotonicNow())
                                                         : connection.request.before });
}

void FrontServer::reportCrossed(const Connection& connection, std::size_t received) const
{
    if (!this->handlers.onConnectionClosed)
        return;
    const Milliseconds now = monotonicNow();
    this->handlers.onConnectionClosed({ .reason = CloseReason::Crossed,
        .unparsed = received,
        .unread = connection.link->unreadBytes(),
        .port = connection.port,
        .age = now - connection.since,
        .idle = connection.idleState(this->limits, now) });
}

void FrontServer::removeConnection(const ConnectionPointer& connection)
{
    if (connection->ended)
        return;
    connection->ended = true;
    const CallId call = connection->call;
    connection->call = {};
    connection->releaseRequest();
    connection->progressAt = monotonicNow();
    this->updateHeld(*connection);
    this->connections.erase(connection->number);
    if (connection->link->pending() == 0 && !connection->link->isLingering())
        connection->link->close();
    else if (connection->link->open())
        this->closing.push_back(connection);
    if (call.value != 0 && this->calls.erase(call) > 0)
        this->handlers.onCallerDisconnected(call);
}

bool FrontServer::hasUnsent()
{
    this->sweepLingering(monotonicNow());
    const auto hasPending = [](const ConnectionPointer& connection) {
        return connection->link->open() && connection->link->pending() > 0;
    };
    return std::any_of(this->closing.begin(), this->closing.end(), hasPending)
        || std::any_of(this->connections.begin(), this->connections.end(),
            [&](const auto& entry) { return hasPending(entry.second); });
}

void FrontServer::closeIdle(bool readingToo)
{
    for (const auto& acceptor : this->acceptors) {
        std::error_code code; // ignored: the process is about to end
        acceptor->close(code);
    }
    std::vector<ConnectionPointer> idle;
    for (const auto& [number, connection] : this->connections)
        // A caller that just got an answer may send its next request on it, unless the answer announced the close.
        if (connection->call.value == 0 && (readingToo || (!connection->isReading() && hasReadAnswers(*connection))))
            idle.push_back(connection);
    for (const ConnectionPointer& connection : idle) {
        if (connection->parser.inMessage()) {
            this->refuse(connection, statusUnavailable, CloseReason::Drain);
            continue;
        }
        this->endIdle(connection, CloseReason::Drain);
    }
}

void FrontServer::sweep(Milliseconds now)
{
    constexpr Milliseconds unreadTime { 1000 };
    this->sweepLingering(now);
    this->relieve();
    std::vector<ConnectionPointer> expired;
    for (const auto& [number, connection] : this->connections) {
        if (connection->call.value != 0)
            continue;
        const bool inRequest = connection->parser.inMessage();
        if (!inRequest && !connection->isTaken())
            connection->since = now;
        const auto limitOf
            = [&](const FrontLimits& given) { return inRequest ? given.headTimeout : given.idleTimeout; };
        const Milliseconds limit = std::max(limitOf(connection->limits), limitOf(this->limits));
        if (now - connection->since <= limit)
            continue;
        // What arrived while this process stood still is read after the sweep.
        const bool isUnread = !connection->unread.empty() || connection->link->unreadBytes() > 0;
        if (isUnread && connection->unreadUntil.value == 0)
            connection->unreadUntil = now + unreadTime;
        if (now >= connection->unreadUntil)
            expired.push_back(connection);
    }
    for (const ConnectionPointer& connection : expired) {
        if (connection->parser.inMessage()) {
            this->refuse(connection, statusRequestTimeout, CloseReason::RequestTimeout);
            continue;
        }
        this->endIdle(connection, CloseReason::Idle);
    }
}

} // namespace hickory
