#include "soak_caller.h"

#include <sstream>

namespace hickory::soak {

namespace {

    constexpr Milliseconds maxConnectionIdle { 2000 }; ///< connections idle for longer are not reused

} // namespace

/// A request whose response is being received.
struct Callers::Call : CallSink {
    explicit Call(Callers& owner)
        : owner(owner)
        , timer(owner.io)
    {
    }

    bool accepts(const WireHead&) override { return true; }
    void onHead(WireHead&& received) override
    {
        this->head = std::move(received);
        if (!this->reads)
            this->owner.pool.pauseReading(this->out, true);
    }
    bool onBody(std::string_view bytes) override
    {
        this->body.append(bytes);
        return true;
    }
    void onEnd(CallEnd end) override
    {
        this->timer.cancel();
        this->owner.checkAnswer(*this, end);
    }

    Callers& owner; ///< checks the finished response
    asio::steady_timer timer; ///< ends the request when its caller leaves
    std::string id; ///< Attempt-Id header, key of Ledger::attempts
    OutboundCallId out; ///< to pause it in the pool
    bool reads { true }; ///< reads the response; otherwise only its head
    std::string requestBody; ///< empty for idempotent requests, which are sent with GET
    bool faultFree { false }; ///< sent while no fault is active, so anything but a complete 200 is a violation
    WireHead head; ///< status and headers of the response, status 0 until they arrive
    std::string body; ///< response bytes received so far
};

Callers::Callers(asio::io_context& io, Ledger& ledger, std::vector<std::string> entryAddresses)
    : io(io)
    , ledger(ledger)
    , entryAddresses(std::move(entryAddresses))
    , pool(io, {})
{
}

void Callers::send(const CallerRequest& request)
{
    const RequestKind requestKind = request.requestKind;
    auto call = std::make_shared<Call>(*this);
    call->id = "attempt-" + std::to_string(++this->lastId);
    call->faultFree = request.faultFree;
    Attempt attempt { .requestKind = requestKind,
        .at = monotonicNow(),
        .deadly = request.deadly,
        .entry = "entry-" + std::to_string(request.entry + 1),
        .deadline = request.deadline,
        .leavesEarly = request.leavesAfter.value > 0 };
    if (!request.promptParts.empty()) {
        std::ostringstream own;
        own << std::hex << 0xa00000 + this->lastId << ":" << std::dec << 300 + this->lastId % 600;
        attempt.promptParts = request.promptParts + "," + own.str();
    }
    if (this->ledger.deadlyPart.empty() && !request.soundAnswers)
        attempt.fault = answerFault(call->id, requestKind);
    call->reads = attempt.fault != AnswerFault::EndlessEvents;
    if (request.faultFree && !call->reads) {
        attempt.fault = AnswerFault::None;
        call->reads = true;
    }
    this->ledger.faultFreeRequests += request.faultFree ? 1 : 0;
    const bool stream = requestKind == RequestKind::Streaming;
    call->requestBody = requestKind == RequestKind::Idempotent ? std::string {} : "body of " + call->id;
    std::string text = (requestKind == RequestKind::Idempotent ? "GET /r/x"
                               : stream                        ? "POST /s/x"
                                                               : "POST /b/x")
        + std::string(" HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: ") + call->id + "\r\nDeadline-Ms: "
        + std::to_string(request.deadline.value) + "\r\nAuthorization: Bearer " + request.key + "\r\n";
    if (stream)
        text += "Model: soak-model\r\nToken-Count: 500,80\r\n";
    if (!attempt.promptParts.empty())
        text += "Prefix-Hash: " + attempt.promptParts + "\r\n";
    this->ledger.attempts[call->id] = std::move(attempt);
    if (requestKind != RequestKind::Idempotent)
        text += "Content-Length: " + std::to_string(call->requestBody.size()) + "\r\n";
    const OutboundCallId out = this->pool.send({ .address = this->entryAddresses[request.entry],
                                                   .bytes = text + "\r\n" + call->requestBody,
                                                   .maxIdle = maxConnectionIdle },
        call);
    call->out = out;
    const Milliseconds patience = request.leavesAfter.value > 0 ? request.leavesAfter : request.deadline;
    call->timer.expires_after(std::chrono::milliseconds(patience.value));
    call->timer.async_wait([this, out, weak = std::weak_ptr<Call>(call)](const std::error_code& code) {
        const auto pending = weak.lock();
        if (code || !pending)
            return;
        this->pool.cancel(out);
        this->ledger.attempts.at(pending->id).leftAt = monotonicNow();
        this->checkAnswer(*pending, CallEnd::Broken);
    });
}

void Callers::checkAnswer(const Call& call, CallEnd end)
{
    Attempt& attempt = this->ledger.attempts.at(call.id);
    const auto addViolation = [&](const char* rule, const std::string& what) {
        this->ledger.addViolation(std::string(rule) + " " + call.id + " " + what);
    };
    const bool stream = attempt.requestKind == RequestKind::Streaming;
    const bool responseStarted = call.head.status == 200;
    attempt.endedAt = monotonicNow();
    attempt.began = responseStarted && !call.body.empty();
    attempt.status = end == CallEnd::Complete ? call.head.status : 0;
    if (responseStarted && call.reads) {
        const std::string* seal = call.head.find("Replica-Seal");
        if (!seal || *seal != "seal." + call.id)
            addViolation("MIXED", "carries no Replica-Seal, or that of another request");
        std::string expectedBody;
        if (stream)
            for (int number = 1; number <= eventCount(call.id); ++number)
                expectedBody += eventText(call.id, number);
        else
            expectedBody = "answer of " + call.id + " " + call.requestBody;
        if (end == CallEnd::Complete ? call.body != expectedBody : !expectedBody.starts_with(call.body))
            addViolation(stream ? "ORDER" : "MIXED", "got the response body \"" + call.body + "\"");
    }
    const bool complete = end == CallEnd::Complete && responseStarted;
    this->ledger.answered += complete ? 1 : 0;
    this->ledger.faultFreeAnswered += complete && call.faultFree ? 1 : 0;
    if (call.faultFree && !complete)
        this->ledger.addViolation("UNANSWERED " + call.id + " got status " + std::to_string(call.head.status)
            + (end == CallEnd::Complete ? "" : ", incomplete") + " after all faults had ended");
}

} // namespace hickory::soak
