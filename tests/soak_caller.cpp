#include "soak_caller.h"

namespace hickory::soak {

namespace {

    constexpr Milliseconds callerTimeout { 4000 }; ///< of callers
    constexpr Milliseconds keptFor { 2000 }; ///< a connection that was idle for longer is not used again

} // namespace

/// One request under way.
struct Callers::Call : CallSink {
    explicit Call(Callers& owner)
        : owner(owner)
        , timer(owner.io)
    {
    }

    bool accepts(const WireHead&) override { return true; }
    void onHead(WireHead&& received) override { this->head = std::move(received); }
    void onBody(std::string_view bytes) override { this->body.append(bytes); }
    void onEnd(CallEnd end) override
    {
        this->timer.cancel();
        this->owner.judge(*this, end);
    }

    Callers& owner; ///< who is told
    asio::steady_timer timer; ///< the caller's patience
    std::string id; ///< of the attempt
    std::string sent; ///< body
    bool calm { false }; ///< must be answered
    WireHead head; ///< of the answer
    std::string body; ///< of the answer
};

Callers::Callers(asio::io_context& io, Ledger& ledger, std::vector<std::string> fronts)
    : io(io)
    , ledger(ledger)
    , fronts(std::move(fronts))
    , pool(io, {})
{
}

void Callers::send(Ask ask, std::size_t entry, const std::string& key, bool calm)
{
    auto call = std::make_shared<Call>(*this);
    call->id = "attempt-" + std::to_string(++this->lastId);
    call->calm = calm;
    this->ledger.attempts[call->id] = { .ask = ask, .at = monotonicNow() };
    this->ledger.calm += calm ? 1 : 0;
    const bool stream = ask == Ask::Stream;
    call->sent = ask == Ask::Read ? std::string {} : "body of " + call->id;
    std::string text = (ask == Ask::Read ? "GET /r/x"
                               : stream  ? "POST /s/x"
                                         : "POST /b/x")
        + std::string(" HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: ") + call->id
        + "\r\nDeadline-Ms: " + std::to_string(callerTimeout.value) + "\r\nAuthorization: Bearer " + key + "\r\n";
    if (stream)
        text += "Model: soak-model\r\nToken-Count: 500,80\r\n";
    if (ask != Ask::Read)
        text += "Content-Length: " + std::to_string(call->sent.size()) + "\r\n";
    const OutCallId out = this->pool.send(
        { .address = this->fronts[entry], .bytes = text + "\r\n" + call->sent, .maxIdle = keptFor }, call);
    call->timer.expires_after(std::chrono::milliseconds(callerTimeout.value));
    call->timer.async_wait([this, out, weak = std::weak_ptr<Call>(call)](const std::error_code& code) {
        const auto kept = weak.lock();
        if (code || !kept)
            return;
        this->pool.cancel(out);
        this->judge(*kept, CallEnd::Broken);
    });
}

void Callers::judge(const Call& call, CallEnd end)
{
    Attempt& attempt = this->ledger.attempts.at(call.id);
    const auto breach = [&](const char* rule, const std::string& what) {
        this->ledger.breach(std::string(rule) + " " + call.id + " " + what);
    };
    const bool stream = attempt.ask == Ask::Stream;
    const bool begun = call.head.status == 200;
    attempt.status = end == CallEnd::Complete ? call.head.status : 0;
    if (begun) {
        const std::string* seal = call.head.find("Replica-Seal");
        if (!seal || *seal != "seal." + call.id)
            breach("MIXED", "has no proof of its own");
        std::string whole;
        if (stream)
            for (int number = 1; number <= eventsOf(call.id); ++number)
                whole += eventText(call.id, number);
        else
            whole = "answer of " + call.id + " " + call.sent;
        if (end == CallEnd::Complete ? call.body != whole : !whole.starts_with(call.body))
            breach(stream ? "ORDER" : "MIXED", "was answered \"" + call.body + "\"");
    }
    const bool good = end == CallEnd::Complete && begun;
    this->ledger.good += good ? 1 : 0;
    this->ledger.calmGood += good && call.calm ? 1 : 0;
    if (call.calm && !good)
        this->ledger.breach("CALM " + call.id + " got status " + std::to_string(call.head.status)
            + (end == CallEnd::Complete ? "" : ", not whole") + " after all faults had ended");
}

} // namespace hickory::soak
