#include "entry_loop_io.h"

#include "control_cmd.h"
#include "entry_reduce_func.h"
#include "entry_rpc_io.h"
#include "http_io.h"
#include "log_io.h"
#include "member_func.h"
#include "metrics_io.h"
#include "platform_io.h"
#include "process_loop_io.h"
#include "program_func.h"
#include "request_table_io.h"

#include <atomic>
#include <utility>

namespace hickory {

struct EntryLoop::State {
    explicit State(EntrySettings settings);

    /// Queues an event for the loop's thread. Safe from any thread.
    void post(EntryEventBody body);
    /// Applies an event and carries out its effects. Called on the loop's thread.
    void step(EntryEventBody body);

    void perform(const DispatchAttempt& effect) { this->rpc->dispatch(effect); }
    void perform(const CancelAttempt& effect) { this->rpc->cancel(effect); }
    void perform(const FailRequest& effect) { this->table.finish(effect.request, effect); }
    void perform(const FinishRequest& effect) { this->table.finish(effect.request, effect); }
    void perform(const AbortRequest& effect) { this->table.finish(effect.request, effect); }
    void perform(const ConnectAgent& effect) { this->rpc->connectAgent(effect); }
    void perform(const DisconnectAgent& effect) { this->rpc->disconnectAgent(effect); }
    void perform(const SetHeartbeatInterval& effect) { this->rpc->setHeartbeatInterval(effect); }
    void perform(const SendGossip& effect) { this->rpc->sendGossip(effect); }
    void perform(const PushConfig& effect) { this->rpc->pushConfig(effect); }
    void perform(const FetchConfig& effect) { this->rpc->fetchConfig(effect); }
    void perform(const QueryEntryStatus& effect) { this->rpc->queryStatus(effect); }
    void perform(const ReadMembers& effect) { this->platform->readMembers(effect.since); }
    void perform(const OperatorAnswer& effect) { this->http->answerOperator(effect); }
    void perform(const StoreRead& effect) { this->platform->read(effect); }
    void perform(const StoreWrite& effect) { this->platform->write(effect); }
    void perform(const ObjectRead& effect) { this->platform->readObject(effect); }
    void perform(const LogLine& effect) { writeLog(effect); }
    void perform(const MetricSample& effect) { recordMetric(effect); }
    void perform(const ExitProcess& effect);

    EntryRpcHandlers rpcHandlers();
    EntryHttpOptions httpOptions();
    /// @return the current configuration, or one of generation 0 when `known` is not older
    ConfigRecord configNewerThan(Generation known) const;

    EntryState reducerState; ///< used on the loop's thread only
    ProcessLoop loop; ///< runs the timer, the signal handlers and all events on one thread
    std::atomic<bool> ready { false }; ///< whether /readyz answers 200
    bool refusing { false }; ///< callers' requests are refused; used on the loop's thread only
    RequestTable table;
    std::unique_ptr<PlatformClient> platform; ///< table service, object store, membership
    std::unique_ptr<EntryRpc> rpc; ///< connections with agents and other entries
    std::unique_ptr<EntryHttp> http; ///< serves callers and operators
};

EntryLoop::State::State(EntrySettings settings)
{
    this->reducerState.settings = std::move(settings);
    this->reducerState.random.seed(drawSeed(this->reducerState.settings.process));
    this->reducerState.incarnation = { this->reducerState.random() };
}

void EntryLoop::State::post(EntryEventBody body)
{
    this->loop.post([this, body = std::move(body)]() mutable { this->step(std::move(body)); });
}

void EntryLoop::State::step(EntryEventBody body)
{
    const EntryEffects effects = reduce(this->reducerState, { .now = monotonicNow(), .body = std::move(body) });
    for (const EntryEffect& effect : effects)
        std::visit([this](const auto& alternative) { this->perform(alternative); }, effect);
    this->ready = this->reducerState.config.config && !this->reducerState.leaving;
}

void EntryLoop::State::perform(const ExitProcess&)
{
    this->http->refuseArrivals();
    // A request that arrived before is in the table, and its event may still be queued.
    if (std::exchange(this->refusing, true) && this->table.empty())
        this->loop.exitSoon();
}

ConfigRecord EntryLoop::State::configNewerThan(Generation known) const
{
    return this->reducerState.config.record.generation > known ? this->reducerState.config.record : ConfigRecord {};
}

EntryRpcHandlers EntryLoop::State::rpcHandlers()
{
    return {
        .onEvent = [this](EntryEventBody body) { this->post(std::move(body)); },
        .onGossip =
            [this](GossipMessage message, auto reply) {
                this->loop.post([this, message = std::move(message), reply] {
                    this->step(GossipReceived { .message = message });
                    reply(localGossip(this->reducerState));
                });
            },
        .onConfigPushed =
            [this](ConfigReceived pushed, auto reply) {
                this->loop.post([this, pushed = std::move(pushed), reply] {
                    this->step(pushed);
                    reply(this->reducerState.config.record.generation);
                });
            },
        .onFetchConfig
        = [this](Generation known,
              auto reply) { this->loop.post([this, known, reply] { reply(this->configNewerThan(known)); }); },
        .onReport =
            [this](AgentStatus status, auto reply) {
                this->loop.post([this, status = std::move(status), reply] {
                    this->step(HomeReport { .status = status });
                    reply(this->configNewerThan(status.generation));
                });
            },
        .onLocalStatus
        = [this](auto reply) { this->loop.post([this, reply] { reply(localEntryStatus(this->reducerState)); }); },
    };
}

EntryHttpOptions EntryLoop::State::httpOptions()
{
    const EntrySettings& settings = this->reducerState.settings;
    return {
        .listen = settings.process.httpListen,
        .tlsCertificate = settings.tlsCertificate,
        .tlsKey = settings.tlsKey,
        .operatorToken = settings.operatorToken,
        .workers = settings.httpWorkers,
        .maxBody = settings.maxBody,
        .defaultTimeout = settings.defaultTimeout,
        .onEvent = [this](EntryEventBody body) { this->post(std::move(body)); },
        .health = [this] { return ProcessHealth { .ready = this->ready }; },
    };
}

EntryLoop::EntryLoop(EntrySettings settings)
    : state(std::make_unique<State>(std::move(settings)))
{
}

EntryLoop::~EntryLoop() = default;

int EntryLoop::run()
{
    State& data = *this->state;
    const ProcessSettings& process = data.reducerState.settings.process;
    data.platform = std::make_unique<PlatformClient>(PlatformOptions {
        .url = process.platform,
        .onAnswer = [&data](StoreAnswer answer) { data.post(std::move(answer)); },
        .onMembers = [&data](MemberList list) { data.post(MembersUpdated { .list = std::move(list) }); },
    });
    data.rpc = std::make_unique<EntryRpc>(process.host, data.table, data.rpcHandlers());
    data.http = std::make_unique<EntryHttp>(data.httpOptions(), data.table);
    unsigned rpcPort = 0;
    unsigned httpPort = 0;
    try {
        rpcPort = data.rpc->start(process.rpcListen);
        httpPort = data.http->start();
    } catch (const std::exception& exception) {
        writeLog({ .level = LogLevel::Error, .event = "listen-failed", .fields = { { "reason", exception.what() } } });
        return exitFailure;
    }
    writeLog(listeningLine(process, rpcPort, httpPort));
    data.loop.run([&data] { data.step(Tick {}); }, [&data] { data.step(ShutdownRequested {}); });
    // The HTTP server ends first: it joins its workers, which still answer the callers that wait.
    data.http->stop();
    data.rpc->stop();
    data.platform.reset();
    writeLog({ .event = "exit", .fields = { { "reason", "planned-stop" } } });
    return exitSuccess;
}

} // namespace hickory
