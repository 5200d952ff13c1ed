#include "entry_rpc_io.h"

#include "agent_link_io.h"
#include "rpc_loop_io.h"

#include <kj/debug.h>

namespace hickory {

namespace {

    /// A peer that does not answer a control message within this time counts as unreachable.
    constexpr Milliseconds controlTimeout { 2000 };

    /// Time between two checks of the agent connections for due heartbeats and silent agents.
    constexpr Milliseconds linkTickInterval { 100 };

    /// A reply that any thread may give, as a promise of the RPC thread.
    template <typename Value> class ReplyPromise {
    public:
        explicit ReplyPromise(RpcLoop& loop)
            : loop(loop)
        {
            auto pair = kj::newPromiseAndFulfiller<Value>();
            this->promise = kj::mv(pair.promise);
            this->fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(kj::mv(pair.fulfiller));
        }

        /// @return a function that gives the reply; to be called once, on any thread
        std::function<void(Value)> callback()
        {
            return [&loop = this->loop, fulfiller = this->fulfiller](Value value) {
                loop.post([fulfiller, value = std::move(value)]() mutable { (*fulfiller)->fulfill(Value(value)); });
            };
        }

        /// @pre not called before
        kj::Promise<Value> takePromise() { return kj::mv(KJ_ASSERT_NONNULL(this->promise)); }

    private:
        RpcLoop& loop; ///< thread that the promise belongs to
        kj::Maybe<kj::Promise<Value>> promise; ///< moved out by takePromise()
        std::shared_ptr<kj::Own<kj::PromiseFulfiller<Value>>> fulfiller; ///< used on the RPC thread only
    };

    /// Serves connections of other entries and of agents.
    class EntryServer final : public rpc::Entry::Server {
    public:
        EntryServer(RpcLoop& loop, EntryRpcHandlers& handlers)
            : loop(loop)
            , handlers(handlers)
        {
        }

        kj::Promise<void> gossip(GossipContext context) override
        {
            ReplyPromise<GossipMessage> reply(this->loop);
            this->handlers.onGossip(decode(context.getParams().getMessage()), reply.callback());
            return reply.takePromise().then(
                [context](GossipMessage&& message) mutable { encode(message, context.getResults().initMessage()); });
        }

        kj::Promise<void> pushConfig(PushConfigContext context) override
        {
            ReplyPromise<Generation> reply(this->loop);
            this->handlers.onConfigPushed(
                { .record = decode(context.getParams().getConfig()), .from = { "peer" } }, reply.callback());
            return reply.takePromise().then(
                [context](Generation generation) mutable { context.getResults().setGeneration(generation.value); });
        }

        kj::Promise<void> fetchConfig(FetchConfigContext context) override
        {
            ReplyPromise<ConfigRecord> reply(this->loop);
            this->handlers.onFetchConfig({ context.getParams().getKnown() }, reply.callback());
            return reply.takePromise().then(
                [context](ConfigRecord&& record) mutable { encode(record, context.getResults().initConfig()); });
        }

        kj::Promise<void> report(ReportContext context) override
        {
            ReplyPromise<ConfigRecord> reply(this->loop);
            this->handlers.onReport(decode(context.getParams().getStatus()), reply.callback());
            return reply.takePromise().then(
                [context](ConfigRecord&& record) mutable { encode(record, context.getResults().initConfig()); });
        }

        kj::Promise<void> localStatus(LocalStatusContext context) override
        {
            ReplyPromise<EntryStatus> reply(this->loop);
            this->handlers.onLocalStatus(reply.callback());
            return reply.takePromise().then([context](EntryStatus&& status) mutable {
                auto results = context.getResults();
                results.setGeneration(status.generation.value);
                results.setLeaving(status.leaving);
                auto agents = results.initAgents(status.agents.size());
                for (std::size_t i = 0; i < status.agents.size(); ++i)
                    encode(status.agents[i], agents[i]);
            });
        }

    private:
        RpcLoop& loop; ///< thread that the server runs on
        EntryRpcHandlers& handlers;
    };

} // namespace

struct EntryRpc::State {
    State(HostId self, RequestTable& table, EntryRpcHandlers callbacks)
        : handlers(std::move(callbacks))
        , links(std::move(self), this->loop, table, this->handlers.onEvent)
    {
    }

    kj::Promise<void> tickForever()
    {
        return this->loop.timer().afterDelay(linkTickInterval.value * kj::MILLISECONDS).then([this] {
            this->links.tick();
            return this->tickForever();
        });
    }

    /// Sends a control message over the shared connection to a peer.
    /// @param send makes the call on the peer's capability and handles its answer
    /// @param onFailure called when the peer does not answer within controlTimeout or the call fails
    template <typename Send> void callPeer(const std::string& address, Send send, std::function<void()> onFailure)
    {
        auto answered = this->loop.peer(address).then(
            [send = std::move(send)](capnp::Capability::Client peer) { return send(kj::mv(peer)); });
        auto handled = this->loop.within(controlTimeout, kj::mv(answered))
                           .catch_([this, address, onFailure = std::move(onFailure)](kj::Exception&& exception) {
                               this->loop.dropBrokenPeer(address, exception);
                               onFailure();
                           });
        this->loop.detach(kj::mv(handled));
    }

    EntryRpcHandlers handlers;
    RpcLoop loop; ///< RPC thread
    AgentLinks links; ///< connections to agents, used on the RPC thread only
};

EntryRpc::EntryRpc(HostId self, RequestTable& table, EntryRpcHandlers handlers)
    : state(std::make_unique<State>(std::move(self), table, std::move(handlers)))
{
}

EntryRpc::~EntryRpc() { this->stop(); }

unsigned EntryRpc::start(const std::string& listen)
{
    State& data = *this->state;
    const unsigned port = data.loop.start(listen, [&data] {
        return AcceptedPeer { .bootstrap = kj::heap<EntryServer>(data.loop, data.handlers), .onClosed = [] {} };
    });
    data.loop.post([&data] { data.loop.detach(data.tickForever()); });
    return port;
}

void EntryRpc::stop()
{
    this->state->loop.post([data = this->state.get()] { data->links.clear(); });
    this->state->loop.stop();
}

void EntryRpc::connectAgent(const ConnectAgent& effect)
{
    this->state->loop.post([data = this->state.get(), effect] { data->links.connect(effect); });
}

void EntryRpc::disconnectAgent(const DisconnectAgent& effect)
{
    this->state->loop.post([data = this->state.get(), effect] { data->links.disconnect(effect.host, "dropped"); });
}

void EntryRpc::setHeartbeatInterval(const SetHeartbeatInterval& effect)
{
    this->state->loop.post([data = this->state.get(), effect] { data->links.setHeartbeatInterval(effect.interval); });
}

void EntryRpc::dispatch(const DispatchAttempt& effect)
{
    this->state->loop.post([data = this->state.get(), effect] { data->links.dispatch(effect); });
}

void EntryRpc::cancel(const CancelAttempt& effect)
{
    this->state->loop.post([data = this->state.get(), effect] { data->links.cancel(effect); });
}

void EntryRpc::sendGossip(const SendGossip& effect)
{
    this->state->loop.post([data = this->state.get(), effect] {
        const auto send = [data, effect](capnp::Capability::Client peer) {
            auto request = peer.castAs<rpc::Entry>().gossipRequest();
            encode(effect.message, request.initMessage());
            return request.send().then([data](auto&& response) {
                data->handlers.onEvent(GossipReceived { .message = decode(response.getMessage()) });
            });
        };
        data->callPeer(
            effect.address, send, [data, effect] { data->handlers.onEvent(GossipFailed { .peer = effect.peer }); });
    });
}

void EntryRpc::pushConfig(const PushConfig& effect)
{
    this->state->loop.post([data = this->state.get(), effect] {
        const auto send = [effect](capnp::Capability::Client peer) -> kj::Promise<void> {
            if (effect.toEntry) {
                auto request = peer.castAs<rpc::Entry>().pushConfigRequest();
                encode(effect.record, request.initConfig());
                return request.send().ignoreResult();
            }
            auto request = peer.castAs<rpc::Agent>().pushConfigRequest();
            encode(effect.record, request.initConfig());
            return request.send().ignoreResult();
        };
        data->callPeer(effect.address, send, [] {});
    });
}

void EntryRpc::fetchConfig(const FetchConfig& effect)
{
    this->state->loop.post([data = this->state.get(), effect] {
        const auto send = [data, effect](capnp::Capability::Client peer) {
            auto request = peer.castAs<rpc::Entry>().fetchConfigRequest();
            request.setKnown(effect.known.value);
            return request.send().then([data, effect](auto&& response) {
                data->handlers.onEvent(ConfigReceived { .record = decode(response.getConfig()), .from = effect.peer });
            });
        };
        data->callPeer(effect.address, send, [] {});
    });
}

void EntryRpc::queryStatus(const QueryEntryStatus& effect)
{
    this->state->loop.post([data = this->state.get(), effect] {
        const auto send = [data, effect](capnp::Capability::Client peer) {
            return peer.castAs<rpc::Entry>().localStatusRequest().send().then([data, effect](auto&& response) {
                EntryStatus status {
                    .host = effect.peer, .leaving = response.getLeaving(), .generation = { response.getGeneration() }
                };
                for (const auto agent : response.getAgents())
                    status.agents.push_back(decode(agent));
                data->handlers.onEvent(EntryStatusReceived { .status = std::move(status), .query = effect.query });
            });
        };
        data->callPeer(effect.address, send, [data, effect] {
            data->handlers.onEvent(
                EntryStatusReceived { .status = { .host = effect.peer, .reachable = false }, .query = effect.query });
        });
    });
}

} // namespace hickory
