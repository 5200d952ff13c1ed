#include "call_pool_io.h"

#include "guard_func.h"

#include <charconv>

namespace hickory {

namespace {

    constexpr Milliseconds keepAliveMargin { 400 }; ///< stop using a connection this long before the peer closes it

    /// @return the `timeout` parameter of the Keep-Alive header, or nothing when there is none
    std::optional<Milliseconds> keepAliveTimeout(const WireHead& head)
    {
        const std::string* value = head.find("Keep-Alive");
        const std::size_t at = value ? value->find("timeout=") : std::string::npos;
        if (at == std::string::npos)
            return std::nullopt;
        constexpr std::size_t prefix = 8;
        constexpr std::int64_t millisecondsPerSecond = 1000;
        std::int64_t seconds = 0;
        const char* end = value->data() + value->size();
        if (std::from_chars(value->data() + at + prefix, end, seconds).ec != std::errc {})
            return std::nullopt;
        return Milliseconds { seconds * millisecondsPerSecond };
    }

} // namespace

namespace {

    /// @param code of a connect that failed, was closed at its time-out or ended after it
    ConnectFailure connectFailureOf(const std::error_code& code)
    {
        if (code == std::errc::connection_refused || code == std::errc::connection_reset)
            return ConnectFailure::Refused;
        const bool isUnanswered = !code || code == asio::error::operation_aborted || code == std::errc::timed_out
            || code == std::errc::host_unreachable;
        return isUnanswered ? ConnectFailure::Unanswered : ConnectFailure::Local;
    }

} // namespace

/// A connection to a server and the call that uses it.
struct CallPool::Connection : WireSink {
    Connection()
        : parser(WireKind::Response, maxAnswerHead)
    {
    }

    void onHead(WireHead&& head) override
    {
        constexpr std::uint16_t firstFinalStatus = 200;
        this->skipping = head.status < firstFinalStatus || !this->sink || !this->sink->accepts(head);
        if (this->skipping)
            return;
        this->idleLimit = keepAliveTimeout(head);
        this->answered = true;
        const auto currentSink = this->sink;
        currentSink->onHead(std::move(head));
    }
    void onBody(std::string_view bytes) override
    {
        const auto currentSink = this->sink;
        if (this->skipping || !currentSink)
            return;
        this->bodyBytes += bytes.size();
        if (!this->rejected)
            this->rejected = !currentSink->onBody(bytes);
    }
    void onComplete() override { this->complete = !this->skipping; }
    /// @return whether the server sends too many bytes that are no body of an answer to the call
    bool overheadTooLarge() const { return this->receivedBytes > maxAnswerOverhead + 2 * this->bodyBytes; }

    std::string address; ///< "ip:port" of the server
    std::shared_ptr<TcpLink> link; ///< empty until connected
    std::unique_ptr<asio::ip::tcp::socket> connecting; ///< empty except while connecting
    std::unique_ptr<asio::steady_timer> connectTimer; ///< enforces the connect timeout
    WireParser parser;
    std::shared_ptr<CallSink> sink; ///< sink of the current call, empty when idle
    OutboundCallId call; ///< current call, 0 when idle
    std::string bytes; ///< request that waits to be written
    bool keep { true }; ///< may be reused after the answer
    bool skipping { false }; ///< the answer being read is interim or belongs to another request and is discarded
    bool answered { false }; ///< the head of the current call's answer was read
    bool rejected { false }; ///< the sink does not want more of the current call's answer
    bool complete { false }; ///< the current call's answer is complete
    std::size_t receivedBytes { 0 }; ///< received for the current call and parsed
    std::size_t bodyBytes { 0 }; ///< of these, passed to the sink
    Milliseconds idleSince { 0 }; ///< when the last call ended
    std::optional<Milliseconds> idleLimit; ///< idle timeout announced in the peer's Keep-Alive header
};

CallPool::CallPool(asio::io_context& io, const LinkOptions& link)
    : io(io)
    , link(link)
{
}

CallPool::~CallPool() = default;

CallPool::ConnectionPointer CallPool::takeIdle(const std::string& address, Milliseconds maxIdle)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    const Milliseconds now = monotonicNow();
    auto& connections = found->second;
    while (!connections.empty()) {
        ConnectionPointer connection = std::move(connections.back());
        connections.pop_back();
        const Milliseconds age = now - connection->idleSince;
        const bool withinPeerLimit = !connection->idleLimit || age + keepAliveMargin < *connection->idleLimit;
        // The end of the connection may have arrived while the loop was busy: no answer would come to a request on it.
        if (age <= maxIdle && withinPeerLimit && connection->link->quiet())
            return connection;
        connection->link->close();
    }
    return nullptr;
}

OutboundCallId CallPool::send(OutboundCall call, std::shared_ptr<CallSink> sink)
{
    const OutboundCallId id { ++this->lastId };
    ConnectionPointer connection = this->takeIdle(call.address, call.maxIdle);
    const bool reused = connection != nullptr;
    if (!reused) {
        connection = std::make_shared<Connection>();
        connection->address = call.address;
    }
    connection->sink = std::move(sink);
    connection->call = id;
    connection->bytes = std::move(call.bytes);
    connection->answered = false;
    connection->rejected = false;
    connection->complete = false;
    connection->receivedBytes = connection->bodyBytes = 0;
    connection->keep = call.keep;
    this->active[id] = connection;
    if (reused)
        this->writeRequest(connection);
    else
        this->connect(connection, call);
    return id;
}

void CallPool::connect(const ConnectionPointer& connection, const OutboundCall& call)
{
    const auto endpoint = parseEndpoint(call.address);
    if (!endpoint) {
        asio::post(this->io, [this, connection] { this->endCall(connection, CallEnd::NotSent); });
        return;
    }
    ++this->openedCount;
    connection->connecting = std::make_unique<asio::ip::tcp::socket>(this->io);
    connection->connectTimer = std::make_unique<asio::steady_timer>(this->io);
    connection->connectTimer->expires_after(std::chrono::milliseconds(call.connectTimeout.value));
    connection->connectTimer->async_wait([connection](const std::error_code& code) {
        std::error_code ignored; // the pending connect reports the failure
        if (!code && connection->connecting)
            connection->connecting->close(ignored);
    });
    const Milliseconds until = monotonicNow() + call.connectTimeout;
    connection->connecting->async_connect(*endpoint, [this, connection, until](const std::error_code& code) {
        connection->connectTimer.reset();
        const auto socket = std::move(connection->connecting);
        if (connection->call.value == 0)
            return; // cancelled in the meantime
        // If this process stood still, the connection may be there before the timer is handled. What the request was
        // decided on is as old as the decision.
        if (code || !socket->is_open() || monotonicNow() > until) {
            connection->sink->onConnectFailed(connectFailureOf(code));
            this->endCall(connection, CallEnd::NotSent);
            return;
        }
        connection->link = std::make_shared<TcpLink>(std::move(*socket), this->link);
        connection->link->start([this, connection](std::string_view bytes) { this->onData(connection, bytes); },
            [this, connection](LinkEnd end) { this->onLinkEnd(connection, end); });
        this->writeRequest(connection);
    });
}

void CallPool::writeRequest(const ConnectionPointer& connection)
{
    connection->link->write(connection->bytes);
    std::string().swap(connection->bytes); // a large body must not be kept with an idle connection
}

void CallPool::onData(const ConnectionPointer& connection, std::string_view bytes)
{
    if (connection->call.value == 0) {
        // Unsolicited bytes: the next answer could no longer be assigned to its request.
        connection->link->close();
        return;
    }
    const OutboundCallId call = connection->call;
    while (!bytes.empty() && connection->call == call && !connection->complete) {
        std::size_t used = 0;
        const bool isHandled
            = guarded("answer", connection->address, [&] { used = connection->parser.feed(bytes, *connection); });
        bytes.remove_prefix(used);
        connection->receivedBytes += used;
        const bool broken = !isHandled || connection->parser.fault() || connection->rejected
            || (!connection->complete && connection->overheadTooLarge());
        if (connection->call == call && broken) {
            this->endCall(connection, CallEnd::Broken);
            return;
        }
    }
    if (connection->call != call)
        return; // cancelled by the sink
    if (!connection->complete)
        return;
    // Not reusable when bytes follow the answer or the answer arrived before the whole request was written.
    const bool reusable
        = connection->keep && bytes.empty() && connection->parser.keepAlive() && connection->link->pending() == 0;
    if (reusable)
        this->keepIdle(connection);
    this->endCall(connection, CallEnd::Complete);
    if (!reusable && connection->link)
        connection->link->close();
}

void CallPool::onLinkEnd(const ConnectionPointer& connection, LinkEnd end)
{
    if (connection->call.value == 0) {
        connection->link->close();
        return;
    }
    const OutboundCallId call = connection->call;
    if (end == LinkEnd::Closed)
        connection->parser.finish(*connection);
    if (connection->call == call)
        this->endCall(connection, connection->complete ? CallEnd::Closed : CallEnd::Broken);
    connection->link->close();
}

void CallPool::keepIdle(const ConnectionPointer& connection)
{
    connection->idleSince = monotonicNow();
    this->idle[connection->address].push_back(connection);
}

void CallPool::endCall(const ConnectionPointer& connection, CallEnd end)
{
    if (connection->call.value == 0)
        return;
    this->active.erase(connection->call);
    connection->call = {};
    const auto sink = std::move(connection->sink);
    connection->sink = nullptr;
    if (end != CallEnd::Complete && connection->link)
        connection->link->close();
    guarded("answer-end", connection->address, [&] { sink->onEnd(end); });
}

void CallPool::cancel(OutboundCallId id)
{
    const auto found = this->active.find(id);
    if (found == this->active.end())
        return;
    const ConnectionPointer connection = found->second;
    this->active.erase(found);
    connection->call = {};
    connection->sink = nullptr;
    if (connection->link)
        connection->link->reset();
    if (connection->connecting) {
        std::error_code ignored; // the pending connect handler returns because the call id is 0
        connection->connecting->close(ignored);
    }
}

void CallPool::pauseReading(OutboundCallId id, bool paused)
{
    const auto found = this->active.find(id);
    if (found != this->active.end() && found->second->link)
        found->second->link->pauseReading(paused);
}

void CallPool::sweep(Milliseconds now)
{
    constexpr Milliseconds maxIdleTime { 10000 };
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(entry->second, [&](const ConnectionPointer& connection) {
            const Milliseconds age = now - connection->idleSince;
            const bool expired = !connection->link->open() || age > maxIdleTime
                || (connection->idleLimit && age + keepAliveMargin >= *connection->idleLimit);
            if (expired)
                connection->link->close();
            return expired;
        });
        entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

/// Sink that collects an answer for CallPool::fetch().
struct CallPool::Fetch : CallSink {
    explicit Fetch(asio::io_context& io)
        : timer(io)
    {
    }

    bool accepts(const WireHead&) override { return true; }
    void onHead(WireHead&& head) override { this->answer.head = std::move(head); }
    bool onBody(std::string_view bytes) override
    {
        this->answer.body.append(bytes);
        return this->answer.body.size() <= this->maxBody;
    }
    void onEnd(CallEnd end) override
    {
        this->timer.cancel();
        if (judgeAnswer({ .transfer = transferOf(end), .checked = true }) == AnswerVerdict::Complete)
            this->done(std::move(this->answer));
        else
            this->done(Error { .code = make_error_code(ErrorCode::Unavailable),
                .step = end == CallEnd::NotSent ? connectStep : "read-answer",
                .peer = this->address,
                .detail = {} });
    }

    asio::steady_timer timer; ///< enforces the timeout of the call
    std::string address; ///< "ip:port" of the server
    std::size_t maxBody { 0 }; ///< bytes; limit of the answer's body
    FetchResponse answer; ///< what was received so far
    std::function<void(Result<FetchResponse>)> done; ///< receives the result, called once
};

AnswerTransfer transferOf(CallEnd end)
{
    switch (end) {
    case CallEnd::Complete:
        return AnswerTransfer::Framed;
    case CallEnd::Closed:
        return AnswerTransfer::Closed;
    case CallEnd::NotSent:
    case CallEnd::Broken:
        break;
    }
    return AnswerTransfer::Broken;
}

bool succeeded(const Result<FetchResponse>& answer)
{
    constexpr std::uint16_t statusOk = 200;
    return answer && answer.value().head.status == statusOk;
}

std::string formatRequest(const FetchCall& call)
{
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + call.address + "\r\n";
    for (const WireHeader& header : call.headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    if (!call.body.empty() || call.method != "GET")
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n" + call.body;
}

void CallPool::fetch(FetchCall call, std::function<void(Result<FetchResponse>)> done)
{
    auto sink = std::make_shared<Fetch>(this->io);
    sink->address = call.address;
    sink->maxBody = call.maxAnswerBody;
    sink->done = std::move(done);
    const OutboundCallId id = this->send({ .address = call.address,
                                             .bytes = formatRequest(call),
                                             .connectTimeout = call.connectTimeout,
                                             .keep = call.keep },
        sink);
    sink->timer.expires_after(std::chrono::milliseconds(call.timeout.value));
    sink->timer.async_wait([this, id, sink](const std::error_code& code) {
        if (code || !this->active.contains(id))
            return;
        this->cancel(id);
        sink->done(Error { .code = make_error_code(ErrorCode::Timeout),
            .step = sink->answer.body.empty() ? "read-answer" : readBodyStep,
            .peer = sink->address,
            .detail = {} });
    });
}

} // namespace hickory
