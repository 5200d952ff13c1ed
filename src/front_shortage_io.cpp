#include "front_connection_io.h"

#include <algorithm>

// What a FrontServer does when memory or descriptors for callers are short; caller_memory_func.h decides.

namespace hickory {

namespace {

    constexpr std::uint16_t statusTooLarge = 413;
    constexpr std::uint16_t statusUnavailable = 503;
    constexpr int maxClosedAtOnce = 16; ///< connections closed for one other: each needs a search through all

} // namespace

void FrontServer::acceptLater(asio::ip::tcp::acceptor& acceptor, bool internal)
{
    this->replaceOne(internal);
    auto timer = std::make_shared<asio::steady_timer>(this->io);
    timer->expires_after(std::chrono::milliseconds(acceptPause.value));
    timer->async_wait([this, &acceptor, internal, timer](const std::error_code&) {
        if (acceptor.is_open())
            this->accept(acceptor, internal);
    });
}

void FrontServer::updateHeld(Connection& connection) { connection.held.set(connection.cost()); }

std::vector<HoldingConnection> FrontServer::holdings() const
{
    std::vector<HoldingConnection> all;
    all.reserve(this->connections.size() + this->closing.size());
    for (const auto& [number, connection] : this->connections)
        all.push_back(connection->holding());
    for (const ConnectionPointer& connection : this->closing)
        if (connection->link->open())
            all.push_back(connection->holding());
    return all;
}

void FrontServer::closeForShortage(std::uint64_t number, CloseReason reason)
{
    const auto ended = std::find_if(this->closing.begin(), this->closing.end(),
        [&](const ConnectionPointer& connection) { return connection->number == number; });
    if (ended != this->closing.end()) {
        const ConnectionPointer connection = *ended;
        this->closing.erase(ended);
        connection->link->close();
        connection->held.set(0);
        return;
    }
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    const ConnectionPointer connection = found->second;
    if (connection->holding().use == ConnectionUse::Reading) {
        // Its request was never complete, so it did not run.
        this->refuse(connection, statusUnavailable, reason);
        if (reason == CloseReason::Descriptors)
            connection->link->close();
        return;
    }
    this->reportClosed(*connection, reason);
    // An answer that was not taken must not look complete.
    if (connection->link->pending() > 0)
        connection->link->reset();
    else
        connection->link->close();
    this->removeConnection(connection);
    connection->held.set(0);
}

bool FrontServer::replaceOne(bool internal)
{
    const Milliseconds now = monotonicNow();
    if (now < this->nextSearch)
        return false;
    const auto chosen = connectionToReplace(this->holdings(), internal, now);
    if (!chosen)
        this->nextSearch = now + searchInterval;
    else
        this->closeForShortage(*chosen, CloseReason::Descriptors);
    return chosen.has_value();
}

bool FrontServer::makeRoom(const ConnectionPointer& connection, std::size_t more)
{
    for (int closed = 0; !mayHold(*this->memory, connection->held.bytes(), more, connection->internal); ++closed) {
        const Milliseconds now = monotonicNow();
        if (closed == maxClosedAtOnce || now < this->nextSearch)
            return false;
        const auto chosen = connectionToFree(this->holdings(), now);
        if (!chosen)
            this->nextSearch = now + searchInterval;
        if (!chosen || *chosen == connection->number)
            return false;
        this->closeForShortage(*chosen, CloseReason::Memory);
    }
    return true;
}

void FrontServer::relieve()
{
    this->reliefScheduled = false;
    const Milliseconds now = monotonicNow();
    while (this->memory->held > this->memory->budget.bytes && now >= this->nextSearch) {
        const auto chosen = connectionToFree(this->holdings(), now);
        if (chosen)
            this->closeForShortage(*chosen, CloseReason::Memory);
        else
            this->nextSearch = now + searchInterval;
    }
}

void FrontServer::scheduleRelief()
{
    if (this->reliefScheduled || this->memory->held <= this->memory->budget.bytes)
        return;
    this->reliefScheduled = true;
    asio::post(this->io, [this] { this->relieve(); });
}

bool FrontServer::refuseOversized(const ConnectionPointer& connection)
{
    Connection& current = *connection;
    if (current.bodyTooLarge) {
        this->refuse(connection, statusTooLarge, CloseReason::Refused);
        return true;
    }
    std::size_t more = 0;
    if (current.complete) // the copy that is made while it is sent to an upstream
        more = current.headBytes + current.request.body.capacity();
    else if (current.declaredUnchecked && current.declaredBytes > current.request.body.size())
        more = current.declaredBytes - current.request.body.size();
    if (!this->makeRoom(connection, more)) {
        current.complete = false;
        this->refuse(connection, statusUnavailable, CloseReason::Memory);
        return true;
    }
    if (std::exchange(current.expectsContinue, false))
        current.link->write("HTTP/1.1 100 Continue\r\n\r\n");
    if (current.parser.inMessage() && current.headBytes > 0)
        current.declaredUnchecked = false;
    return false;
}

} // namespace hickory
