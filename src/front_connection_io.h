#pragma once

#include "front_io.h"
#include "table/caller_limits.h"
#include "wire_parser_func.h"

#include <algorithm>
#include <charconv>

namespace hickory {

/// One connection of a caller and the request being read from it.
struct FrontServer::Connection : WireSink {
    Connection(std::uint64_t number, const FrontLimits& limits, std::shared_ptr<CallerMemory> memory, bool internal)
        : number(number)
        , parser(WireKind::Request, limits.headBytes.value)
        , limits(limits)
        , internal(internal)
        , held(std::move(memory), internal)
    {
    }

    /// @return whether bytes of a request were read
    bool holdsBytes() const { return this->parser.inMessage() || !this->unread.empty(); }
    /// @return whether a request has arrived in part, or whole and unread
    bool isReading() const { return this->holdsBytes() || this->link->unreadBytes() > 0; }
    /// @return whether the caller's host has acknowledged all answers. Its caller counts the idle time from when it has
    /// read the last one, which is later.
    bool isTaken()
    {
        this->taken = this->taken || (this->link->pending() == 0 && this->link->unacknowledgedBytes() == 0);
        return this->taken;
    }
    /// @return the connection as it is between two requests
    IdleConnection idleState(const FrontLimits& current, Milliseconds now) const
    {
        return { .answers = this->answers,
            .time = now - this->since,
            .limit = std::max(this->limits.idleTimeout, current.idleTimeout),
            .unacknowledged = this->link->unacknowledgedBytes() };
    }
    void onHead(WireHead&& received) override
    {
        this->request.head = std::move(received);
        this->headBytes = headCost(this->request.head);
        const std::string* length = this->request.head.find("Content-Length");
        // The parser has checked that it is a number.
        if (length)
            std::from_chars(length->data(), length->data() + length->size(), this->declaredBytes);
        this->declaredUnchecked = length != nullptr;
        this->bodyTooLarge = this->declaredBytes > this->limits.bodyBytes.value;
        const std::string* expect = this->request.head.find("Expect");
        this->expectsContinue = expect && equalNames(*expect, "100-continue");
    }
    void onBody(std::string_view bytes) override
    {
        if (this->request.body.size() + bytes.size() > this->limits.bodyBytes.value)
            this->bodyTooLarge = true;
        if (this->bodyTooLarge)
            return;
        if (this->request.body.empty())
            this->request.body.reserve(this->firstCapacity());
        this->request.body.append(bytes);
        this->newBytes += bytes.size();
        if (this->newBytes < progressBytes)
            return;
        this->newBytes = 0;
        this->progressAt = monotonicNow();
    }
    void onComplete() override
    {
        this->complete = true;
        // A body in chunks has up to twice its size in memory.
        if (this->request.body.capacity() > smallConnection)
            this->request.body.shrink_to_fit();
    }
    /// @return capacity of a new body that a few doublings make its declared length
    std::size_t firstCapacity() const
    {
        std::size_t capacity = this->declaredBytes;
        std::size_t doublings = 0;
        for (; capacity > progressBytes; capacity /= 2)
            ++doublings;
        return doublings == 0 ? capacity : (this->declaredBytes >> doublings) + 1;
    }
    /// Sends bytes of an answer.
    void send(std::string_view bytes)
    {
        const bool wasTaken = this->link->pending() == 0;
        this->link->write(bytes);
        // The caller's time to take them begins now.
        if (wasTaken && this->link->pending() > 0)
            this->progressAt = monotonicNow();
    }

    /// @return bytes that the connection takes in memory
    std::size_t cost() const
    {
        return connectionCost + this->unread.capacity() + this->link->queueCapacity() + this->parser.headMemory()
            + this->headBytes + this->request.body.capacity() + this->inFlightBytes;
    }
    /// Releases what is left of the request being read. Nothing may be parsed afterwards.
    void releaseRequest()
    {
        this->parser.dropHead();
        this->request.head = {};
        std::string().swap(this->request.body);
        std::string().swap(this->unread);
        this->headBytes = this->inFlightBytes = 0;
    }
    /// @return the connection as one of those that may be closed
    HoldingConnection holding() const
    {
        HoldingConnection result { .number = this->number,
            .bytes = this->held.bytes(),
            .progressAt = this->progressAt,
            .internal = this->internal };
        // A complete answer that was not taken could look complete after a close, even if the connection was ended.
        if (this->link->pending() > (this->call.value == 0 ? 0 : maxUnsentAnswers))
            result.use = ConnectionUse::Unsent;
        else if (this->ended)
            result.use = ConnectionUse::Ended;
        else if (this->call.value != 0)
            result.use = ConnectionUse::Waiting;
        else if (this->parser.inMessage() || !this->unread.empty()) {
            result.use = ConnectionUse::Reading;
            // It is refused and stays open for a moment.
            result.bytes -= std::min(result.bytes, connectionCost);
        } else
            result.progressAt = this->since;
        return result;
    }
    /// @return whether its caller takes its answers too slowly for the next request to be read
    bool isBackedUp() const { return this->link->pending() > maxUnsentAnswers; }

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
    bool endedIdle { false }; ///< ended between requests, so that what arrives is a request that crossed the end
    bool refused { false }; ///< ended by refuse(); the rest of the request may follow
    CallId call; ///< delivered request whose answer is not complete, 0 for none
    bool chunked { false }; ///< the answer in progress has a chunked body
    bool closeAfter { false }; ///< close the connection after the answer
    /// Monotonic time at which the request being read began, or the connection became idle: its last answer had ended,
    /// or was last seen not acknowledged.
    Milliseconds since { 0 };
    std::uint32_t answers { 0 }; ///< complete answers sent
    bool taken { true }; ///< see isTaken()
    Milliseconds statedIdleTimeout { 0 }; ///< idle time-out on which the last statement to the caller was based
    Milliseconds lingersUntil { 0 }; ///< monotonic time, 0 before its last byte was sent
    std::size_t discarded { 0 }; ///< bytes read since the connection was ended
    Milliseconds unreadUntil { 0 }; ///< end of the time in which what lay unread at the limit may complete the request
    bool internal { false }; ///< at an internal port
    bool declaredUnchecked { false }; ///< the declared length was not compared with the budget yet
    bool expectsContinue { false }; ///< the caller waits for status 100
    std::size_t declaredBytes { 0 }; ///< declared length of the body
    std::size_t headBytes { 0 }; ///< cost of the complete head of the request being read
    std::size_t inFlightBytes { 0 }; ///< cost of the delivered request until its answer is complete
    std::size_t newBytes { 0 }; ///< of the body, since progressAt
    Milliseconds progressAt { 0 }; ///< monotonic time at which the caller last made progress
    HeldForCaller held; ///< what the connection holds
};

} // namespace hickory
