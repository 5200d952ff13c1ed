#pragma once

#include "answer_end_func.h"
#include "event_splitter_func.h"
#include "platform_wire_func.h"
#include "relay_loop_io.h"
#include "table/answer_limits.h"

namespace hickory {

/// Request of a caller without a complete response.
struct RelayLoop::Call {
    WireHead head; ///< start line and headers as received
    std::string body; ///< without transfer coding
    std::string attemptId; ///< a response that carries another one belongs to another request
    std::map<SendId, std::shared_ptr<UpstreamCall>> sends; ///< to upstreams, but those that were cancelled
    bool streaming { false }; ///< the caller received the head of a stream
};

/// One send of a request to an upstream, and the response to it.
struct RelayLoop::UpstreamCall : CallSink {
    UpstreamCall(RelayLoop& loop, const SendToUpstream& effect, std::shared_ptr<Call> owner)
        : loop(loop)
        , call(effect.call)
        , sendId(effect.send)
        , owner(std::move(owner))
        , expectsStream(effect.expectsStream)
        , held(loop.answerMemory)
    {
    }

    bool accepts(const WireHead& answer) override { return platform::matchesAttempt(answer, this->owner->attemptId); }

    void onHead(WireHead&& received) override
    {
        this->head = std::move(received);
        ResponseStarted event = platform::decodeResponseHead(this->head);
        this->stream = event.sealed && isSuccess(this->head.status) && isEventStream(this->head, this->expectsStream);
        event.stream = this->stream;
        event.call = this->call;
        event.send = this->sendId;
        this->loop.dispatch(event);
    }

    bool onBody(std::string_view bytes) override
    {
        if (!this->stream) {
            this->body.append(bytes);
            return this->mayHold(this->body.capacity());
        }
        const std::string whole = this->splitter.take(bytes);
        if (whole.empty())
            return this->splitter.rest().size() <= maxEvent && this->mayHold(this->splitter.rest().size());
        if (!this->owner->streaming)
            this->body.append(whole);
        // The relay decides first whether the caller gets the events of this send.
        this->loop.dispatch(
            StreamProgressed { .call = this->call, .send = this->sendId, .lastEventId = this->splitter.lastId() });
        if (this->owner->streaming && this->loop.isInFlight(this->call, this->sendId))
            this->loop.front.body(this->call, whole);
        this->streamedBytes += whole.size();
        const std::size_t unsent = std::min(this->streamedBytes, this->loop.front.pending(this->call));
        return unsent <= maxUnsentStream
            && this->mayHold(this->body.capacity() + unsent + this->splitter.rest().size());
    }

    /// @param bytes that this answer holds now
    bool mayHold(std::size_t bytes)
    {
        this->held.set(bytes);
        return this->held.mayGoOn();
    }

    void onConnectFailed(ConnectFailure failure) override { this->failure = failure; }

    void onEnd(CallEnd end) override
    {
        this->loop.dispatch(ResponseEnded {
            .call = this->call, .send = this->sendId, .end = this->sendResult(end), .failure = this->failure });
    }

    SendResult sendResult(CallEnd end) const
    {
        if (end == CallEnd::NotSent)
            return SendResult::NotSent;
        switch (judgeAnswer({ .transfer = transferOf(end),
            .stream = this->stream,
            .hasEvents = this->splitter.hasEvents(),
            .insideEvent = this->splitter.insideEvent() })) {
        case AnswerVerdict::Complete:
            return SendResult::Complete;
        case AnswerVerdict::Unconfirmed:
            return SendResult::Unconfirmed;
        case AnswerVerdict::BrokenOff:
            break;
        }
        return SendResult::Broken;
    }

    RelayLoop& loop; ///< outlives this
    CallId call; ///< request that was sent
    SendId sendId; ///< identifies this send in events
    std::shared_ptr<Call> owner; ///< the caller's request
    bool expectsStream; ///< the request asked for a stream of events
    OutboundCallId out; ///< to cancel it in the pool
    WireHead head; ///< status and headers of the response
    std::string body; ///< bytes of the response that are not forwarded yet
    EventSplitter splitter; ///< cuts a stream into whole events
    bool stream { false }; ///< the response is a stream of events
    std::size_t streamedBytes { 0 }; ///< bytes of its whole events
    ConnectFailure failure { ConnectFailure::Local }; ///< why no connection was opened, if none was
    HeldAnswer held; ///< what this answer holds in memory
};

} // namespace hickory
