#include "loader_loop_io.h"

#include "front_log_func.h"
#include "guard_func.h"
#include "log_io.h"
#include "metrics_io.h"
#include "platform_names.h"
#include "platform_wire_func.h"
#include "program_func.h"
#include "table/answer_limits.h"
#include "table/caller_limits.h"
#include "table/loader_limits.h"
#include "table/relay_loop_limits.h"

#include <algorithm>
#include <charconv>
#include <csignal>

namespace hickory {

namespace {

    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusNotFound = 404;
    constexpr std::uint16_t statusUnavailable = 503;

} // namespace

LoaderLoop::LoaderLoop(LoaderSettings loaderSettings)
    : settings(std::move(loaderSettings))
    , pool(this->io, upstreamLinkOptions)
    , front(this->io, callerLinkOptions,
          { .onRequest = [this](FrontRequest&& request) { this->onRequest(std::move(request)); },
              .onCallerDisconnected =
                  [this](CallId call) {
                      std::erase_if(this->uploads, [&](const Upload& queued) { return queued.call == call; });
                  },
              .onConnectionClosed = [](const ClosedConnection& closed) { recordClosed(closed, {}); } })
    , peerSocket(this->io, [this](const PeerBeacon& beacon, const std::string& ip) { this->onBeacon(beacon, ip); })
    , state(makeStageState({ .host = this->settings.host.host,
          .ip = this->settings.host.ip,
          .dataCentre = this->settings.host.dataCentre,
          .service = this->settings.service,
          .maxWeightsDelay = this->settings.maxWeightsDelay,
          .seed = this->settings.host.seed }))
    , uploadTimer(this->io)
    , reportTimer(this->io)
    , beaconTimer(this->io)
    , fleetPollTimer(this->io)
    , signals(this->io, SIGTERM, SIGINT, SIGHUP)
    , incarnation { static_cast<std::uint64_t>(wallNow().value) }
{
    this->front.setBudget(callerBudget(agentMemoryMb, agentDescriptors));
    for (const std::string& seed : this->settings.host.seeds)
        this->peers.seeds.insert(seed.substr(0, seed.rfind(':')));
    this->peers.liveTimeout = entryLiveTimeout;
}

LoaderLoop::~LoaderLoop() = default;

int LoaderLoop::run()
{
    const HostSettings& host = this->settings.host;
    const auto listening = this->front.listen(host.ip + ":" + std::to_string(host.peerPort));
    const auto socketError = this->peerSocket.open(host.ip, host.peerPort);
    if (!listening || socketError) {
        writeLog({ .level = LogLevel::Error,
            .event = "listen-failed",
            .fields = { { "error", listening ? socketError->text() : listening.error().text() } } });
        return exitFailure;
    }
    writeLog({ .event = "start",
        .fields = { { "version", HICKORY_VERSION }, { "engine", this->settings.engine },
            { "place", host.dataCentre.value }, { "seed", std::to_string(host.seed) } } });
    this->onReportTimer();
    this->onBeaconTimer();
    this->onFleetPollTimer();
    std::function<void()> waitSignal = [this, &waitSignal] {
        this->signals.async_wait([this, &waitSignal](const std::error_code& code, int number) {
            if (code)
                return;
            if (number != SIGHUP) {
                // Stops at once, without a drain: no caller's request passes through this process, and agents that are
                // fetching a piece from it turn to another source.
                this->io.stop();
                return;
            }
            writeLog({ .event = "reload", .fields = { { "result", "nothing to change" } } });
            waitSignal();
        });
    };
    waitSignal();
    while (!guarded("event", {}, [this] { this->io.run(); })) { }
    writeLog({ .event = "stop" });
    return exitSuccess;
}

void LoaderLoop::armTimer(asio::steady_timer& timer, Milliseconds period, void (LoaderLoop::*handler)())
{
    timer.expires_after(std::chrono::milliseconds(period.value));
    timer.async_wait([this, &timer, period, handler](const std::error_code& code) {
        if (code || guarded("timer", {}, [&] { (this->*handler)(); }))
            return;
        this->armTimer(timer, period, handler); // the handler did not get to it
    });
}

// Decisions ---------------------------------------------------------------------------------------------------------

void LoaderLoop::dispatch(const StageEvent& event)
{
    for (const StageEffect& effect : reduceStage(this->state, event, monotonicNow()))
        this->apply(effect);
    if (std::holds_alternative<PieceFetched>(event) || std::holds_alternative<ManifestFetched>(event))
        this->announcePieces(this->makeBeacon());
}

void LoaderLoop::apply(const StageEffect& effect)
{
    if (const auto* manifest = std::get_if<RequestManifest>(&effect))
        this->fetchManifest(*manifest);
    else if (const auto* piece = std::get_if<RequestPiece>(&effect))
        this->fetchPiece(*piece);
    else if (const auto* stage = std::get_if<StagePiece>(&effect))
        this->stagePiece(*stage);
    else if (const auto* check = std::get_if<CheckStagedPieces>(&effect))
        this->checkStagedPieces(*check);
    else if (const auto* inspect = std::get_if<InspectStagedPieces>(&effect))
        this->inspectStagedPieces(*inspect);
    else if (std::holds_alternative<AnnounceLoadOrder>(effect)) {
        ++this->reportSequence; // the report may have been sent before without the order
        this->sendBeacon();
    } else if (std::holds_alternative<PollReport>(effect))
        this->pollReport([] {});
    else if (const auto* order = std::get_if<SendLoadOrder>(&effect))
        this->sendLoadOrder(*order);
    else if (const auto* line = std::get_if<LogLine>(&effect))
        writeLog(*line);
    else if (const auto* sample = std::get_if<MetricSample>(&effect))
        recordMetric(*sample);
}

// Other agents ------------------------------------------------------------------------------------------------------

void LoaderLoop::onRequest(FrontRequest&& request)
{
    const std::string& target = request.head.target;
    if (target == "/metrics") {
        this->front.answer(request.id, statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsPage());
        return;
    }
    std::uint64_t version = 0;
    const char* end = target.data() + target.size();
    if (target.starts_with(peerWeightsPath)) {
        const auto parsed = std::from_chars(target.data() + std::string_view(peerWeightsPath).size(), end, version);
        const std::string_view resource(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
        const auto found = this->held.find(version);
        std::uint32_t index = 0;
        if (resource == "/manifest" && found != this->held.end() && !found->second.manifestText.empty()) {
            this->front.answer(request.id, statusOk, {}, found->second.manifestText);
            return;
        }
        const char* rest = resource.size() > 1 ? std::from_chars(resource.data() + 1, end, index).ptr : resource.data();
        const std::string_view query(rest, static_cast<std::size_t>(end - rest));
        if (resource.size() > 1 && (query.empty() || query == otherDataCentreQuery)) {
            this->onPieceRequest(request.id, { version }, index, query == otherDataCentreQuery);
            return;
        }
    }
    this->front.answer(request.id, statusNotFound, {}, "not here\n");
}

void LoaderLoop::onPieceRequest(CallId call, WeightsVersion version, std::uint32_t index, bool otherDataCentre)
{
    if (this->uploads.size() >= maxUploads && !otherDataCentre) {
        // The requester turns to another source: by the time this upload would start, other agents hold the piece.
        this->front.answer(call, statusUnavailable, {}, "busy\n");
        return;
    }
    const auto found = this->held.find(version.value);
    const bool isHeld
        = found != this->held.end() && index < found->second.pieces.size() && !found->second.pieces[index].empty();
    if (isHeld)
        this->upload(call, found->second.pieces[index], otherDataCentre);
    else
        this->front.answer(call, statusNotFound, {}, "not here\n");
}

// Entries -----------------------------------------------------------------------------------------------------------

void LoaderLoop::onBeacon(const PeerBeacon& beacon, const std::string& ip)
{
    if (beacon.from.front.empty()) {
        this->dispatch(PeerPiecesReceived { .ip = ip, .sets = beacon.pieces, .wantsPieces = beacon.wantsPieces });
        this->announcePieces(this->makeBeacon());
    } else {
        recordBeacon(this->peers, this->settings.host.host, beacon, ip, monotonicNow());
        if (beacon.operatorTable > this->operatorTable && beacon.from.dataCentre == this->settings.host.dataCentre) {
            this->operatorTable = beacon.operatorTable;
            this->entry = beacon.from.control;
            this->requestFleetView();
        }
    }
}

PeerBeacon LoaderLoop::makeBeacon() const
{
    return { .from = { .host = this->settings.host.host,
                 .incarnation = this->incarnation,
                 .dataCentre = this->settings.host.dataCentre } };
}

void LoaderLoop::sendBeacon()
{
    this->sendReport(this->makeBeacon());
    this->announcePieces(this->makeBeacon());
}

void LoaderLoop::sendReport(PeerBeacon beacon)
{
    const Milliseconds now = monotonicNow();
    if (this->state.report)
        beacon.engine = EngineReported { .address = this->settings.engine,
            .report = *this->state.report,
            .orderPending = orderPending(this->state),
            .clearing = isClearing(this->state),
            .slowdownStated = this->statesSlowdown,
            .order = { .agentStart = this->incarnation, .sequence = this->reportSequence },
            .age = now - this->reportReadAt };
    std::vector<PeerInfo> homes
        = homeEntries(this->peers, this->settings.host.host, this->settings.host.dataCentre, now);
    if (homes.empty()) {
        // All entries known may be gone: some are tried at a time.
        std::vector<std::string> ips = beaconTargets(this->peers, this->settings.host.ip);
        if (ips.size() > maxSearchTargets) {
            std::shuffle(ips.begin(), ips.end(), this->state.random);
            ips.resize(maxSearchTargets);
        }
        this->peerSocket.send(beacon, ips);
        return;
    }
    std::vector<HostId> hosts;
    for (const PeerInfo& home : homes)
        hosts.push_back(home.host);
    if (hosts != this->homes) {
        LogLine line { .event = "report-homes", .fields = {} };
        for (const PeerInfo& home : homes)
            line.fields.emplace_back("entry", home.host.value);
        writeLog(line);
        this->homes = std::move(hosts);
    }
    const bool toAll = this->reportsSent++ % reportsPerReportToAll == 0
        || this->lastReported.has_value() != beacon.engine.has_value()
        || (beacon.engine && changedBeyondLoad(*this->lastReported, *beacon.engine, this->statesSlowdown));
    if (toAll)
        this->lastReported = beacon.engine;
    else
        homes.resize(1);
    std::vector<std::string> ips;
    for (const PeerInfo& home : homes)
        ips.push_back(home.ip);
    recordReportSent(this->peers, homes, now);
    this->peerSocket.send(beacon, ips);
}

void LoaderLoop::announcePieces(PeerBeacon beacon)
{
    for (PieceAnnouncement& announcement : takeAnnouncements(this->state, monotonicNow())) {
        beacon.pieces = std::move(announcement.pieces);
        beacon.wantsPieces = announcement.wantsPieces;
        this->peerSocket.send(beacon, announcement.ips);
    }
}

std::string LoaderLoop::chooseEntry()
{
    const std::vector<PeerInfo> live = liveEntries(this->peers, monotonicNow());
    std::vector<std::string> sameDataCentre;
    std::vector<std::string> all;
    for (const PeerInfo& known : live) {
        all.push_back(known.control);
        if (known.dataCentre == this->settings.host.dataCentre)
            sameDataCentre.push_back(known.control);
    }
    if (all.empty())
        all = this->settings.host.seeds;
    std::vector<std::string>& candidates = sameDataCentre.empty() ? all : sameDataCentre;
    if (candidates.size() > 1)
        std::erase(candidates, this->entry);
    return candidates.empty() ? std::string {} : candidates[this->state.random() % candidates.size()];
}

void LoaderLoop::requestFleetView()
{
    if (this->fleetViewRequested)
        return;
    const auto live = liveEntries(this->peers, monotonicNow());
    const auto inSameDataCentre
        = [&](const PeerInfo& known) { return known.dataCentre == this->settings.host.dataCentre; };
    const auto current
        = std::find_if(live.begin(), live.end(), [&](const PeerInfo& known) { return known.control == this->entry; });
    const bool anyInSameDataCentre = std::any_of(live.begin(), live.end(), inSameDataCentre);
    const bool replaceable = current == live.end() ? !live.empty() : anyInSameDataCentre && !inSameDataCentre(*current);
    if (this->entry.empty() || replaceable)
        this->entry = this->chooseEntry();
    if (this->entry.empty())
        return;
    this->fleetViewRequested = true;
    const Milliseconds sentAt = monotonicNow();
    const bool entryInSameDataCentre = std::any_of(live.begin(), live.end(),
        [&](const PeerInfo& known) { return known.control == this->entry && inSameDataCentre(known); });
    this->pool.fetch(
        { .address = this->entry,
            .target = fleetViewRequestTarget({ .service = this->settings.service, .stamp = this->fleetStamp }),
            .connectTimeout = this->fleetStamp == 0 ? initialFleetConnectTimeout : fleetConnectTimeout,
            .timeout = fleetPollTimeout },
        [this, sentAt, entryInSameDataCentre](const Result<FetchResponse>& answer) {
            this->fleetViewRequested = false;
            const Result<FleetViewResponse> read = decodeFleetViewResponse(answer, sentAt);
            // A slow response shows a congested link. A missing one does not: the entry may be down.
            if (entryInSameDataCentre && (read || answer))
                this->dispatch(LinkMeasured { .roundTrip = monotonicNow() - sentAt });
            if (!read) {
                writeLog({ .level = LogLevel::Warning,
                    .event = "dependency-lost",
                    .fields
                    = { { "dependency", "entry" }, { "peer", this->entry }, { "error", read.error().text() } } });
                this->entry = this->chooseEntry();
                return;
            }
            this->fleetStamp = read.value().stamp;
            if (read.value().view)
                this->dispatch(FleetViewUpdated {
                    .view = *read.value().view, .declaredNotBefore = read.value().declaredNotBefore });
        });
}

// Timers ------------------------------------------------------------------------------------------------------------

void LoaderLoop::onReportTimer()
{
    if (!this->reportRequested) {
        this->reportRequested = true;
        this->pollReport([this] { this->reportRequested = false; });
    }
    flushLog();
    this->armTimer(this->reportTimer, orderPending(this->state) ? loadingReportPollPeriod : reportPollPeriod,
        &LoaderLoop::onReportTimer);
}

void LoaderLoop::pollReport(std::function<void()> ended)
{
    this->pool.fetch({ .address = this->settings.engine,
                         .target = platform::reportPath,
                         .maxAnswerBody = maxFetchedDocument,
                         .timeout = reportTimeout },
        [this, ended = std::move(ended), requestedAt = monotonicNow()](const Result<FetchResponse>& answer) {
            ended();
            EngineReportRead event { .requestedAt = requestedAt };
            if (succeeded(answer)) {
                const auto report = platform::decodeReport(answer.value().body);
                if (report) {
                    event.report = report.value();
                    const std::optional<StatedLoad> load = platform::decodeLoad(answer.value().head);
                    this->statesSlowdown = load && load->slowdown;
                    if (this->statesSlowdown)
                        event.report->slowdown = std::max(event.report->slowdown, *load->slowdown);
                    ++this->reportSequence;
                    this->reportReadAt = monotonicNow();
                }
            }
            if (event.report.has_value() != this->state.report.has_value())
                writeLog({ .level = event.report ? LogLevel::Info : LogLevel::Warning,
                    .event = event.report ? "dependency-regained" : "dependency-lost",
                    .fields = { { "dependency", "engine" }, { "peer", this->settings.engine } } });
            this->dispatch(event);
        });
}

void LoaderLoop::onBeaconTimer()
{
    this->sendBeacon();
    this->armTimer(this->beaconTimer, engineBeaconPeriod, &LoaderLoop::onBeaconTimer);
}

void LoaderLoop::onFleetPollTimer()
{
    this->requestFleetView();
    recordMetric({ .kind = MetricSample::Kind::Gauge,
        .name = "caller_memory_bytes",
        .value = static_cast<double>(this->front.heldBytes()) });
    this->pool.sweep(monotonicNow());
    this->front.sweep(monotonicNow());
    this->peerSocket.publishCounts();
    removeSilentPeers(this->peers, monotonicNow());
    this->dispatch(StageTick {});
    this->armTimer(this->fleetPollTimer, this->fleetStamp == 0 ? initialFleetPollPeriod : fleetPollPeriod,
        &LoaderLoop::onFleetPollTimer);
}

} // namespace hickory
