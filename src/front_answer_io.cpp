#include "front_connection_io.h"
#include "front_idle_func.h"

#include <array>
#include <charconv>

namespace hickory {

namespace {

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
    else {
        // Callers do not read the configuration; without this they act on a limit of their own.
        text += "Keep-Alive: " + keepAliveValue(this->limits.idleTimeout) + "\r\n";
        connection->statedIdleTimeout = this->limits.idleTimeout;
    }
    text += "\r\n";
    connection->send(text);
    this->updateHeld(*connection);
}

void FrontServer::answer(CallId id, std::uint16_t status, const std::vector<WireHeader>& headers, std::string_view body)
{
    const ConnectionPointer connection = this->find(id);
    if (!connection)
        return;
    this->sendHead(connection, status, headers, body.size());
    if (!body.empty())
        connection->send(body);
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
    if (!connection->chunked)
        connection->send(bytes);
    else {
        std::string chunk = chunkHead(bytes.size());
        chunk.append(bytes).append("\r\n");
        connection->send(chunk);
    }
    this->updateHeld(*connection);
    this->scheduleRelief();
}

void FrontServer::finish(CallId id)
{
    const ConnectionPointer connection = this->find(id);
    if (!connection)
        return;
    if (connection->chunked)
        connection->send("0\r\n\r\n");
    this->completeAnswer(id, connection);
}

void FrontServer::completeAnswer(CallId id, const ConnectionPointer& connection)
{
    this->calls.erase(id);
    connection->call = {};
    connection->since = monotonicNow();
    connection->unreadUntil = {};
    ++connection->answers;
    connection->taken = false;
    connection->limits = this->limits;
    connection->limits.idleTimeout = std::max(this->limits.idleTimeout, connection->statedIdleTimeout);
    connection->inFlightBytes = 0;
    connection->progressAt = connection->since;
    this->updateHeld(*connection);
    this->scheduleRelief();
    if (connection->closeAfter) {
        this->reportClosed(*connection, CloseReason::AfterAnswer);
        this->endConnection(connection);
        return;
    }
    if (connection->isBackedUp())
        return; // goes on once its caller has taken most of the answers
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

} // namespace hickory
