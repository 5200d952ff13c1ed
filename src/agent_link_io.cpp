#include "agent_link_io.h"

#include "rpc_codec_func.h"

#include <kj/debug.h>

#include <algorithm>
#include <vector>

namespace hickory {

namespace {

    /// A heartbeat that is not answered within this time counts as missed.
    constexpr Milliseconds heartbeatTimeout { 1000 };

    /// An agent with attempts in flight that was silent for this long gets a heartbeat at once.
    constexpr Milliseconds probeAfterSilence { 1000 };

    /// A slow caller's part is offered again after this time.
    constexpr Milliseconds fullRetryDelay { 5 };

    /// Receives the parts of one attempt's answer.
    class SinkServer final : public rpc::ResponseSink::Server {
    public:
        struct Options {
            RpcLoop& loop; ///< for waiting
            RequestTable& table; ///< takes the parts
            RequestId request; ///< the request
            Attempt attempt; ///< its attempt
            HostId host; ///< agent that sends
            std::function<void()> heard; ///< called for each part
            std::function<void(EntryEventBody)> onEvent; ///< FirstPart
        };

        explicit SinkServer(Options options)
            : options(std::move(options))
        {
        }

        kj::Promise<void> part(PartContext context) override
        {
            const auto params = context.getParams();
            const auto data = params.getData();
            this->options.heard();
            return this->offer(params.getSequence(), { reinterpret_cast<const char*>(data.begin()), data.size() },
                params.getStatus(), params.getContentType().cStr());
        }

    private:
        kj::Promise<void> offer(std::uint32_t sequence, std::string data, std::uint16_t status, std::string contentType)
        {
            switch (this->options.table.takePart(
                this->options.request, this->options.attempt, sequence, data, status, contentType)) {
            case PartResult::Full:
                return this->options.loop.timer()
                    .afterDelay(fullRetryDelay.value * kj::MILLISECONDS)
                    .then([this, sequence, data = std::move(data), status,
                              contentType = std::move(contentType)]() mutable {
                        return this->offer(sequence, std::move(data), status, std::move(contentType));
                    });
            case PartResult::First:
            case PartResult::Taken:
                if (!this->firstSeen) {
                    this->firstSeen = true;
                    this->options.onEvent(FirstPart { .request = this->options.request,
                        .attempt = this->options.attempt,
                        .host = this->options.host });
                }
                return kj::READY_NOW;
            case PartResult::Dropped:
                break;
            }
            return kj::READY_NOW;
        }

        Options options; ///< fixed
        bool firstSeen { false }; ///< FirstPart was sent
    };

    /// Receives status changes that an agent sends on its own.
    class ListenerServer final : public rpc::AgentListener::Server {
    public:
        explicit ListenerServer(std::function<void(AgentStatus)> onStatus)
            : onStatus(std::move(onStatus))
        {
        }

        kj::Promise<void> status(StatusContext context) override
        {
            this->onStatus(decode(context.getParams().getStatus()));
            return kj::READY_NOW;
        }

    private:
        std::function<void(AgentStatus)> onStatus; ///< called for each status
    };

    DispatchResult unreachable(const char* reason, DispatchResultKind kind = DispatchResultKind::Unknown)
    {
        return { .kind = kind, .reason = reason };
    }

} // namespace

AgentLinks::AgentLinks(HostId self, RpcLoop& loop, RequestTable& table, std::function<void(EntryEventBody)> onEvent)
    : self(std::move(self))
    , loop(loop)
    , table(table)
    , onEvent(std::move(onEvent))
{
}

void AgentLinks::connect(const ConnectAgent& effect)
{
    if (this->links.contains(effect.host))
        return;
    const std::uint64_t serial = this->nextSerial++;
    this->links[effect.host].serial = serial;
    const HostId host = effect.host;
    auto connecting
        = this->loop.connect(effect.address, [this, host, serial] { this->lost(host, serial, "connection-lost"); })
              .then([this, host, serial](
                        RpcLoop::Connection&& connection) { this->attached(host, serial, std::move(connection)); },
                  [this, host, serial](kj::Exception&&) { this->lost(host, serial, "connect-failed"); });
    this->loop.detach(kj::mv(connecting));
}

void AgentLinks::attached(const HostId& host, std::uint64_t serial, RpcLoop::Connection connection)
{
    const auto found = this->links.find(host);
    if (found == this->links.end() || found->second.serial != serial)
        return;
    Link& link = found->second;
    link.handle = std::move(connection.handle);
    auto agent = connection.bootstrap.castAs<rpc::Agent>();
    link.agent = agent;
    auto request = agent.attachRequest();
    request.setEntry(this->self.value);
    request.setListener(kj::heap<ListenerServer>(
        [this, host, serial](AgentStatus status) { this->statusSeen(host, serial, std::move(status)); }));
    auto answered = this->loop
                        .within(heartbeatTimeout,
                            request.send().then([](auto&& response) { return decode(response.getStatus()); }))
                        .then(
                            [this, host, serial](AgentStatus&& status) {
                                if (Link* link = this->heard(host, serial))
                                    link->status = status;
                                this->onEvent(AgentConnected { .host = host, .status = std::move(status) });
                            },
                            [this, host, serial](kj::Exception&&) { this->lost(host, serial, "attach-failed"); });
    this->loop.detach(kj::mv(answered));
}

AgentLinks::Link* AgentLinks::heard(const HostId& host, std::uint64_t serial)
{
    const auto found = this->links.find(host);
    if (found == this->links.end() || found->second.serial != serial)
        return nullptr;
    found->second.lastHeard = monotonicNow();
    return &found->second;
}

void AgentLinks::statusSeen(const HostId& host, std::uint64_t serial, AgentStatus status)
{
    if (Link* link = this->heard(host, serial))
        link->status = status;
    this->onEvent(AgentStatusReceived { .status = std::move(status) });
}

void AgentLinks::lost(const HostId& host, std::uint64_t serial, const std::string& reason)
{
    const auto found = this->links.find(host);
    if (found != this->links.end() && found->second.serial == serial)
        this->disconnect(host, reason);
}

void AgentLinks::disconnect(const HostId& host, const std::string& reason)
{
    const auto found = this->links.find(host);
    if (found == this->links.end())
        return;
    // The handle is dropped in a later turn: this may run inside a callback of the connection itself.
    this->loop.detach(kj::evalLater([handle = std::move(found->second.handle)] {}));
    this->links.erase(found);
    std::vector<FlightKey> ended;
    for (const auto& [key, flight] : this->flights)
        if (flight.host == host)
            ended.push_back(key);
    this->onEvent(AgentDisconnected { .host = host, .reason = reason });
    for (const FlightKey& key : ended)
        this->endFlight(key, unreachable(reason.c_str()));
}

void AgentLinks::endFlight(FlightKey key, DispatchResult result)
{
    const auto found = this->flights.find(key);
    if (found == this->flights.end())
        return;
    const HostId host = found->second.host;
    const auto link = this->links.find(host);
    if (link != this->links.end() && link->second.serial == found->second.serial)
        --link->second.attempts;
    this->flights.erase(found);
    const std::uint32_t delivered = this->table.closeAttempt(key.first, key.second);
    this->onEvent(AttemptEnded { .request = key.first,
        .attempt = key.second,
        .host = host,
        .result = std::move(result),
        .delivered = delivered });
}

void AgentLinks::dispatch(const DispatchAttempt& effect)
{
    const FlightKey key { effect.call.key.request, effect.call.key.attempt };
    const auto pending = this->table.find(key.first);
    const auto found = this->links.find(effect.host);
    const Milliseconds now = monotonicNow();
    this->flights[key] = { .host = effect.host, .dispatched = now, .acceptTimeout = effect.acceptTimeout };
    if (!pending || found == this->links.end() || found->second.agent == nullptr
        || !this->table.openAttempt(key.first, key.second)) {
        this->endFlight(key, unreachable("not-connected", DispatchResultKind::NotRun));
        return;
    }
    Link& link = found->second;
    const std::uint64_t serial = link.serial;
    this->flights[key].serial = serial;
    ++link.attempts;
    const HostId host = effect.host;
    auto request = KJ_ASSERT_NONNULL(link.agent).dispatchRequest();
    encode(effect.call, pending->payload, request.initCall());
    request.setSink(kj::heap<SinkServer>(SinkServer::Options {
        .loop = this->loop,
        .table = this->table,
        .request = key.first,
        .attempt = key.second,
        .host = host,
        .heard = [this, host, serial] { this->heard(host, serial); },
        .onEvent = this->onEvent,
    }));
    auto ended = request.send()
                     .then([](auto&& response) { return decode(response.getResult()); })
                     .then(
                         [this, key, host, serial](DispatchResult&& result) {
                             this->heard(host, serial);
                             this->endFlight(key, std::move(result));
                         },
                         [this, key](kj::Exception&&) { this->endFlight(key, unreachable("rpc-failed")); });
    this->loop.detach(kj::mv(ended));
}

void AgentLinks::cancel(const CancelAttempt& effect)
{
    const FlightKey key { effect.request, effect.attempt };
    this->flights.erase(key);
    this->table.closeAttempt(effect.request, effect.attempt);
    const auto found = this->links.find(effect.host);
    if (found == this->links.end() || found->second.agent == nullptr)
        return;
    if (found->second.attempts > 0)
        --found->second.attempts;
    auto request = KJ_ASSERT_NONNULL(found->second.agent).cancelRequest();
    request.setEntry(this->self.value);
    request.setRequest(effect.request.value);
    request.setAttempt(effect.attempt.value);
    this->loop.detach(request.send().ignoreResult());
}

void AgentLinks::clear()
{
    this->flights.clear();
    this->links.clear();
}

void AgentLinks::heartbeat(const HostId& host, Link& link)
{
    link.lastHeartbeat = monotonicNow();
    link.heartbeatOpen = true;
    const std::uint64_t serial = link.serial;
    auto request = KJ_ASSERT_NONNULL(link.agent).heartbeatRequest();
    request.setEntry(this->self.value);
    request.setKnown(link.status.sequence);
    auto answered = request.send().then(
        [this, host, serial](auto&& response) {
            Link* answering = this->heard(host, serial);
            if (!answering)
                return;
            answering->heartbeatOpen = false;
            if (!response.getUnchanged())
                answering->status = decode(response.getStatus());
            this->onEvent(AgentStatusReceived { .status = answering->status });
        },
        [](kj::Exception&&) {});
    this->loop.detach(kj::mv(answered));
}

void AgentLinks::tick()
{
    const Milliseconds now = monotonicNow();
    for (auto& [host, link] : this->links) {
        if (link.agent == nullptr)
            continue;
        const Milliseconds sinceHeartbeat = now - link.lastHeartbeat;
        if (link.heartbeatOpen && sinceHeartbeat >= heartbeatTimeout) {
            this->onEvent(HeartbeatMissed { .host = host });
            this->heartbeat(host, link);
            continue;
        }
        const bool probe
            = link.attempts > 0 && now - link.lastHeard >= probeAfterSilence && sinceHeartbeat >= probeAfterSilence;
        if (!link.heartbeatOpen && (sinceHeartbeat >= this->heartbeatInterval || probe))
            this->heartbeat(host, link);
    }
    std::vector<FlightKey> silent;
    for (const auto& [key, flight] : this->flights) {
        const auto link = this->links.find(flight.host);
        const Milliseconds heard = link == this->links.end() ? Milliseconds {} : link->second.lastHeard;
        if (now - std::max(heard, flight.dispatched) >= flight.acceptTimeout)
            silent.push_back(key);
    }
    for (const FlightKey& key : silent) {
        const HostId host = this->flights[key].host;
        this->endFlight(key, unreachable("agent-silent"));
        const auto found = this->links.find(host);
        if (found == this->links.end() || found->second.agent == nullptr)
            continue;
        // The agent may only be paused: it shall not go on with an attempt that nobody waits for.
        auto request = KJ_ASSERT_NONNULL(found->second.agent).cancelRequest();
        request.setEntry(this->self.value);
        request.setRequest(key.first.value);
        request.setAttempt(key.second.value);
        this->loop.detach(request.send().ignoreResult());
    }
}

} // namespace hickory
