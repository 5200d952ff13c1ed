#include "front_io.h"

#include "guard_func.h"
#include "wire_parser_func.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace hickory {

namespace {

    constexpr std::uint16_t statusBadRequest = 400;
    constexpr std::uint16_t statusRequestTimeout = 408;
    constexpr std::uint16_t statusTooLarge = 413;
    constexpr std::uint16_t statusUnavailable = 503;
    constexpr std::uint16_t statusHeadTooLarge = 431;
    constexpr Milliseconds lingerTime { 1000 }; ///< after the last byte to a connection that was ended
    constexpr std::size_t maxLingering = 1024; ///< ended connections that are read on; more are closed at once
    constexpr std::size_t maxDiscarded = 8U << 20U; ///< bytes read from an ended connection before it is closed
    constexpr int listenBacklog
        = 1024; ///< when it is full, SYN packets are dropped and callers retry only after a second or more

    /// @return the line that precedes a chunk of the given size
    std::string chunkHead(std::size_t size)
    {
        std::array<char, 20> text {};
        const auto end = std::to_chars(text.data(), text.data() + text.size(), size, 16).ptr;
        return std::string(text.data(), end) + "\r\n";
    }

} // namespace

std::string_view reasonPhrase(std::uint16_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/// One connection of a caller and the request being read from it.
struct FrontServer::Connection : WireSink {
    Connection(std::uint64_t number, const FrontLimits& limits)
        : number(number)
        , parser(WireKind::Request, limits.headBytes.value)
        , limits(limits)
    {
    }

    /// @return whether a request has arrived in part, or whole and unread
    bool isReading() const
    {
        return this->parser.inMessage() || !this->unread.empty() || this->link->unreadBytes() > 0;
    }
    void onHead(WireHead&& received) override
    {
        this->request.head = std::move(received);
        const std::string* expect = this->request.head.find("Expect");
        if (expect && equalNames(*expect, "100-continue"))
            this->link->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    void onBody(std::string_view bytes) override
    {
        if (this->request.body.size() + bytes.size() > this->limits.bodyBytes.value)
            this->bodyTooLarge = true;
        else
            this->request.body.append(bytes);
    }
    void onComplete() override { this->complete = true; }

    std::uint64_t number; ///< key in FrontServer::connections
    std::uint16_t port { 0 }; ///< local port that the connection was accepted at
    std::shared_ptr<TcpLink> link;
    WireParser parser;
    FrontLimits limits; ///< in force when the request being read began, or when the connection became idle
    std::string unread; ///< bytes received and not yet parsed
    FrontRequest request; ///< request being read, incomplete until `complete` is set
    bool bodyTooLarge { false }; ///< the body exceeded its limit
    bool complete { false }; ///< the request was read in full and not yet delivered
    bool ended { false }; ///< the connection was removed from the server
    bool refused { false }; ///< ended by refuse(); the rest of the request may follow
    CallId call; ///< delivered request whose answer is not complete, 0 for none
    bool chunked { false }; ///< the answer in progress has a chunked body
    bool closeAfter { false }; ///< close the connection after the answer
    Milliseconds since { 0 }; ///< monotonic time at which the request being read began, or the connection became idle
    Milliseconds lingersUntil { 0 }; ///< monotonic time, 0 before its last byte was sent
    std::size_t discarded { 0 }; ///< bytes read since the connection was ended
    Milliseconds unreadUntil { 0 }; ///< end of the time in which what lay unread at the limit may complete the request
};

FrontServer::FrontServer(asio::io_context& io, const LinkOptions& link, Handlers handlers)
    : io(io)
    , link(link)
    , handlers(std::move(handlers))
{
}

FrontServer::~FrontServer() = default;

Result<std::uint16_t> FrontServer::listen(const std::string& address)
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
            this->accept(*this->acceptors.back());
            return port;
        }
    }
    return Error { .code = code, .step = "listen", .peer = address, .detail = {} };
}

void FrontServer::accept(asio::ip::tcp::acceptor& acceptor)
{
    acceptor.async_accept([this, &acceptor](const std::error_code& code, asio::ip::tcp::socket socket) {
        if (code == asio::error::operation_aborted)
            return;
        if (!code) {
            std::error_code ignored; // a connection that is already closed is detected by its first read
            const auto local = socket.local_endpoint(ignored);
            auto connection = std::make_shared<Connection>(++this->lastNumber, this->limits);
            connection->port = local.port();
            connection->since = monotonicNow();
            connection->link = std::make_shared<TcpLink>(std::move(socket), this->link);
            this->connections[connection->number] = connection;
            connection->link->start([this, connection](std::string_view bytes) { this->onData(connection, bytes); },
                [this, connection](LinkEnd how) {
                    if (how == LinkEnd::Broken)
                        connection->link->close(); // what is queued cannot be written
                    else
                        connection->link->closeAfterWrite();
                    this->removeConnection(connection);
                });
        }
        // It may have been closed since the connection was accepted.
        if (acceptor.is_open())
            this->accept(acceptor);
    });
}

void FrontServer::onData(const ConnectionPointer& connection, std::string_view bytes)
{
    constexpr std::size_t maxPipelined = 64U << 10U; // bytes received ahead before reading pauses
    if (connection->ended) {
        if (connection->discarded == 0 && !connection->refused && this->handlers.onConnectionClosed)
            this->handlers.onConnectionClosed({ .reason = CloseReason::Crossed,
                .unparsed = bytes.size(),
                .port = connection->port,
                .age = monotonicNow() - connection->since });
        connection->discarded += bytes.size();
        if (connection->discarded > maxDiscarded)
            connection->link->close();
        return;
    }
    connection->unread.append(bytes);
    if (connection->call.value != 0) {
        // A pipelined request is parsed after the answer to the current one is complete.
        if (connection->unread.size() > maxPipelined)
            connection->link->pauseReading(true);
        return;
    }
    this->parse(connection);
}

void FrontServer::parse(const ConnectionPointer& connection)
{
    Connection& current = *connection;
    if (current.unread.empty() || current.ended || current.call.value != 0)
        return;
    if (!current.parser.inMessage()) {
        current.since = monotonicNow();
        current.unreadUntil = {};
        current.request = {};
        current.request.firstByteAt = current.since;
        current.limits = this->limits;
        current.parser.setMaxHeadBytes(current.limits.headBytes.value);
    }
    const std::size_t used = current.parser.feed(current.unread, current);
    current.unread.erase(0, used);
    if (current.parser.fault())
        this->refuse(connection,
            *current.parser.fault() == WireFault::HeadTooLarge ? statusHeadTooLarge : statusBadRequest,
            CloseReason::Refused);
    else if (current.bodyTooLarge)
        this->refuse(connection, statusTooLarge, CloseReason::Refused);
    else if (current.complete)
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
    const bool isHandled = guarded("request", "caller", [&] { this->handlers.onRequest(std::move(current.request)); });
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
    this->sendHead(connection, status, {}, 0);
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

void FrontServer::sweepLingering(Milliseconds now)
{
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
    if (connection.call.value == 0 && reason != CloseReason::Refused && !connection.isReading())
        return;
    this->handlers.onConnectionClosed({ .reason = reason,
        .detail = detail,
        .call = connection.call,
        .head = inRequest || reason == CloseReason::Refused ? connection.request.head : WireHead {},
        .inRequest = inRequest,
        .unparsed = connection.unread.size(),
        .unread = connection.link->unreadBytes(),
        .port = connection.port,
        .age = monotonicNow() - connection.since });
}

void FrontServer::removeConnection(const ConnectionPointer& connection)
{
    if (connection->ended)
        return;
    connection->ended = true;
    const CallId call = connection->call;
    connection->call = {};
    this->connections.erase(connection->number);
    if (connection->link->pending() == 0 && !connection->link->isLingering())
        connection->link->close();
    else if (connection->link->open())
        this->closing.push_back(connection);
    if (call.value != 0 && this->calls.erase(call) > 0)
        this->handlers.onCallerDisconnected(call);
}

FrontServer::ConnectionPointer FrontServer::find(CallId id) const
{
    const auto found = this->calls.find(id);
    return found == this->calls.end() ? nullptr : found->second;
}

void FrontServer::sendHead(const ConnectionPointer& connection, std::uint16_t status,
    const std::vector<WireHeader>& headers, std::optional<std::size_t> length, BodyFraming framing)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reasonPhrase(status));
    text += "\r\n";
    for (const WireHeader& header : headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    if (length)
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    else if (framing == BodyFraming::Chunks)
        text += "Transfer-Encoding: chunked\r\n";
    connection->chunked = !length && framing == BodyFraming::Chunks;
    const bool drains = this->draining && connection->unread.empty() && connection->link->unreadBytes() == 0;
    connection->closeAfter = connection->closeAfter || drains || framing == BodyFraming::Connection;
    if (connection->closeAfter)
        text += "Connection: close\r\n";
    text += "\r\n";
    connection->link->write(text);
}

void FrontServer::answer(CallId id, std::uint16_t status, const std::vector<WireHeader>& headers, std::string_view body)
{
    const ConnectionPointer connection = this->find(id);
    if (!connection)
        return;
    this->sendHead(connection, status, headers, body.size());
    if (!body.empty())
        connection->link->write(body);
    this->completeAnswer(id, connection);
}

void FrontServer::begin(CallId id, std::uint16_t status, const std::vector<WireHeader>& headers, BodyFraming framing)
{
    if (const ConnectionPointer connection = this->find(id))
        this->sendHead(connection, status, headers, std::nullopt, framing);
}

void FrontServer::body(CallId id, std::string_view bytes)
{
    const ConnectionPointer connection = this->find(id);
    if (!connection || bytes.empty())
        return;
    if (!connection->chunked) {
        connection->link->write(bytes);
        return;
    }
    std::string chunk = chunkHead(bytes.size());
    chunk.append(bytes).append("\r\n");
    connection->link->write(chunk);
}

void FrontServer::finish(CallId id)
{
    const ConnectionPointer connection = this->find(id);
    if (!connection)
        return;
    if (connection->chunked)
        connection->link->write("0\r\n\r\n");
    this->completeAnswer(id, connection);
}

void FrontServer::completeAnswer(CallId id, const ConnectionPointer& connection)
{
    this->calls.erase(id);
    connection->call = {};
    connection->since = monotonicNow();
    connection->unreadUntil = {};
    connection->limits = this->limits;
    if (connection->closeAfter) {
        this->reportClosed(*connection, CloseReason::AfterAnswer);
        this->endConnection(connection);
        return;
    }
    connection->link->pauseReading(false);
    if (!connection->unread.empty())
        asio::post(this->io, [this, connection] { this->parse(connection); });
}

void FrontServer::abort(CallId id, const std::string& why)
{
    const ConnectionPointer connection = this->find(id);
    if (!connection)
        return;
    this->reportClosed(*connection, CloseReason::Aborted, why);
    this->calls.erase(id);
    connection->call = {};
    connection->link->reset();
    this->removeConnection(connection);
}

std::size_t FrontServer::pending(CallId id) const
{
    const ConnectionPointer connection = this->find(id);
    return connection ? connection->link->pending() : 0;
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
        if (connection->call.value == 0 && (readingToo || !connection->isReading()))
            idle.push_back(connection);
    for (const ConnectionPointer& connection : idle) {
        if (connection->parser.inMessage()) {
            this->refuse(connection, statusUnavailable, CloseReason::Drain);
            continue;
        }
        this->reportClosed(*connection, CloseReason::Drain);
        this->endConnection(connection);
    }
}

void FrontServer::sweep(Milliseconds now)
{
    constexpr Milliseconds unreadTime { 1000 };
    this->sweepLingering(now);
    std::vector<ConnectionPointer> expired;
    for (const auto& [number, connection] : this->connections) {
        if (connection->call.value != 0)
            continue;
        const bool inRequest = connection->parser.inMessage();
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
        this->reportClosed(*connection, CloseReason::Idle);
        this->endConnection(connection);
    }
}

} // namespace hickory
