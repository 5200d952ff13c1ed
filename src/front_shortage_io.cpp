#include "front_connection_io.h"

#include <algorithm>

// What a FrontServer does when memory or descriptors for callers are short; caller_memory_func.h decides.

namespace hickory {

namespace {

    constexpr std::uint16_t statusTooLarge = 413;
    constexpr std::uint16_t statusUnavailable = 503;
    constexpr int maxReplaceAttempts = 4; ///< searches for one connection: each visits all

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

void FrontServer::dropEnded(const ConnectionPointer& connection)
{
    // An answer that was not taken must not look complete.
    if (connection->link->pending() > 0)
        connection->link->reset();
    else
        connection->link->close();
    std::erase(this->closing, connection);
    connection->held.set(0);
}

bool FrontServer::closeForShortage(std::uint64_t number, CloseReason reason)
{
    const auto ended = std::find_if(this->closing.begin(), this->closing.end(),
        [&](const ConnectionPointer& connection) { return connection->number == number; });
    if (ended != this->closing.end()) {
        this->dropEnded(ConnectionPointer(*ended));
        return true;
    }
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return false;
    const ConnectionPointer connection = found->second;
    const ConnectionUse use = connection->holding().use;
    if (use == ConnectionUse::Idle && connection->link->unreadBytes() > 0)
        return false;
    if (use == ConnectionUse::Reading) {
        // Its request was never complete, so it did not run.
        this->refuse(connection, statusUnavailable, reason);
        if (reason == CloseReason::Descriptors)
            this->dropEnded(connection);
        return true;
    }
    if (use == ConnectionUse::Idle && (reason == CloseReason::Descriptors || this->closing.size() < maxUncounted)) {
        // A request that crosses the close must not take from its caller what it has not read yet. For descriptors, the
        // next connection that is opened closes this one if it is still there: there is one more at most.
        this->endIdle(connection, reason);
        if (reason == CloseReason::Memory)
            connection->held.set(0);
        return true;
    }
    this->reportClosed(*connection, reason);
    if (connection->link->pending() > 0)
        connection->link->reset();
    this->removeConnection(connection);
    this->dropEnded(connection);
    return true;
}

bool FrontServer::replaceOne(bool internal)
{
    const Milliseconds now = monotonicNow();
    Milliseconds& next = internal ? this->nextInternalReplace : this->nextReplace;
    if (now < next)
        return false;
    std::vector<HoldingConnection> all = this->holdings();
    bool isOneDropped = false;
    for (int attempt = 0; attempt < maxReplaceAttempts; ++attempt) {
        const auto chosen = connectionToReplace(all, internal, now);
        if (!chosen)
            break;
        const auto found = std::find_if(
            all.begin(), all.end(), [&](const HoldingConnection& connection) { return connection.number == *chosen; });
        const bool isEnded = found->use == ConnectionUse::Ended;
        all.erase(found);
        if (!this->closeForShortage(*chosen, CloseReason::Descriptors))
            continue;
        // An ended one may have made way for an earlier connection.
        if (!isEnded || mayOpen(*this->memory, internal))
            return true;
        isOneDropped = true;
    }
    if (!isOneDropped)
        next = now + searchInterval;
    return isOneDropped;
}

bool FrontServer::makeRoom(const ConnectionPointer& connection, std::size_t more)
{
    const MissingMemory missing = missingMemory(*this->memory, connection->held.bytes(), more, connection->internal);
    const std::size_t missed = std::max(missing.bytes, missing.large);
    if (missed == 0)
        return true;
    const Milliseconds now = monotonicNow();
    const bool isRepeated = now < this->nextFreeSearch;
    if (isRepeated && missed >= this->missedBytes)
        return false;
    const std::vector<HoldingConnection> order = connectionsToFree(this->holdings(), now);
    const auto count = closesNeeded(order, missing, maxClosedAtOnce);
    const auto isOwn = [&](const HoldingConnection& other) { return other.number == connection->number; };
    // None is closed for a request that is refused all the same.
    if (!count || std::any_of(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(*count), isOwn)) {
        this->missedBytes = isRepeated ? std::min(this->missedBytes, missed) : missed;
        this->nextFreeSearch = now + searchInterval;
        return false;
    }
    std::size_t closed = 0;
    for (const HoldingConnection& other : order) {
        if (closed == maxClosedAtOnce || mayHold(*this->memory, connection->held.bytes(), more, connection->internal))
            break;
        if (!isOwn(other) && this->closeForShortage(other.number, CloseReason::Memory))
            ++closed;
    }
    return mayHold(*this->memory, connection->held.bytes(), more, connection->internal);
}

bool FrontServer::isOverBudget() const
{
    return this->memory->held > this->memory->budget.bytes + this->memory->budget.internalReserve;
}

void FrontServer::relieve()
{
    this->reliefScheduled = false;
    const Milliseconds now = monotonicNow();
    if (!this->isOverBudget() || now < this->nextRelief)
        return;
    std::size_t closed = 0;
    for (const HoldingConnection& connection : connectionsToFree(this->holdings(), now)) {
        if (closed == maxClosedAtOnce || !this->isOverBudget())
            break;
        if (this->closeForShortage(connection.number, CloseReason::Memory))
            ++closed;
    }
    if (closed == 0)
        this->nextRelief = now + searchInterval;
    else
        this->scheduleRelief();
}

void FrontServer::scheduleRelief()
{
    if (this->reliefScheduled || !this->isOverBudget())
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
