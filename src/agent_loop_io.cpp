#include "agent_loop_io.h"

#include "agent_reduce_func.h"
#include "agent_rpc_io.h"
#include "http_io.h"
#include "log_io.h"
#include "metrics_io.h"
#include "platform_io.h"
#include "process_loop_io.h"
#include "program_func.h"
#include "upstream_io.h"
#include "weights_io.h"

#include <atomic>
#include <map>

namespace hickory {

namespace {

    /// A dispatch that has not been answered.
    struct PendingDispatch {
        std::shared_ptr<RequestPayload> payload; ///< request to send to the upstream
        std::shared_ptr<PartChannel> channel; ///< carries the parts of the answer to the entry
    };

} // namespace

struct AgentLoop::State {
    explicit State(AgentSettings settings);

    /// Queues an event for the loop's thread. Safe from any thread.
    void post(AgentEventBody body);
    /// Applies an event and carries out its effects. Called on the loop's thread.
    void step(AgentEventBody body);

    void perform(const StartUpstream& effect);
    void perform(const CancelUpstream& effect) { this->upstream->cancel(effect); }
    void perform(const AnswerDispatch& effect);
    void perform(const PollUpstream&) { this->upstream->pollState(); }
    void perform(const OrderLoad& effect)
    {
        this->upstream->orderLoad(effect, this->weights ? this->weights->path(effect.manifest) : std::string {});
    }
    void perform(const FetchManifest& effect) { this->weights->fetchManifest(effect); }
    void perform(const QueryChunkMap& effect) { this->rpc->queryChunkMap(effect); }
    void perform(const FetchChunk& effect) { this->weights->fetchChunk(effect); }
    void perform(const DropWeights& effect) { this->weights->drop(effect); }
    void perform(const SetChunkRate& effect) { this->weights->setRate(effect); }
    void perform(const NotifyListeners& effect) { this->rpc->notifyListeners(effect); }
    void perform(const ReportHome& effect);
    void perform(const PublishStatus& effect);
    void perform(const FetchConfig& effect);
    void perform(const ReadMembers& effect) { this->platform->readMembers(effect.since); }
    void perform(const StoreRead& effect) { this->platform->read(effect); }
    void perform(const StoreWrite& effect) { this->platform->write(effect); }
    void perform(const ObjectRead& effect) { this->platform->readObject(effect); }
    void perform(const LogLine& effect) { writeLog(effect); }
    void perform(const MetricSample& effect) { recordMetric(effect); }
    void perform(const ExitProcess&) { this->loop.exitSoon(); }

    AgentRpcHandlers rpcHandlers();
    void startWeights();

    AgentState reducerState; ///< used on the loop's thread only
    ProcessLoop loop; ///< runs the timer, the signal handlers and all events on one thread
    std::atomic<bool> ready { false }; ///< whether /readyz answers 200
    std::map<AttemptKey, PendingDispatch>
        pendingDispatches; ///< dispatches that have not been answered; used on the loop's thread only
    std::unique_ptr<PlatformClient> platform; ///< table service, object store, membership
    std::unique_ptr<WeightsStore> weights; ///< chunks on this host; null unless the upstream is an engine
    std::unique_ptr<UpstreamClient> upstream; ///< client of the upstream on this host
    std::unique_ptr<AgentRpc> rpc; ///< connections of entries and other agents
    StatusHttp http; ///< serves metrics and health checks
};

AgentLoop::State::State(AgentSettings settings)
{
    this->reducerState.settings = std::move(settings);
    this->reducerState.random.seed(drawSeed(this->reducerState.settings.process));
    // With a fixed seed, a restarted agent would otherwise draw the incarnation of the previous run again.
    this->reducerState.incarnation = { this->reducerState.random() ^ static_cast<std::uint64_t>(wallNow().value) };
}

void AgentLoop::State::post(AgentEventBody body)
{
    this->loop.post([this, body = std::move(body)]() mutable { this->step(std::move(body)); });
}

void AgentLoop::State::step(AgentEventBody body)
{
    const AgentEffects effects = reduce(this->reducerState, { .now = monotonicNow(), .body = std::move(body) });
    for (const AgentEffect& effect : effects)
        std::visit([this](const auto& alternative) { this->perform(alternative); }, effect);
}

void AgentLoop::State::perform(const StartUpstream& effect)
{
    const auto found = this->pendingDispatches.find(effect.key);
    if (found != this->pendingDispatches.end())
        this->upstream->start(effect, found->second.payload, found->second.channel);
}

void AgentLoop::State::perform(const AnswerDispatch& effect)
{
    this->pendingDispatches.erase(effect.key);
    this->rpc->answerDispatch(effect);
}

void AgentLoop::State::perform(const ReportHome& effect)
{
    this->rpc->reportHome(effect, [this, from = effect.entry](Result<ConfigRecord> answer) {
        if (answer)
            this->post(ConfigReceived { .record = std::move(answer.value()), .from = from });
        else
            this->post(HomeReportFailed { .entry = from });
    });
}

void AgentLoop::State::perform(const FetchConfig& effect)
{
    this->rpc->fetchConfig(effect, [this, from = effect.peer](Result<ConfigRecord> answer) {
        if (answer)
            this->post(ConfigReceived { .record = std::move(answer.value()), .from = from });
    });
}

void AgentLoop::State::perform(const PublishStatus& effect)
{
    this->ready = effect.status.ready;
    this->rpc->publishStatus(effect.status);
}

AgentRpcHandlers AgentLoop::State::rpcHandlers()
{
    return {
        .onEvent = [this](AgentEventBody body) { this->post(std::move(body)); },
        .onDispatch =
            [this](
                DispatchReceived event, std::shared_ptr<RequestPayload> payload, std::shared_ptr<PartChannel> channel) {
                this->loop.post([this, event = std::move(event), payload = std::move(payload),
                                    channel = std::move(channel)]() mutable {
                    this->pendingDispatches[event.call.key]
                        = { .payload = std::move(payload), .channel = std::move(channel) };
                    this->step(std::move(event));
                });
            },
        .chunkMap =
            [this](const ManifestDigest& manifest) {
                return this->weights ? this->weights->chunkMap(manifest) : std::string {};
            },
        .readChunk = [this](const ManifestDigest& manifest, ChunkIndex index) -> Result<std::string> {
            if (!this->weights)
                return Error { .code = ErrorCode::NotFound, .step = "read-chunk" };
            return this->weights->readChunk(manifest, index);
        },
        .uploadDelay
        = [this](Bytes bytes) { return this->weights ? this->weights->uploadDelay(bytes) : Milliseconds {}; },
    };
}

void AgentLoop::State::startWeights()
{
    const AgentSettings& settings = this->reducerState.settings;
    if (!settings.engine)
        return;
    this->weights = std::make_unique<WeightsStore>(WeightsOptions {
        .platformUrl = settings.process.platform,
        .directory = settings.weightsDirectory,
        .limit = settings.weightsLimit,
        .linkRate = settings.linkRate,
        .fetchFromPeer =
            [this](const std::string& address, const ManifestDigest& manifest, ChunkIndex index, Milliseconds timeout,
                std::function<void(Result<std::string>)> done) {
                this->rpc->fetchChunk(address, manifest, index, timeout, std::move(done));
            },
        .onEvent = [this](AgentEventBody body) { this->post(std::move(body)); },
    });
}

AgentLoop::AgentLoop(AgentSettings settings)
    : state(std::make_unique<State>(std::move(settings)))
{
}

AgentLoop::~AgentLoop() = default;

int AgentLoop::run()
{
    State& data = *this->state;
    const AgentSettings& settings = data.reducerState.settings;
    const ProcessSettings& process = settings.process;
    data.platform = std::make_unique<PlatformClient>(PlatformOptions {
        .url = process.platform,
        .onAnswer = [&data](StoreAnswer answer) { data.post(std::move(answer)); },
        .onMembers = [&data](MemberList list) { data.post(MembersUpdated { .list = std::move(list) }); },
    });
    data.rpc = std::make_unique<AgentRpc>(data.rpcHandlers());
    data.startWeights();
    data.upstream = std::make_unique<UpstreamClient>(UpstreamOptions {
        .url = settings.upstream,
        .engine = settings.engine,
        .onEvent = [&data](AgentEventBody body) { data.post(std::move(body)); },
    });
    unsigned rpcPort = 0;
    unsigned httpPort = 0;
    try {
        rpcPort = data.rpc->start(process.rpcListen);
        httpPort = data.http.start(process.httpListen, [&data] { return ProcessHealth { .ready = data.ready }; });
    } catch (const std::exception& exception) {
        writeLog({ .level = LogLevel::Error, .event = "listen-failed", .fields = { { "reason", exception.what() } } });
        return exitFailure;
    }
    writeLog(listeningLine(process, rpcPort, httpPort));
    data.loop.run([&data] { data.step(Tick {}); }, [&data] { data.step(ShutdownRequested {}); });
    data.http.stop();
    data.rpc->stop();
    data.upstream.reset();
    data.weights.reset();
    data.platform.reset();
    writeLog({ .event = "exit", .fields = { { "reason", "planned-stop" } } });
    return exitSuccess;
}

} // namespace hickory
