#include "agent_link_io.h"

#include "rpc_codec_func.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace hickory {

namespace {

    /// Time limit for registering at an agent.
    constexpr Milliseconds attachTimeout { 1000 };

    /// Time until a part is offered again to a caller whose buffer is full.
    constexpr Milliseconds fullBufferRetryDelay { 5 };

    /// Receives the parts of one attempt's answer.
    class ResponseSinkServer final : public rpc::ResponseSink::Server {
    public:
        struct Options {
            RpcLoop& loop; ///< its timer delays a part for a slow caller
            RequestTable& table; ///< buffers the parts for the caller
            RequestId request;
            Attempt attempt;
            HostId host; ///< host of the agent that sends the parts
            std::function<void()> onMessage; ///< called for each part
            std::function<void(EntryEventBody)> onEvent; ///< receives FirstPart
        };

        explicit ResponseSinkServer(Options options)
            : options(std::move(options))
        {
        }

        kj::Promise<void> part(PartContext context) override
        {
            const auto params = context.getParams();
            const auto data = params.getData();
            this->options.onMessage();
            // A part that waits for room in the buffer must not be overtaken: the table drops parts out of sequence.
            auto taken = this->previous
                             .then([this, sequence = params.getSequence(),
                                       data = std::string(reinterpret_cast<const char*>(data.begin()), data.size()),
                                       status = params.getStatus(),
                                       contentType = std::string(params.getContentType().cStr())]() mutable {
                                 return this->offer(sequence, std::move(data), status, std::move(contentType));
                             })
                             .fork();
            this->previous = taken.addBranch();
            return taken.addBranch();
        }

    private:
        /// Adds a part to the request. The promise is fulfilled when the part was buffered or dropped; until then the
        /// agent counts the part as unacknowledged, which slows the stream down to the caller's pace.
        kj::Promise<void> offer(std::uint32_t sequence, std::string data, std::uint16_t status, std::string contentType)
        {
            switch (this->options.table.takePart(
                this->options.request, this->options.attempt, sequence, data, status, contentType)) {
            case PartResult::Full:
                return this->options.loop.timer()
                    .afterDelay(fullBufferRetryDelay.value * kj::MILLISECONDS)
                    .then([this, sequence, data = std::move(data), status,
                              contentType = std::move(contentType)]() mutable {
                        return this->offer(sequence, std::move(data), status, std::move(contentType));
                    });
            case PartResult::First:
            case PartResult::Taken:
                if (!this->firstPartEmitted) {
                    this->firstPartEmitted = true;
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

        Options options;
        kj::Promise<void> previous { kj::READY_NOW }; ///< fulfilled when the part before the next one was taken
        bool firstPartEmitted { false };
    };

    /// Receives the status changes that an agent sends without being asked.
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

    /// @return the result of an attempt that the agent did not answer
    DispatchResult unansweredResult(const char* reason, DispatchResultKind kind = DispatchResultKind::Unknown)
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
    auto connecting = this->loop
                          .connect(effect.address,
                              [this, host, serial] { this->handleConnectionLoss(host, serial, "connection-lost"); })
                          .then(
                              [this, host, serial](RpcLoop::Connection&& connection) {
                                  this->registerAtAgent(host, serial, std::move(connection));
                              },
                              [this, host, serial](
                                  kj::Exception&&) { this->handleConnectionLoss(host, serial, "connect-failed"); });
    this->loop.detach(kj::mv(connecting));
}

void AgentLinks::registerAtAgent(const HostId& host, std::uint64_t serial, RpcLoop::Connection connection)
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
        [this, host, serial](AgentStatus status) { this->receiveStatus(host, serial, std::move(status)); }));
    auto answered
        = this->loop
              .within(attachTimeout, request.send().then([](auto&& response) { return decode(response.getStatus()); }))
              .then(
                  [this, host, serial](AgentStatus&& status) {
                      if (Link* link = this->recordMessage(host, serial))
                          link->status = status;
                      this->onEvent(AgentConnected { .host = host, .status = std::move(status) });
                  },
                  [this, host, serial](kj::Exception&&) { this->handleConnectionLoss(host, serial, "attach-failed"); });
    this->loop.detach(kj::mv(answered));
}

AgentLinks::Link* AgentLinks::recordMessage(const HostId& host, std::uint64_t serial)
{
    const auto found = this->links.find(host);
    if (found == this->links.end() || found->second.serial != serial)
        return nullptr;
    endSilence(found->second.silence);
    return &found->second;
}

void AgentLinks::receiveStatus(const HostId& host, std::uint64_t serial, AgentStatus status)
{
    if (Link* link = this->recordMessage(host, serial))
        link->status = status;
    this->onEvent(AgentStatusReceived { .status = std::move(status) });
}

void AgentLinks::handleConnectionLoss(const HostId& host, std::uint64_t serial, const std::string& reason)
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
    // The handle is destroyed in a later turn of the event loop: this may run inside a callback of the connection.
    this->loop.detach(kj::evalLater([handle = std::move(found->second.handle)] {}));
    this->links.erase(found);
    std::vector<InFlightKey> ended;
    for (const auto& [key, inFlightAttempt] : this->inFlight)
        if (inFlightAttempt.host == host)
            ended.push_back(key);
    this->onEvent(AgentDisconnected { .host = host, .reason = reason });
    for (const InFlightKey& key : ended)
        this->endAttempt(key, unansweredResult(reason.c_str()));
}

void AgentLinks::endAttempt(InFlightKey key, DispatchResult result)
{
    const auto found = this->inFlight.find(key);
    if (found == this->inFlight.end())
        return;
    const HostId host = found->second.host;
    this->inFlight.erase(found);
    const std::uint32_t delivered = this->table.closeAttempt(key.first, key.second);
    this->onEvent(AttemptEnded { .request = key.first,
        .attempt = key.second,
        .host = host,
        .result = std::move(result),
        .delivered = delivered });
}

void AgentLinks::dispatch(const DispatchAttempt& effect)
{
    const InFlightKey key { effect.call.key.request, effect.call.key.attempt };
    const auto pending = this->table.find(key.first);
    const auto found = this->links.find(effect.host);
    this->inFlight[key] = { .host = effect.host, .agentSilenceTimeout = effect.agentSilenceTimeout };
    if (!pending || found == this->links.end() || found->second.agent == nullptr
        || !this->table.openAttempt(key.first, key.second)) {
        this->endAttempt(key, unansweredResult("not-connected", DispatchResultKind::NotRun));
        return;
    }
    Link& link = found->second;
    const std::uint64_t serial = link.serial;
    this->inFlight[key].serial = serial;
    const HostId host = effect.host;
    auto request = KJ_ASSERT_NONNULL(link.agent).dispatchRequest();
    encode(effect.call, pending->payload, request.initCall());
    request.setSink(kj::heap<ResponseSinkServer>(ResponseSinkServer::Options {
        .loop = this->loop,
        .table = this->table,
        .request = key.first,
        .attempt = key.second,
        .host = host,
        .onMessage = [this, host, serial] { this->recordMessage(host, serial); },
        .onEvent = this->onEvent,
    }));
    auto ended = request.send()
                     .then([](auto&& response) { return decode(response.getResult()); })
                     .then(
                         [this, key, host, serial](DispatchResult&& result) {
                             this->recordMessage(host, serial);
                             this->endAttempt(key, std::move(result));
                         },
                         [this, key](kj::Exception&&) { this->endAttempt(key, unansweredResult("rpc-failed")); });
    this->loop.detach(kj::mv(ended));
}

void AgentLinks::cancel(const CancelAttempt& effect)
{
    const InFlightKey key { effect.request, effect.attempt };
    this->inFlight.erase(key);
    this->table.closeAttempt(effect.request, effect.attempt);
    const auto found = this->links.find(effect.host);
    if (found == this->links.end() || found->second.agent == nullptr)
        return;
    auto request = KJ_ASSERT_NONNULL(found->second.agent).cancelRequest();
    request.setEntry(this->self.value);
    request.setRequest(effect.request.value);
    request.setAttempt(effect.attempt.value);
    this->loop.detach(request.send().ignoreResult());
}

void AgentLinks::clear()
{
    this->inFlight.clear();
    this->links.clear();
}

void AgentLinks::sendHeartbeat(const HostId& host, Link& link)
{
    link.lastHeartbeatAt = monotonicNow();
    askSilent(link.silence);
    const std::uint64_t serial = link.serial;
    auto request = KJ_ASSERT_NONNULL(link.agent).heartbeatRequest();
    request.setEntry(this->self.value);
    request.setKnown(link.status.sequence);
    auto answered = request.send().then(
        [this, host, serial](auto&& response) {
            Link* answering = this->recordMessage(host, serial);
            if (!answering)
                return;
            answering->silence.asked = false;
            if (!response.getUnchanged())
                answering->status = decode(response.getStatus());
            this->onEvent(AgentStatusReceived { .status = answering->status });
        },
        [](kj::Exception&&) {});
    this->loop.detach(kj::mv(answered));
}

void AgentLinks::tickHeartbeats(Milliseconds now, Milliseconds counted)
{
    for (auto& [host, link] : this->links) {
        if (link.agent == nullptr)
            continue;
        passSilence(link.silence, counted);
        if (missesHeartbeat(link.silence)) {
            this->onEvent(HeartbeatMissed { .host = host });
            this->sendHeartbeat(host, link);
            continue;
        }
        const bool probe = link.shortestTimeout > Milliseconds {} && mustAsk(link.silence, link.shortestTimeout);
        if (!link.silence.asked && (now - link.lastHeartbeatAt >= this->heartbeatInterval || probe))
            this->sendHeartbeat(host, link);
    }
}

void AgentLinks::tick()
{
    const Milliseconds now = monotonicNow();
    const Milliseconds counted = countedTime(now - std::exchange(this->lastTickAt, now));
    for (auto& [host, link] : this->links)
        link.shortestTimeout = {};
    for (auto& [key, attempt] : this->inFlight) {
        attempt.inFlightFor += counted;
        const auto link = this->links.find(attempt.host);
        if (link == this->links.end())
            continue;
        Milliseconds& shortest = link->second.shortestTimeout;
        shortest = shortest == Milliseconds {} ? attempt.agentSilenceTimeout
                                               : std::min(shortest, attempt.agentSilenceTimeout);
    }
    this->tickHeartbeats(now, counted);
    std::vector<InFlightKey> silent;
    for (const auto& [key, attempt] : this->inFlight) {
        const auto link = this->links.find(attempt.host);
        if (link != this->links.end() && link->second.silence.asked
            && isGivenUp(link->second.silence, attempt.inFlightFor, attempt.agentSilenceTimeout,
                this->table.hasBegun(key.first)))
            silent.push_back(key);
    }
    for (const InFlightKey& key : silent) {
        const HostId host = this->inFlight[key].host;
        this->endAttempt(key, unansweredResult("agent-silent"));
        const auto found = this->links.find(host);
        if (found == this->links.end() || found->second.agent == nullptr)
            continue;
        // The agent may only be paused; the cancellation stops the attempt when it resumes.
        auto request = KJ_ASSERT_NONNULL(found->second.agent).cancelRequest();
        request.setEntry(this->self.value);
        request.setRequest(key.first.value);
        request.setAttempt(key.second.value);
        this->loop.detach(request.send().ignoreResult());
    }
}

} // namespace hickory
