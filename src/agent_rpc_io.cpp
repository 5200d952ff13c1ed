#include "agent_rpc_io.h"

#include "rpc_loop_io.h"

#include <kj/debug.h>

#include <chrono>
#include <future>
#include <map>
#include <optional>
#include <utility>

namespace hickory {

namespace {

    /// Parts of one attempt that may be unacknowledged; limits the memory used when the entry or caller reads slowly.
    constexpr std::uint32_t maxUnacknowledgedParts = 16;

    /// Longest wait of a stopping agent for the entries to take the answers that stand ready. It equals the longest
    /// timeout of a dispatch.
    constexpr Milliseconds maxDrainTime { 600000 };

    /// A peer that does not answer a control message within this time counts as unreachable.
    constexpr Milliseconds controlTimeout { 2000 };

    Error rpcError(const char* step, const std::string& peer, const kj::Exception& exception)
    {
        return {
            .code = ErrorCode::Unavailable, .step = step, .peer = peer, .detail = exception.getDescription().cStr()
        };
    }

    /// A dispatch that has not been answered.
    struct OpenDispatch {
        std::uint64_t connection; ///< number of the connection that it came over
        rpc::ResponseSink::Client sink; ///< receives the parts at the entry
        kj::Own<kj::PromiseFulfiller<DispatchResult>> result; ///< answers the dispatch
        std::shared_ptr<PartChannel> channel; ///< shared with the thread that reads the upstream
        std::uint32_t unacknowledged { 0 }; ///< parts sent to the entry and not yet acknowledged
        std::optional<DispatchResult>
            finalResult; ///< result to send once all parts are acknowledged, empty until it is known
    };

} // namespace

bool PartChannel::send(std::string data, std::uint16_t status, const std::string& contentType)
{
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [this] { return this->closed || this->unacknowledged < maxUnacknowledgedParts; });
        if (this->closed)
            return false;
        ++this->unacknowledged;
    }
    this->postPart(this->nextSequence++, std::move(data), status, contentType);
    return true;
}

void PartChannel::close()
{
    const std::lock_guard lock(this->mutex);
    this->closed = true;
    this->changed.notify_all();
}

void PartChannel::acknowledge()
{
    const std::lock_guard lock(this->mutex);
    if (this->unacknowledged > 0)
        --this->unacknowledged;
    this->changed.notify_all();
}

struct AgentRpc::State {
    void sendPart(const AttemptKey& key, std::uint32_t sequence, const std::string& data, std::uint16_t status,
        const std::string& contentType);
    void partAcknowledged(const AttemptKey& key);
    /// Answers the dispatch if its result is known and all its parts are acknowledged.
    void finishIfDrained(const AttemptKey& key);
    /// Refuses further dispatches and drops those without a result, which no one will report any more.
    void beginStop();
    /// Wakes stop() once all answers that stood ready are sent.
    void reportIfDrained();
    /// Closes the channels of the connection's dispatches and forgets its entry.
    void connectionClosed(std::uint64_t connection);

    AgentRpcHandlers handlers;
    bool running { false }; ///< start() succeeded and stop() was not called; used by their callers only
    RpcLoop loop; ///< RPC thread; all members below are used on it only
    AgentStatus status; ///< status that heartbeats are answered with
    std::uint64_t nextConnection { 1 }; ///< number of the next accepted connection
    std::map<AttemptKey, OpenDispatch> dispatches; ///< dispatches that have not been answered
    std::map<std::uint64_t, HostId> attached; ///< host of the entry by connection number
    std::map<std::uint64_t, rpc::AgentListener::Client> listeners; ///< listener of the entry by connection number
    bool stopping { false }; ///< stop() was called
    std::promise<void> drained; ///< fulfilled once when stopping and no dispatch is open
    bool drainReported { false }; ///< `drained` is fulfilled
};

namespace {

    /// Serves one connection of an entry or of another agent.
    class AgentServer final : public rpc::Agent::Server {
    public:
        using Dispatches = std::map<AttemptKey, OpenDispatch>;

        /// References to parts of AgentRpc::State; all connections share them.
        struct Shared {
            AgentRpcHandlers& handlers;
            RpcLoop& loop;
            AgentStatus& status;
            Dispatches& dispatches;
            std::map<std::uint64_t, HostId>& attached;
            std::map<std::uint64_t, rpc::AgentListener::Client>& listeners;
            bool& stopping;
            std::function<void(const AttemptKey&, std::uint32_t, std::string, std::uint16_t, std::string)> sendPart;
        };

        AgentServer(Shared shared, std::uint64_t connection)
            : shared(std::move(shared))
            , connection(connection)
        {
        }

        kj::Promise<void> attach(AttachContext context) override
        {
            const auto params = context.getParams();
            const HostId entry { std::string(params.getEntry().cStr()) };
            this->shared.attached[this->connection] = entry;
            this->shared.listeners.insert_or_assign(this->connection, params.getListener());
            this->shared.handlers.onEvent(EntryAttached { .entry = entry });
            encode(this->shared.status, context.getResults().initStatus());
            return kj::READY_NOW;
        }

        kj::Promise<void> heartbeat(HeartbeatContext context) override
        {
            auto results = context.getResults();
            if (context.getParams().getKnown() == this->shared.status.sequence)
                results.setUnchanged(true);
            else
                encode(this->shared.status, results.initStatus());
            return kj::READY_NOW;
        }

        kj::Promise<void> dispatch(DispatchContext context) override
        {
            const auto reader = context.getParams().getCall();
            DispatchCall call = decodeCall(reader);
            const AttemptKey key = call.key;
            if (this->shared.dispatches.contains(key))
                return KJ_EXCEPTION(FAILED, "duplicate attempt");
            if (this->shared.stopping) {
                encode(DispatchResult { .kind = DispatchResultKind::NotRun, .reason = "leaving" },
                    context.getResults().initResult());
                return kj::READY_NOW;
            }
            auto payload = std::make_shared<RequestPayload>(decodePayload(reader));
            auto channel = std::make_shared<PartChannel>();
            channel->nextSequence = call.resumeFrom;
            channel->postPart = [send = this->shared.sendPart, &loop = this->shared.loop, key](std::uint32_t sequence,
                                    std::string data, std::uint16_t status, std::string contentType) {
                loop.post([send, key, sequence, data = std::move(data), status, contentType = std::move(contentType)] {
                    send(key, sequence, data, status, contentType);
                });
            };
            auto answered = kj::newPromiseAndFulfiller<DispatchResult>();
            this->shared.dispatches.emplace(key,
                OpenDispatch { .connection = this->connection,
                    .sink = context.getParams().getSink(),
                    .result = kj::mv(answered.fulfiller),
                    .channel = channel });
            context.releaseParams();
            this->shared.handlers.onDispatch(
                { .call = std::move(call), .connection = this->connection }, std::move(payload), std::move(channel));
            return answered.promise.then(
                [context](DispatchResult&& result) mutable { encode(result, context.getResults().initResult()); });
        }

        kj::Promise<void> cancel(CancelContext context) override
        {
            const auto params = context.getParams();
            const AttemptKey key { .entry = { std::string(params.getEntry().cStr()) },
                .request = { params.getRequest() },
                .attempt = { params.getAttempt() } };
            const auto found = this->shared.dispatches.find(key);
            if (found != this->shared.dispatches.end())
                found->second.channel->close();
            this->shared.handlers.onEvent(CancelReceived { .key = key });
            return kj::READY_NOW;
        }

        kj::Promise<void> pushConfig(PushConfigContext context) override
        {
            this->shared.handlers.onEvent(
                ConfigReceived { .record = decode(context.getParams().getConfig()), .from = this->peerName() });
            context.getResults().setGeneration(this->shared.status.generation.value);
            return kj::READY_NOW;
        }

        kj::Promise<void> chunkMap(ChunkMapContext context) override
        {
            const std::string have
                = this->shared.handlers.chunkMap({ std::string(context.getParams().getManifest().cStr()) });
            context.getResults().setHave({ reinterpret_cast<const capnp::byte*>(have.data()), have.size() });
            return kj::READY_NOW;
        }

        kj::Promise<void> chunk(ChunkContext context) override
        {
            const auto params = context.getParams();
            auto read
                = this->shared.handlers.readChunk({ std::string(params.getManifest().cStr()) }, { params.getIndex() });
            if (!read)
                return KJ_EXCEPTION(FAILED, "chunk not held");
            const Milliseconds delay = this->shared.handlers.uploadDelay({ read.value().size() });
            auto send = [context, data = std::move(read.value())]() mutable {
                context.getResults().setData({ reinterpret_cast<const capnp::byte*>(data.data()), data.size() });
            };
            if (delay.value <= 0) {
                send();
                return kj::READY_NOW;
            }
            return this->shared.loop.timer().afterDelay(delay.value * kj::MILLISECONDS).then(std::move(send));
        }

    private:
        /// @return host of the connected entry, or "peer" before it has attached
        HostId peerName() const
        {
            const auto found = this->shared.attached.find(this->connection);
            return found == this->shared.attached.end() ? HostId { "peer" } : found->second;
        }

        Shared shared; ///< parts of AgentRpc::State, used on the RPC thread only
        std::uint64_t connection; ///< number of the served connection
    };

} // namespace

void AgentRpc::State::sendPart(const AttemptKey& key, std::uint32_t sequence, const std::string& data,
    std::uint16_t status, const std::string& contentType)
{
    const auto found = this->dispatches.find(key);
    if (found == this->dispatches.end())
        return;
    OpenDispatch& openDispatch = found->second;
    ++openDispatch.unacknowledged;
    auto request = openDispatch.sink.partRequest();
    request.setSequence(sequence);
    request.setData({ reinterpret_cast<const capnp::byte*>(data.data()), data.size() });
    request.setStatus(status);
    request.setContentType(contentType);
    auto acknowledged = request.send().ignoreResult().then(
        [this, key, channel = openDispatch.channel] {
            channel->acknowledge();
            this->partAcknowledged(key);
        },
        [this, key, channel = openDispatch.channel](kj::Exception&&) {
            channel->acknowledge();
            channel->close();
            this->partAcknowledged(key);
        });
    this->loop.detach(kj::mv(acknowledged));
}

void AgentRpc::State::partAcknowledged(const AttemptKey& key)
{
    const auto found = this->dispatches.find(key);
    if (found == this->dispatches.end())
        return;
    --found->second.unacknowledged;
    this->finishIfDrained(key);
}

void AgentRpc::State::finishIfDrained(const AttemptKey& key)
{
    const auto found = this->dispatches.find(key);
    if (found == this->dispatches.end())
        return;
    OpenDispatch& openDispatch = found->second;
    if (openDispatch.unacknowledged > 0 || !openDispatch.finalResult)
        return;
    openDispatch.result->fulfill(std::move(*openDispatch.finalResult));
    this->dispatches.erase(found);
    this->reportIfDrained();
}

void AgentRpc::State::beginStop()
{
    this->stopping = true;
    this->listeners.clear();
    std::erase_if(this->dispatches, [](auto& entry) {
        if (!entry.second.finalResult)
            entry.second.channel->close();
        return !entry.second.finalResult;
    });
    this->reportIfDrained();
}

void AgentRpc::State::reportIfDrained()
{
    if (this->stopping && this->dispatches.empty() && !std::exchange(this->drainReported, true))
        this->drained.set_value();
}

void AgentRpc::State::connectionClosed(std::uint64_t connection)
{
    for (auto it = this->dispatches.begin(); it != this->dispatches.end();) {
        if (it->second.connection != connection) {
            ++it;
            continue;
        }
        it->second.channel->close();
        it = this->dispatches.erase(it);
    }
    this->reportIfDrained();
    this->listeners.erase(connection);
    const auto found = this->attached.find(connection);
    if (found == this->attached.end())
        return;
    const HostId entry = found->second;
    this->attached.erase(found);
    this->handlers.onEvent(EntryDetached { .entry = entry, .connection = connection });
}

AgentRpc::AgentRpc(AgentRpcHandlers handlers)
    : state(std::make_unique<State>())
{
    this->state->handlers = std::move(handlers);
}

AgentRpc::~AgentRpc() { this->stop(); }

unsigned AgentRpc::start(const std::string& listen)
{
    State& data = *this->state;
    const unsigned port = data.loop.start(listen, [&data] {
        const std::uint64_t connection = data.nextConnection++;
        AgentServer::Shared shared {
            .handlers = data.handlers,
            .loop = data.loop,
            .status = data.status,
            .dispatches = data.dispatches,
            .attached = data.attached,
            .listeners = data.listeners,
            .stopping = data.stopping,
            .sendPart
            = [&data](const AttemptKey& key, std::uint32_t sequence, const std::string& part, std::uint16_t status,
                  const std::string& contentType) { data.sendPart(key, sequence, part, status, contentType); },
        };
        return AcceptedPeer { .bootstrap = kj::heap<AgentServer>(std::move(shared), connection),
            .onClosed = [&data, connection] { data.connectionClosed(connection); } };
    });
    data.running = true;
    return port;
}

void AgentRpc::stop()
{
    if (!std::exchange(this->state->running, false))
        return;
    const auto drained = this->state->drained.get_future();
    this->state->loop.post([data = this->state.get()] { data->beginStop(); });
    drained.wait_for(std::chrono::milliseconds(maxDrainTime.value));
    this->state->loop.post([data = this->state.get()] {
        data->dispatches.clear();
        data->listeners.clear();
    });
    this->state->loop.stop();
}

void AgentRpc::publishStatus(const AgentStatus& status)
{
    this->state->loop.post([data = this->state.get(), status] { data->status = status; });
}

void AgentRpc::notifyListeners(const NotifyListeners& effect)
{
    this->state->loop.post([data = this->state.get(), effect] {
        for (auto& [connection, listener] : data->listeners) {
            auto request = listener.statusRequest();
            encode(effect.status, request.initStatus());
            data->loop.detach(request.send().ignoreResult());
        }
    });
}

void AgentRpc::answerDispatch(const AnswerDispatch& effect)
{
    this->state->loop.post([data = this->state.get(), effect] {
        const auto found = data->dispatches.find(effect.key);
        if (found == data->dispatches.end())
            return;
        OpenDispatch& openDispatch = found->second;
        openDispatch.finalResult = effect.result;
        if (effect.result.kind == DispatchResultKind::RecordedDone)
            data->sendPart(effect.key, 0, effect.storedAnswer, effect.result.status, effect.contentType);
        data->finishIfDrained(effect.key);
    });
}

void AgentRpc::reportHome(const ReportHome& effect, std::function<void(Result<ConfigRecord>)> done)
{
    this->state->loop.post([data = this->state.get(), effect, done = std::move(done)] {
        auto answered = data->loop.peer(effect.address).then([effect](capnp::Capability::Client peer) {
            auto request = peer.castAs<rpc::Entry>().reportRequest();
            encode(effect.status, request.initStatus());
            return request.send().then([](auto&& response) { return decode(response.getConfig()); });
        });
        auto handled = data->loop.within(controlTimeout, kj::mv(answered))
                           .then([done](ConfigRecord&& record) { done(std::move(record)); },
                               [data, effect, done](kj::Exception&& exception) {
                                   data->loop.dropBrokenPeer(effect.address, exception);
                                   done(rpcError("report-home", effect.entry.value, exception));
                               });
        data->loop.detach(kj::mv(handled));
    });
}

void AgentRpc::fetchConfig(const FetchConfig& effect, std::function<void(Result<ConfigRecord>)> done)
{
    this->state->loop.post([data = this->state.get(), effect, done = std::move(done)] {
        auto answered = data->loop.peer(effect.address).then([effect](capnp::Capability::Client peer) {
            auto request = peer.castAs<rpc::Entry>().fetchConfigRequest();
            request.setKnown(effect.known.value);
            return request.send().then([](auto&& response) { return decode(response.getConfig()); });
        });
        auto handled = data->loop.within(controlTimeout, kj::mv(answered))
                           .then([done](ConfigRecord&& record) { done(std::move(record)); },
                               [data, effect, done](kj::Exception&& exception) {
                                   data->loop.dropBrokenPeer(effect.address, exception);
                                   done(rpcError("fetch-config", effect.peer.value, exception));
                               });
        data->loop.detach(kj::mv(handled));
    });
}

void AgentRpc::queryChunkMap(const QueryChunkMap& effect)
{
    this->state->loop.post([data = this->state.get(), effect] {
        auto answered = data->loop.peer(effect.address).then([effect](capnp::Capability::Client peer) {
            auto request = peer.castAs<rpc::Agent>().chunkMapRequest();
            request.setManifest(effect.manifest.value);
            return request.send().then([](auto&& response) {
                std::vector<bool> have;
                for (const auto byte : response.getHave())
                    for (int bit = 0; bit < 8; ++bit)
                        have.push_back((byte >> bit & 1) != 0);
                return have;
            });
        });
        auto handled
            = data->loop.within(controlTimeout, kj::mv(answered))
                  .then(
                      [data, effect](std::vector<bool>&& have) {
                          data->handlers.onEvent(ChunkMapReceived {
                              .peer = effect.peer, .manifest = effect.manifest, .ok = true, .have = std::move(have) });
                      },
                      [data, effect](kj::Exception&& exception) {
                          data->loop.dropBrokenPeer(effect.address, exception);
                          data->handlers.onEvent(ChunkMapReceived { .peer = effect.peer, .manifest = effect.manifest });
                      });
        data->loop.detach(kj::mv(handled));
    });
}

void AgentRpc::fetchChunk(const std::string& address, const ManifestDigest& manifest, ChunkIndex index,
    Milliseconds timeout, std::function<void(Result<std::string>)> done)
{
    this->state->loop.post([data = this->state.get(), address, manifest, index, timeout, done = std::move(done)] {
        auto answered = data->loop.peer(address).then([manifest, index](capnp::Capability::Client peer) {
            auto request = peer.castAs<rpc::Agent>().chunkRequest();
            request.setManifest(manifest.value);
            request.setIndex(index.value);
            return request.send().then([](auto&& response) {
                const auto chunk = response.getData();
                return std::string(reinterpret_cast<const char*>(chunk.begin()), chunk.size());
            });
        });
        auto handled = data->loop.within(timeout, kj::mv(answered))
                           .then([done](std::string&& chunk) { done(std::move(chunk)); },
                               [data, address, done](kj::Exception&& exception) {
                                   data->loop.dropBrokenPeer(address, exception);
                                   done(rpcError("fetch-chunk", address, exception));
                               });
        data->loop.detach(kj::mv(handled));
    });
}

} // namespace hickory
