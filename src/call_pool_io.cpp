#include "call_pool_io.h"

#include <charconv>

namespace hickory {

namespace {

    constexpr std::size_t maxAnswerHead = 64U << 10U; ///< bytes of an answer's head
    constexpr Milliseconds keepAliveMargin { 400 }; ///< stop using a connection this long before the peer closes it

    /// @return the `timeout` of a Keep-Alive header
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

/// One connection to a server, with the call that uses it.
struct CallPool::Channel : WireSink {
    Channel()
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
        const auto keeper = this->sink;
        keeper->onHead(std::move(head));
    }
    void onBody(std::string_view bytes) override
    {
        const auto keeper = this->sink;
        if (!this->skipping && keeper)
            keeper->onBody(bytes);
    }
    void onComplete() override { this->complete = !this->skipping; }

    std::string address; ///< peer
    std::shared_ptr<TcpLink> link; ///< the connection, empty while connecting
    std::unique_ptr<asio::ip::tcp::socket> connecting; ///< socket while connecting
    std::unique_ptr<asio::steady_timer> connectTimer; ///< limits connecting
    WireParser parser; ///< of answers
    std::shared_ptr<CallSink> sink; ///< of the call under way
    OutCallId call; ///< under way, 0 when idle
    std::string bytes; ///< request, until it is written
    bool keep { true }; ///< may be used again after the answer
    bool skipping { false }; ///< the answer being read belongs to another request
    bool answered { false }; ///< the head of this call's answer was read
    bool complete { false }; ///< this call's answer is complete
    Milliseconds idleSince { 0 }; ///< when the last call ended
    std::optional<Milliseconds> idleLimit; ///< as stated by the peer
};

CallPool::CallPool(asio::io_context& io, const LinkOptions& link)
    : io(io)
    , link(link)
{
}

CallPool::~CallPool() = default;

CallPool::ChannelPointer CallPool::takeIdle(const std::string& address, Milliseconds maxIdle)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    const Milliseconds now = monotonicNow();
    auto& channels = found->second;
    while (!channels.empty()) {
        ChannelPointer channel = std::move(channels.back());
        channels.pop_back();
        const Milliseconds age = now - channel->idleSince;
        const bool withinPeerLimit = !channel->idleLimit || age + keepAliveMargin < *channel->idleLimit;
        if (channel->link->open() && age <= maxIdle && withinPeerLimit)
            return channel;
        channel->link->close();
    }
    return nullptr;
}

OutCallId CallPool::send(OutCall call, std::shared_ptr<CallSink> sink)
{
    const OutCallId id { ++this->lastId };
    ChannelPointer channel = this->takeIdle(call.address, call.maxIdle);
    const bool reused = channel != nullptr;
    if (!reused) {
        channel = std::make_shared<Channel>();
        channel->address = call.address;
    }
    channel->sink = std::move(sink);
    channel->call = id;
    channel->bytes = std::move(call.bytes);
    channel->answered = false;
    channel->complete = false;
    channel->keep = call.keep;
    this->active[id] = channel;
    if (reused)
        this->begin(channel);
    else
        this->connect(channel, call);
    return id;
}

void CallPool::connect(const ChannelPointer& channel, const OutCall& call)
{
    const auto endpoint = parseEndpoint(call.address);
    if (!endpoint) {
        asio::post(this->io, [this, channel] { this->endCall(channel, CallEnd::NotSent); });
        return;
    }
    ++this->openedCount;
    channel->connecting = std::make_unique<asio::ip::tcp::socket>(this->io);
    channel->connectTimer = std::make_unique<asio::steady_timer>(this->io);
    channel->connectTimer->expires_after(std::chrono::milliseconds(call.connectTimeout.value));
    channel->connectTimer->async_wait([channel](const std::error_code& code) {
        std::error_code ignored; // the pending connect reports the end
        if (!code && channel->connecting)
            channel->connecting->close(ignored);
    });
    channel->connecting->async_connect(*endpoint, [this, channel](const std::error_code& code) {
        channel->connectTimer.reset();
        const auto socket = std::move(channel->connecting);
        if (channel->call.value == 0)
            return; // cancelled meanwhile
        if (code || !socket->is_open()) {
            this->endCall(channel, CallEnd::NotSent);
            return;
        }
        channel->link = std::make_shared<TcpLink>(std::move(*socket), this->link);
        channel->link->start([this, channel](std::string_view bytes) { this->onData(channel, bytes); },
            [this, channel](LinkEnd end) { this->onLinkEnd(channel, end); });
        this->begin(channel);
    });
}

void CallPool::begin(const ChannelPointer& channel)
{
    channel->link->write(channel->bytes);
    channel->bytes.clear();
}

void CallPool::onData(const ChannelPointer& channel, std::string_view bytes)
{
    if (channel->call.value == 0) {
        // Bytes that nobody asked for: the connection cannot be trusted any more.
        channel->link->close();
        return;
    }
    const OutCallId call = channel->call;
    while (!bytes.empty() && channel->call == call && !channel->complete) {
        bytes.remove_prefix(channel->parser.feed(bytes, *channel));
        if (channel->call == call && channel->parser.fault()) {
            this->endCall(channel, CallEnd::Broken);
            return;
        }
    }
    if (channel->call != call)
        return; // cancelled by the sink
    if (!channel->complete)
        return;
    // Bytes behind the answer, or an answer that came before the whole request was read: not reused.
    const bool reusable
        = channel->keep && bytes.empty() && channel->parser.keepAlive() && channel->link->pending() == 0;
    if (reusable)
        this->keep(channel);
    this->endCall(channel, CallEnd::Complete);
    if (!reusable && channel->link)
        channel->link->close();
}

void CallPool::onLinkEnd(const ChannelPointer& channel, LinkEnd end)
{
    if (channel->call.value == 0) {
        channel->link->close();
        return;
    }
    const OutCallId call = channel->call;
    if (end == LinkEnd::Closed)
        channel->parser.finish(*channel);
    if (channel->call == call)
        this->endCall(channel, channel->complete ? CallEnd::Complete : CallEnd::Broken);
    channel->link->close();
}

void CallPool::keep(const ChannelPointer& channel)
{
    channel->idleSince = monotonicNow();
    this->idle[channel->address].push_back(channel);
}

void CallPool::endCall(const ChannelPointer& channel, CallEnd end)
{
    if (channel->call.value == 0)
        return;
    this->active.erase(channel->call);
    channel->call = {};
    const auto sink = std::move(channel->sink);
    channel->sink = nullptr;
    if (end != CallEnd::Complete && channel->link)
        channel->link->close();
    sink->onEnd(end);
}

void CallPool::cancel(OutCallId id)
{
    const auto found = this->active.find(id);
    if (found == this->active.end())
        return;
    const ChannelPointer channel = found->second;
    this->active.erase(found);
    channel->call = {};
    channel->sink = nullptr;
    if (channel->link)
        channel->link->reset();
    if (channel->connecting) {
        std::error_code ignored; // the pending connect sees that it was cancelled
        channel->connecting->close(ignored);
    }
}

void CallPool::pauseReading(OutCallId id, bool paused)
{
    const auto found = this->active.find(id);
    if (found != this->active.end() && found->second->link)
        found->second->link->pauseReading(paused);
}

void CallPool::sweep(Milliseconds now)
{
    constexpr Milliseconds maxKept { 10000 };
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(entry->second, [&](const ChannelPointer& channel) {
            const Milliseconds age = now - channel->idleSince;
            const bool over = !channel->link->open() || age > maxKept
                || (channel->idleLimit && age + keepAliveMargin >= *channel->idleLimit);
            if (over)
                channel->link->close();
            return over;
        });
        entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

/// Gathers a whole answer.
struct CallPool::Fetch : CallSink {
    explicit Fetch(asio::io_context& io)
        : timer(io)
    {
    }

    bool accepts(const WireHead&) override { return true; }
    void onHead(WireHead&& head) override { this->answer.head = std::move(head); }
    void onBody(std::string_view bytes) override { this->answer.body.append(bytes); }
    void onEnd(CallEnd end) override
    {
        this->timer.cancel();
        if (end == CallEnd::Complete)
            this->done(std::move(this->answer));
        else
            this->done(Error { .code = make_error_code(ErrorCode::Unavailable),
                .step = end == CallEnd::NotSent ? "connect" : "read-answer",
                .peer = this->address,
                .detail = {} });
    }

    asio::steady_timer timer; ///< limits the call
    std::string address; ///< peer
    FetchAnswer answer; ///< under construction
    std::function<void(Result<FetchAnswer>)> done; ///< told once
};

bool succeeded(const Result<FetchAnswer>& answer)
{
    constexpr std::uint16_t statusOk = 200;
    return answer && answer.value().head.status == statusOk;
}

std::string requestText(const FetchCall& call)
{
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + call.address + "\r\n";
    for (const WireHeader& header : call.headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    if (!call.body.empty() || call.method != "GET")
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n" + call.body;
}

void CallPool::fetch(FetchCall call, std::function<void(Result<FetchAnswer>)> done)
{
    auto sink = std::make_shared<Fetch>(this->io);
    sink->address = call.address;
    sink->done = std::move(done);
    const OutCallId id = this->send({ .address = call.address,
                                        .bytes = requestText(call),
                                        .connectTimeout = call.connectTimeout,
                                        .keep = call.keep },
        sink);
    sink->timer.expires_after(std::chrono::milliseconds(call.timeout.value));
    sink->timer.async_wait([this, id, sink](const std::error_code& code) {
        if (code || !this->active.contains(id))
            return;
        this->cancel(id);
        sink->done(Error {
            .code = make_error_code(ErrorCode::Timeout), .step = "read-answer", .peer = sink->address, .detail = {} });
    });
}

} // namespace hickory
