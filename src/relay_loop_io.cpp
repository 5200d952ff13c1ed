#include "relay_loop_io.h"

#include "front_log_func.h"
#include "guard_func.h"
#include "log_io.h"
#include "metrics_io.h"
#include "platform_decode_func.h"
#include "platform_names.h"
#include "platform_wire_func.h"
#include "probe_io.h"
#include "program_func.h"
#include "relay_call_io.h"
#include "request_trait_func.h"
#include "settings_func.h"
#include "table/relay_limits.h"
#include "table/relay_loop_limits.h"

#include <algorithm>
#include <csignal>

namespace hickory {

namespace {

    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusUnavailable = 503;
    constexpr std::uint16_t statusBadRequest = 400;

    RelayOptions relayOptions(const RelaySettings& settings)
    {
        return { .host = settings.host.host,
            .dataCentre = settings.host.dataCentre,
            .keyConfigMaxAge = settings.maxRevocationDelay * keyConfigMaxAgePercent / 100,
            .weightsGracePeriod = settings.maxWeightsDelay - weightsMargin,
            .retryRatio = settings.retryRatio,
            .retryExtra = settings.retryExtra,
            .retryWindow = settings.retryWindow,
            .regions = settings.host.regions,
            .maxEvacuationDelay = settings.maxEvacuationDelay,
            .evacuationsConfigured = settings.evacuationsConfigured,
            .coldOverage = settings.coldOverage,
            .coldSlack = settings.coldSlack,
            .seed = settings.host.seed };
    }

    /// @param failed set to true when the address could not be bound; the failure is logged
    /// @return the bound port, or 0
    std::uint16_t boundPort(const Result<std::uint16_t>& listening, bool& failed)
    {
        if (listening)
            return listening.value();
        writeLog({ .level = LogLevel::Error,
            .event = "listen-failed",
            .fields = { { "error", listening.error().text() } } });
        failed = true;
        return 0;
    }

    /// @return how long before the end of a grace period the responses end
    Milliseconds drainMarginOf(Milliseconds gracePeriod)
    {
        return std::min(drainMargin, gracePeriod / drainMarginDivisor);
    }

    LogLine storeLogLine(const char* event, const char* table, const std::string& detail)
    {
        return { .level = LogLevel::Warning,
            .event = event,
            .fields = { { "dependency", "store" }, { "table", table }, { "detail", detail } } };
    }

    void recordLateAnswer(const char* table, const platform::LateAnswer& late)
    {
        writeLog({ .event = "late-answer",
            .fields = { { "table", table }, { "kind", late.kind }, { "answered", storeVersionText(late.answered) },
                { "held", storeVersionText(late.held) } } });
        recordMetric({ .name = "late_answers_total",
            .labels = "table=\"" + std::string(table) + "\",kind=\"" + late.kind + "\"" });
    }

} // namespace

RelayLoop::RelayLoop(RelaySettings given, std::string path)
    : settings(std::move(given))
    , settingsPath(std::move(path))
    , settingsFile(watchFile(this->settingsPath))
    , pool(this->io, upstreamLinkOptions)
    , front(this->io, callerLinkOptions,
          { .onRequest = [this](FrontRequest&& request) { this->onRequest(std::move(request)); },
              .onCallerDisconnected = [this](CallId call) { this->onCallerDisconnected(call); },
              .onConnectionClosed = [this](const ClosedConnection& closed) { this->onConnectionClosed(closed); } })
    , peerSocket(this->io, [this](const PeerBeacon& beacon, const std::string& ip) { this->onBeacon(beacon, ip); })
    , operatorRows(this->io, this->pool,
          { .address = this->settings.host.store, .table = platform::operatorTable, .wait = operatorPollTimeout },
          { .onChange = [this](const auto& rows) { this->onOperatorRows(rows); },
              .onConfirmed = [this] { this->onConfirmed(); },
              .onLost
              = [](const Error& error) { writeLog(storeLogLine("dependency-lost", "operators", error.text())); },
              .onRegained =
                  [](Milliseconds downFor) {
                      writeLog(storeLogLine(
                          "dependency-regained", "operators", "after " + std::to_string(downFor.value) + " ms"));
                  },
              .onRestored
              = [this](const StoreVersion& from, const StoreVersion& to) { this->onRestored("operators", from, to); },
              .onLate = [](const platform::LateAnswer& late) { recordLateAnswer("operators", late); } })
    , upstreamRows(this->io, this->pool,
          { .address = this->settings.host.store,
              .table = platform::upstreamTable,
              .wait = upstreamPollTimeout,
              .settle = upstreamDebounce },
          { .onChange = [this](const auto& rows) { this->onUpstreamRows(rows); },
              .onConfirmed = [this] { this->upstreamsRestored = false; },
              .onLost
              = [](const Error& error) { writeLog(storeLogLine("dependency-lost", "upstreams", error.text())); },
              .onRegained =
                  [this](Milliseconds downFor) {
                      writeLog(storeLogLine(
                          "dependency-regained", "upstreams", "after " + std::to_string(downFor.value) + " ms"));
                      this->relistingUntil = monotonicNow() + relistGracePeriod;
                  },
              .onRestored =
                  [this](const StoreVersion& from, const StoreVersion& to) {
                      this->onRestored("upstreams", from, to);
                      this->upstreamsRestored = true;
                  },
              .onLate = [](const platform::LateAnswer& late) { recordLateAnswer("upstreams", late); } })
    , state(makeRelayState(relayOptions(this->settings)))
    , tickTimer(this->io)
    , beaconTimer(this->io)
    , sweepTimer(this->io)
    , tablesTimer(this->io)
    , signals(this->io, SIGTERM, SIGINT, SIGHUP)
    , incarnation { static_cast<std::uint64_t>(wallNow().value) }
{
    this->applyMemoryLimits();
    for (const std::string& seed : this->settings.host.seeds)
        this->peers.seeds.insert(seed.substr(0, seed.rfind(':')));
}

RelayLoop::~RelayLoop() = default;

void RelayLoop::applyMemoryLimits()
{
    this->front.setBudget(callerBudget(this->settings.memoryMb, this->settings.maxDescriptors));
    this->answerMemory.limit = answerBudget(this->settings.memoryMb);
}

bool RelayLoop::open()
{
    bool failed = false;
    boundPort(this->front.listen(this->settings.front), failed);
    this->readinessPort = boundPort(this->front.listen(this->settings.readiness, true), failed);
    this->lookupPort = boundPort(this->front.listen(this->settings.lookup, true), failed);
    this->controlPort = boundPort(this->front.listen(this->settings.control, true), failed);
    if (const auto error = this->peerSocket.open(this->settings.host.ip, this->settings.host.peerPort)) {
        writeLog({ .level = LogLevel::Error, .event = "listen-failed", .fields = { { "error", error->text() } } });
        failed = true;
    }
    return !failed;
}

int RelayLoop::run()
{
    if (!this->open())
        return exitFailure;
    writeLog({ .event = "start",
        .fields = { { "version", HICKORY_VERSION }, { "front", this->settings.front },
            { "store", this->settings.host.store }, { "place", this->settings.host.dataCentre.value },
            { "seed", std::to_string(this->settings.host.seed) } } });
    this->operatorRows.start();
    this->upstreamRows.start();
    this->onTick();
    this->sendBeacons();
    this->sweep();
    this->refreshTables();
    std::function<void()> waitSignal = [this, &waitSignal] {
        this->signals.async_wait([this, &waitSignal](const std::error_code& code, int number) {
            if (code)
                return;
            if (number == SIGHUP)
                this->reload();
            else
                this->startDrain();
            waitSignal();
        });
    };
    waitSignal();
    while (!guarded("event", {}, [this] { this->io.run(); })) { }
    writeLog({ .event = "stop", .fields = { { "open_calls", std::to_string(this->front.openCalls()) } } });
    return this->exitCode;
}

void RelayLoop::armTimer(asio::steady_timer& timer, Milliseconds period, void (RelayLoop::*handler)())
{
    timer.expires_after(std::chrono::milliseconds(period.value));
    timer.async_wait([this, &timer, period, handler](const std::error_code& code) {
        if (code || guarded("timer", {}, [&] { (this->*handler)(); }))
            return;
        this->armTimer(timer, period, handler); // the handler did not get to it
    });
}

// Event dispatch ----------------------------------------------------------------------------------------------------

void RelayLoop::dispatch(const RelayEvent& event)
{
    for (const RelayEffect& effect : reduceRelay(this->state, event, monotonicNow()))
        this->apply(effect);
}

void RelayLoop::apply(const RelayEffect& effect)
{
    if (const auto* send = std::get_if<SendToUpstream>(&effect))
        this->send(*send);
    else if (const auto* response = std::get_if<ForwardResponse>(&effect))
        this->forwardResponse(*response);
    else if (const auto* refusal = std::get_if<RefuseCall>(&effect))
        this->refuse(*refusal);
    else if (const auto* cancel = std::get_if<CancelSend>(&effect)) {
        const auto found = this->calls.find(cancel->call);
        if (found == this->calls.end() || !found->second->sends.contains(cancel->send))
            return;
        this->pool.cancel(found->second->sends.at(cancel->send)->out);
        found->second->sends.erase(cancel->send);
    } else if (const auto* finish = std::get_if<FinishResponse>(&effect)) {
        const auto found = this->calls.find(finish->call);
        if (found == this->calls.end())
            return;
        if (found->second->streaming) {
            this->front.body(finish->call, found->second->sends.at(finish->send)->splitter.rest());
            this->front.finish(finish->call);
        }
        this->forget(finish->call);
    } else if (const auto* abort = std::get_if<AbortResponse>(&effect)) {
        this->front.abort(abort->call, abort->reason);
        this->forget(abort->call);
    } else if (const auto* probe = std::get_if<ProbeUpstream>(&effect))
        this->probe(*probe);
    else if (const auto* news = std::get_if<AnnounceCrashNews>(&effect))
        this->announceCrashNews(news->learned);
    else if (const auto* line = std::get_if<LogLine>(&effect))
        writeLog(*line);
    else if (const auto* sample = std::get_if<MetricSample>(&effect))
        recordMetric(*sample);
}

void RelayLoop::probe(const ProbeUpstream& effect)
{
    auto probed = std::make_shared<UpstreamProbed>(
        UpstreamProbed { .upstream = effect.upstream, .startedAt = monotonicNow(), .mustAnswer = effect.mustAnswer });
    probeConnection(this->io,
        { .address = effect.address,
            .statusPath = effect.statusPath,
            .mustAnswer = effect.mustAnswer,
            .timeout = effect.timeout,
            .onHead = [probed](const WireHead& head) { probed->notice = platform::decodeResponseHead(head).notice; } },
        [this, probed](ProbeResult result) {
            probed->result = result;
            this->dispatch(*probed);
        });
}

void RelayLoop::send(const SendToUpstream& effect)
{
    const auto found = this->calls.find(effect.call);
    if (found == this->calls.end())
        return;
    const std::shared_ptr<Call>& call = found->second;
    auto upstreamCall = std::make_shared<UpstreamCall>(*this, effect, call);
    call->sends[effect.send] = upstreamCall;
    upstreamCall->out = this->pool.send({ .address = effect.address,
                                            .bytes = platform::encodeUpstreamRequest(call->head, call->body, effect),
                                            .maxIdle = effect.newConnection   ? Milliseconds { -1 }
                                                : effect.avoidStaleConnection ? maxReuseIdleNonIdempotent
                                                                              : maxReuseIdle },
        upstreamCall);
}

void RelayLoop::forwardResponse(const ForwardResponse& effect)
{
    const auto found = this->calls.find(effect.call);
    if (found == this->calls.end() || !found->second->sends.contains(effect.send))
        return;
    Call& call = *found->second;
    const UpstreamCall& upstreamCall = *call.sends.at(effect.send);
    const auto headers = platform::callerHeaders(upstreamCall.head);
    if (!upstreamCall.stream) {
        this->front.answer(effect.call, upstreamCall.head.status, headers, upstreamCall.body);
        return;
    }
    this->front.begin(effect.call, upstreamCall.head.status, headers);
    this->front.body(effect.call, upstreamCall.body);
    call.streaming = true;
}

bool RelayLoop::isInFlight(CallId call, SendId send) const
{
    const auto found = this->state.requests.find(call);
    return found != this->state.requests.end() && found->second.active && found->second.active->send == send;
}

void RelayLoop::forget(CallId call)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    // A call and its sends refer to each other.
    found->second->sends.clear();
    this->calls.erase(found);
}

void RelayLoop::refuse(const RefuseCall& effect)
{
    const auto found = this->calls.find(effect.call);
    const std::string attempt = found == this->calls.end() ? std::string {} : found->second->attemptId;
    this->forget(effect.call);
    this->front.answer(
        effect.call, effect.status, platform::refusalHeaders(attempt, effect.retryAfter), effect.reason + "\n");
}

// Callers -----------------------------------------------------------------------------------------------------------

void RelayLoop::onRequest(FrontRequest&& request)
{
    if (request.port == this->readinessPort) {
        const bool isReady = this->ready();
        this->front.answer(request.id, isReady ? statusOk : statusUnavailable, {}, isReady ? "ready\n" : "not ready\n");
        return;
    }
    if (request.port == this->lookupPort) {
        this->onLookup(request);
        return;
    }
    if (request.port == this->controlPort) {
        this->onControl(request);
        return;
    }
    CallArrived event {
        .call = request.id, .firstByteAt = request.firstByteAt, .metadata = platform::decodeRequest(request.head)
    };
    if (event.metadata.attemptId.empty() || event.metadata.host.empty()) {
        this->front.answer(request.id, statusBadRequest, {}, "a request needs a host and an id\n");
        return;
    }
    recordReuse(request.before, event.metadata.attemptId);
    event.metadata.wholeRequest = wholeRequestTrait(request.head.method, event.metadata, request.body);
    auto call = std::make_shared<Call>();
    call->head = std::move(request.head);
    call->body = std::move(request.body);
    call->attemptId = event.metadata.attemptId;
    this->calls[request.id] = std::move(call);
    this->dispatch(event);
}

void RelayLoop::onCallerDisconnected(CallId call)
{
    this->dispatch(RelayCallerDisconnected { .call = call });
    this->forget(call);
}

void RelayLoop::onConnectionClosed(const ClosedConnection& closed)
{
    const auto found = this->calls.find(closed.call);
    recordClosed(
        closed, found == this->calls.end() ? platform::decodeRequest(closed.head).attemptId : found->second->attemptId);
}

bool RelayLoop::ready() const
{
    return this->drainingSince.value == 0 && this->state.config && !this->upstreams.empty() && this->isConfigTrusted();
}

bool RelayLoop::isConfigTrusted() const
{
    return monotonicNow() - this->state.configConfirmedAt <= this->state.options.keyConfigMaxAge;
}

// Periodic work -----------------------------------------------------------------------------------------------------

void RelayLoop::onTick()
{
    this->dispatch(RelayTick {});
    constexpr std::uint32_t ticksPerFlush = 5;
    if (this->ticks++ % ticksPerFlush == 0)
        flushLog();
    if (this->drainingSince.value != 0)
        this->continueDrain();
    if (!this->configCompared && this->ticks * tickPeriod.value >= configComparisonTime.value)
        this->endConfigComparison();
    this->armTimer(this->tickTimer, tickPeriod, &RelayLoop::onTick);
}

void RelayLoop::sweep()
{
    const Milliseconds now = monotonicNow();
    this->front.sweep(now);
    recordMetric({ .kind = MetricSample::Kind::Gauge,
        .name = "caller_memory_bytes",
        .value = static_cast<double>(this->front.heldBytes()) });
    this->pool.sweep(now);
    this->peerSocket.publishCounts();
    removeSilentPeers(this->peers, now);
    std::erase_if(this->upstreamReports, [&](const auto& item) {
        return now - item.second.seenAt > goneReportMaxAge && !this->upstreams.contains(item.first);
    });
    removeOldReports(this->engines, now);
    removeOldReports(this->remoteEngines, now);
    const std::vector<PeerInfo> live = liveEntries(this->peers, now);
    const auto before = std::count_if(
        live.begin(), live.end(), [&](const PeerInfo& entry) { return entry.host < this->settings.host.host; });
    const auto beforeHere = std::count_if(live.begin(), live.end(), [&](const PeerInfo& entry) {
        return entry.host < this->settings.host.host && entry.dataCentre == this->settings.host.dataCentre;
    });
    EntryCountUpdated counted { .entryCount = static_cast<std::uint32_t>(live.size() + 1),
        .position = static_cast<std::uint32_t>(before),
        .positionHere = static_cast<std::uint32_t>(beforeHere) };
    for (const PeerInfo& entry : live) {
        counted.others.push_back(entry.host);
        counted.anyOtherReady = counted.anyOtherReady || entry.ready;
    }
    this->dispatch(counted);
    if (wasWritten(this->settingsFile))
        this->reload();
    bool listChanged = false;
    for (auto row = this->expiredRows.begin(); row != this->expiredRows.end();) {
        if (now < row->second) {
            ++row;
            continue;
        }
        this->upstreams.erase(row->first);
        row = this->expiredRows.erase(row);
        listChanged = true;
    }
    if (listChanged)
        this->publishUpstreams({}, std::nullopt);
    this->armTimer(this->sweepTimer, sweepPeriod, &RelayLoop::sweep);
}

void RelayLoop::reload()
{
    const Result<RelaySettings> read = loadRelaySettings(this->settingsPath);
    writeLog({ .level = read ? LogLevel::Info : LogLevel::Error,
        .event = "reload",
        .fields = { { "result", read ? "ok" : read.error().text() } } });
    if (!read)
        return;
    // Sockets stay bound to the addresses read at start, and the seed is kept.
    const std::uint64_t seed = this->settings.host.seed;
    this->settings = read.value();
    this->settings.host.seed = seed;
    this->state.options = relayOptions(this->settings);
    this->dispatch(SettingsReloaded {});
    this->applyMemoryLimits();
}

void RelayLoop::startDrain()
{
    if (this->drainingSince.value != 0)
        return;
    this->drainingSince = monotonicNow();
    writeLog({ .event = "drain", .fields = { { "open_calls", std::to_string(this->front.openCalls()) } } });
    this->front.startDrain();
    // The platform measures the period in force now, whatever the settings say later.
    const Milliseconds gracePeriod = this->settings.gracePeriod;
    const Milliseconds margin = drainMarginOf(gracePeriod);
    this->exitsAt = this->drainingSince + gracePeriod - margin / 2;
    this->dispatch(DrainStarted { .endsAt = this->drainingSince + gracePeriod - margin });
    // Tells peers to leave this entry out of their answers to lookups.
    this->sendBeacons();
}

void RelayLoop::continueDrain()
{
    const Milliseconds now = monotonicNow();
    const Milliseconds elapsed = now - this->drainingSince;
    const bool isDone = elapsed > minDrainPeriod && this->calls.empty() && !this->front.hasUnsent();
    if (isDone || elapsed > drainAcceptPeriod)
        this->front.closeIdle(false);
    // What is still being read is answered first, and callers get the time to read their answers.
    const bool isLingering = this->front.isLingering() && now < this->state.drainEndsAt.value_or(now);
    const bool isEmpty = isDone && !this->front.hasConnections() && !isLingering;
    if (!this->exiting && (isEmpty || now > this->exitsAt)) {
        this->exiting = true;
        this->front.closeIdle();
        // The delay lets bytes already written reach the callers.
        this->sweepTimer.expires_after(std::chrono::milliseconds(drainFlushDelay.value));
        this->sweepTimer.async_wait([this](const std::error_code&) { this->io.stop(); });
    }
}

} // namespace hickory
