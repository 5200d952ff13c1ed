#include "loader_loop_io.h"

#include "digest_func.h"
#include "log_io.h"
#include "metrics_io.h"
#include "platform_names.h"
#include "program_func.h"
#include "table/loader_limits.h"
#include "table/relay_loop_limits.h"

#include <algorithm>
#include <charconv>
#include <csignal>

namespace hickory {

namespace {

    constexpr std::uint16_t statusOk = 200;
    constexpr std::uint16_t statusNotFound = 404;
    constexpr const char* weightsPath = "/v1/weights/"; ///< between agents: VERSION/manifest or VERSION/INDEX

    bool succeeded(const Result<FetchAnswer>& answer) { return answer && answer.value().head.status == statusOk; }

    std::string pieceQuery(std::uint32_t index) { return "?quantity=" + std::to_string(index); }

    std::string versionQuery(WeightsVersion version) { return "version=" + std::to_string(version.value); }

    std::string peerTarget(WeightsVersion version, const std::string& what)
    {
        return weightsPath + std::to_string(version.value) + "/" + what;
    }

} // namespace

LoaderLoop::LoaderLoop(LoaderSettings given)
    : settings(std::move(given))
    , pool(this->io, upstreamLink)
    , front(this->io, callerLink,
          { .onRequest = [this](FrontRequest&& request) { this->onRequest(std::move(request)); },
              .onGone =
                  [this](CallId call) {
                      std::erase_if(this->uploads, [&](const Upload& one) { return one.call == call; });
                  } })
    , peerSocket(this->io, [this](const PeerBeacon& beacon, const std::string& ip) { this->onBeacon(beacon, ip); })
    , state(makeStageState({ .host = this->settings.host.host,
          .ip = this->settings.host.ip,
          .place = this->settings.host.place,
          .service = this->settings.service,
          .weightsWithin = this->settings.weightsWithin,
          .seed = this->settings.host.seed }))
    , uploadTimer(this->io)
    , reportTimer(this->io)
    , beaconTimer(this->io)
    , tablesTimer(this->io)
    , signals(this->io, SIGTERM, SIGINT, SIGHUP)
    , incarnation { static_cast<std::uint64_t>(wallNow().value) }
{
    for (const std::string& seed : this->settings.host.seeds)
        this->peers.seeds.insert(seed.substr(0, seed.rfind(':')));
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
        .fields = { { "version", HICKORY_VERSION }, { "engine", this->settings.engine }, { "place", host.place.value },
            { "seed", std::to_string(host.seed) } } });
    this->everyReport();
    this->everyBeacon();
    this->everyTables();
    std::function<void()> waitSignal = [this, &waitSignal] {
        this->signals.async_wait([this, &waitSignal](const std::error_code& code, int number) {
            if (code)
                return;
            if (number != SIGHUP) {
                // Nothing of a caller passes through here: peers ask other agents for what is missing.
                this->io.stop();
                return;
            }
            writeLog({ .event = "reload", .fields = { { "result", "nothing to change" } } });
            waitSignal();
        });
    };
    waitSignal();
    this->io.run();
    writeLog({ .event = "stop" });
    return exitSuccess;
}

void LoaderLoop::armTimer(asio::steady_timer& timer, Milliseconds period, void (LoaderLoop::*handler)())
{
    timer.expires_after(std::chrono::milliseconds(period.value));
    timer.async_wait([this, handler](const std::error_code& code) {
        if (!code)
            (this->*handler)();
    });
}

// Decisions ---------------------------------------------------------------------------------------------------------

void LoaderLoop::dispatch(const StageEvent& event)
{
    for (const StageEffect& effect : reduceStage(this->state, event, monotonicNow()))
        this->apply(effect);
}

void LoaderLoop::apply(const StageEffect& effect)
{
    if (const auto* manifest = std::get_if<AskManifest>(&effect))
        this->fetchManifest(*manifest);
    else if (const auto* piece = std::get_if<AskPiece>(&effect))
        this->fetchPiece(*piece);
    else if (const auto* stage = std::get_if<StagePiece>(&effect))
        this->stagePiece(*stage);
    else if (const auto* check = std::get_if<CheckStage>(&effect))
        this->checkStage(*check);
    else if (std::holds_alternative<AnnounceOrder>(effect))
        this->sendBeacon();
    else if (const auto* order = std::get_if<GiveOrder>(&effect))
        this->giveOrder(*order);
    else if (const auto* line = std::get_if<LogLine>(&effect))
        writeLog(*line);
    else if (const auto* sample = std::get_if<MetricSample>(&effect))
        recordMetric(*sample);
}

void LoaderLoop::fetchManifest(const AskManifest& effect)
{
    const bool origin = effect.source.ip.empty();
    FetchCall call { .address
        = origin ? this->state.originAddress : effect.source.ip + ":" + std::to_string(this->settings.host.peerPort),
        .target = origin ? platform::manifestPath + this->state.model.value + "?" + versionQuery(effect.version)
                         : peerTarget(effect.version, "manifest"),
        .timeout = originTimeout };
    this->pool.fetch(std::move(call), [this, version = effect.version](const Result<FetchAnswer>& answer) {
        std::uint32_t chunks = 0;
        if (succeeded(answer)) {
            const auto manifest = platform::decodeManifest(answer.value().body);
            if (manifest && manifest.value().version == version) {
                HeldVersion& own = this->held[version.value];
                own.manifestText = answer.value().body;
                own.digests = manifest.value().digests;
                own.pieces.resize(own.digests.size());
                chunks = static_cast<std::uint32_t>(own.digests.size());
                while (this->held.size() > versionsKept)
                    this->held.erase(this->held.begin());
            }
        }
        if (chunks == 0)
            writeLog({ .level = LogLevel::Warning,
                .event = "manifest-failed",
                .fields = { { "version", std::to_string(version.value) },
                    { "error",
                        answer ? "status " + std::to_string(answer.value().head.status) : answer.error().text() } } });
        this->dispatch(ManifestFetched { .version = version, .chunks = chunks });
    });
}

bool LoaderLoop::keepPiece(WeightsVersion version, std::uint32_t index, const std::string& bytes)
{
    const auto found = this->held.find(version.value);
    if (found == this->held.end() || index >= found->second.digests.size()
        || sha256Hex(bytes) != found->second.digests[index])
        return false;
    found->second.pieces[index] = bytes;
    return true;
}

void LoaderLoop::fetchPiece(const AskPiece& effect)
{
    const bool origin = effect.source.ip.empty();
    FetchCall call { .address
        = origin ? this->state.originAddress : effect.source.ip + ":" + std::to_string(this->settings.host.peerPort),
        .target = origin ? platform::piecePath + this->state.model.value + pieceQuery(effect.index) + "&"
                + versionQuery(effect.version)
                         : peerTarget(effect.version, std::to_string(effect.index)),
        .timeout = origin ? originTimeout : peerPieceTimeout };
    const auto found = this->held.find(effect.version.value);
    if (found != this->held.end() && !found->second.pieces.at(effect.index).empty()) {
        // Kept from giving it to a peer.
        asio::post(this->io, [this, effect] {
            this->dispatch(PieceFetched {
                .version = effect.version, .index = effect.index, .source = effect.source, .good = true });
        });
        return;
    }
    this->pool.fetch(std::move(call), [this, effect](const Result<FetchAnswer>& answer) {
        const bool good = succeeded(answer) && this->keepPiece(effect.version, effect.index, answer.value().body);
        this->dispatch(
            PieceFetched { .version = effect.version, .index = effect.index, .source = effect.source, .good = good });
    });
}

void LoaderLoop::stagePiece(const StagePiece& effect)
{
    const auto found = this->held.find(effect.version.value);
    if (found == this->held.end())
        return;
    this->pool.fetch({ .address = this->settings.engine,
                         .method = "PUT",
                         .target = platform::stagePutPath + this->state.model.value + pieceQuery(effect.index),
                         .headers = { { "Content-Type", "application/octet-stream" } },
                         .body = found->second.pieces.at(effect.index),
                         .timeout = engineTimeout },
        [this, effect](const Result<FetchAnswer>& answer) {
            constexpr std::uint16_t firstFailure = 300;
            const bool good = answer && answer.value().head.status < firstFailure;
            if (!good)
                writeLog({ .level = LogLevel::Warning,
                    .event = "stage-failed",
                    .fields = { { "piece", std::to_string(effect.index) },
                        { "error",
                            answer ? "status " + std::to_string(answer.value().head.status)
                                   : answer.error().text() } } });
            this->dispatch(PieceStaged { .version = effect.version, .index = effect.index, .good = good });
        });
}

/// One reading of all pieces beside the engine.
struct LoaderLoop::CheckRun {
    WeightsVersion version; ///< compared with
    std::uint32_t next { 0 }; ///< piece to read
    std::vector<std::uint32_t> bad; ///< missing or different
};

void LoaderLoop::checkStage(const CheckStage& effect)
{
    this->checkNext(std::make_shared<CheckRun>(CheckRun { .version = effect.version }));
}

void LoaderLoop::checkNext(const std::shared_ptr<CheckRun>& run)
{
    const auto found = this->held.find(run->version.value);
    if (found == this->held.end() || run->next >= found->second.digests.size()) {
        this->dispatch(StageChecked { .version = run->version, .bad = run->bad, .failed = found == this->held.end() });
        return;
    }
    this->pool.fetch({ .address = this->settings.engine,
                         .target = platform::stageGetPath + this->state.model.value + pieceQuery(run->next),
                         .timeout = engineTimeout },
        [this, run](const Result<FetchAnswer>& answer) {
            const auto version = this->held.find(run->version.value);
            if (!answer || version == this->held.end()) {
                this->dispatch(StageChecked { .version = run->version, .failed = true });
                return;
            }
            if (!succeeded(answer) || !this->keepPiece(run->version, run->next, answer.value().body))
                run->bad.push_back(run->next);
            ++run->next;
            this->checkNext(run);
        });
}

void LoaderLoop::giveOrder(const GiveOrder& effect)
{
    this->pool.fetch({ .address = this->settings.engine,
                         .method = "POST",
                         .target = platform::orderPath,
                         .headers = { { "Content-Type", "application/json" } },
                         .body = platform::encodeLoadOrder(
                             this->state.model, effect.version, effect.expectedOrders, effect.cutWork),
                         .timeout = orderTimeout },
        [this, version = effect.version](const Result<FetchAnswer>& answer) {
            this->dispatch(
                OrderAnswered { .version = version, .status = answer ? answer.value().head.status : std::uint16_t {} });
        });
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
    if (target.starts_with(weightsPath)) {
        const auto parsed = std::from_chars(target.data() + std::string_view(weightsPath).size(), end, version);
        const std::string_view what(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
        const auto found = this->held.find(version);
        std::uint32_t index = 0;
        if (what == "/manifest" && found != this->held.end() && !found->second.manifestText.empty()) {
            this->front.answer(request.id, statusOk, {}, found->second.manifestText);
            return;
        }
        if (what.size() > 1 && std::from_chars(what.data() + 1, end, index).ptr == end) {
            this->onPieceAsked(request.id, { version }, index);
            return;
        }
    }
    this->front.answer(request.id, statusNotFound, {}, "not here\n");
}

void LoaderLoop::onPieceAsked(CallId call, WeightsVersion version, std::uint32_t index)
{
    const auto found = this->held.find(version.value);
    const bool here
        = found != this->held.end() && index < found->second.pieces.size() && !found->second.pieces[index].empty();
    if (here)
        this->upload(call, found->second.pieces[index]);
    else
        this->front.answer(call, statusNotFound, {}, "not here\n");
}

void LoaderLoop::upload(CallId call, const std::string& bytes)
{
    this->uploads.push_back({ .call = call, .bytes = bytes });
    if (this->uploads.size() == 1)
        this->uploadSlice();
}

void LoaderLoop::uploadSlice()
{
    if (this->uploads.empty())
        return;
    Upload& current = this->uploads.front();
    if (current.sent == 0)
        this->front.begin(current.call, statusOk, { { "Content-Type", "application/octet-stream" } });
    // A link that became narrow takes less than its share: the engine's streams must not wait behind pieces.
    if (this->front.pending(current.call) == 0) {
        this->front.body(current.call, std::string_view(current.bytes).substr(current.sent, uploadSliceBytes));
        current.sent += uploadSliceBytes;
    }
    if (current.sent >= current.bytes.size()) {
        this->front.finish(current.call);
        this->uploads.pop_front();
    }
    const double bytesPerMs = this->settings.linkMbps * linkShareForWeights * megabitPerSecondInBytesPerMs;
    this->uploadTimer.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(1000.0 * uploadSliceBytes / bytesPerMs)));
    this->uploadTimer.async_wait([this](const std::error_code& code) {
        if (!code)
            this->uploadSlice();
    });
}

// Entries -----------------------------------------------------------------------------------------------------------

void LoaderLoop::onBeacon(const PeerBeacon& beacon, const std::string& ip)
{
    if (beacon.from.front.empty())
        this->dispatch(PeerPieces { .ip = ip, .sets = beacon.pieces });
    else
        notePeer(this->peers, this->settings.host.host, beacon, ip, monotonicNow());
}

void LoaderLoop::sendBeacon()
{
    PeerBeacon beacon { .from
        = { .host = this->settings.host.host, .incarnation = this->incarnation, .place = this->settings.host.place } };
    if (this->state.report)
        beacon.engine = EngineReported {
            .address = this->settings.engine, .report = *this->state.report, .ordering = orderPending(this->state)
        };
    this->peerSocket.send(beacon, beaconTargets(this->peers, this->settings.host.ip));
    // Other agents need to know what changed, and now and then that this one is still there.
    const Milliseconds now = monotonicNow();
    std::vector<PieceSet> pieces = ownPieces(this->state);
    if (pieces == this->toldPieces && now - this->toldAt < tellUnchangedAfter)
        return;
    this->toldPieces = pieces;
    this->toldAt = now;
    beacon.engine.reset();
    beacon.pieces = std::move(pieces);
    std::vector<std::string> agents;
    for (const StagePeer& peer : this->state.peers)
        if (peer.ip != this->settings.host.ip)
            agents.push_back(peer.ip);
    this->peerSocket.send(beacon, agents);
}

std::string LoaderLoop::nextEntry()
{
    const std::vector<PeerEntry> live = liveEntries(this->peers, monotonicNow());
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const PeerEntry& known : live) {
        all.push_back(known.control);
        if (known.place == this->settings.host.place)
            near.push_back(known.control);
    }
    if (all.empty())
        all = this->settings.host.seeds;
    std::vector<std::string>& candidates = near.empty() ? all : near;
    if (candidates.size() > 1)
        std::erase(candidates, this->entry);
    return candidates.empty() ? std::string {} : candidates[this->state.random() % candidates.size()];
}

void LoaderLoop::askTables()
{
    if (this->askingTables)
        return;
    const auto live = liveEntries(this->peers, monotonicNow());
    const auto isNear = [&](const PeerEntry& known) { return known.place == this->settings.host.place; };
    const auto current
        = std::find_if(live.begin(), live.end(), [&](const PeerEntry& known) { return known.control == this->entry; });
    const bool nearExists = std::any_of(live.begin(), live.end(), isNear);
    const bool wrong = current == live.end() ? !live.empty() : nearExists && !isNear(*current);
    if (this->entry.empty() || wrong)
        this->entry = this->nextEntry();
    if (this->entry.empty())
        return;
    this->askingTables = true;
    const PeerRevisions have { .operators = this->tables.operators.revision,
        .upstreams = this->tables.upstreams.revision };
    const Milliseconds sentAt = monotonicNow();
    this->pool.fetch({ .address = this->entry,
                         .target = peerTablesTarget(have),
                         .connectTimeout = tablesConnect,
                         .timeout = tablesTimeout },
        [this, sentAt](const Result<FetchAnswer>& answer) {
            this->askingTables = false;
            const Result<PeerTables> read = decodePeerTables(answer, sentAt);
            if (read) {
                this->learnTables(read.value());
                return;
            }
            writeLog({ .level = LogLevel::Warning,
                .event = "dependency-lost",
                .fields = { { "dependency", "entry" }, { "peer", this->entry }, { "error", read.error().text() } } });
            this->entry = this->nextEntry();
        });
}

void LoaderLoop::learnTables(const PeerTables& newer)
{
    bool changed = false;
    const auto adopt = [&](platform::TableSnapshot& own, const platform::TableSnapshot& other) {
        if (other.revision <= own.revision || other.rows.empty())
            return;
        own = other;
        changed = true;
    };
    adopt(this->tables.operators, newer.operators);
    adopt(this->tables.upstreams, newer.upstreams);
    if (!changed)
        return;
    FleetLearned event;
    for (const auto& [key, row] : this->tables.operators.rows) {
        if (key == platform::configKey) {
            const auto config = platform::decodeConfig(row.value);
            if (config)
                event.config = std::make_shared<const RelayConfig>(config.value());
        } else if (key.starts_with(platform::weightsKeyPrefix)) {
            const auto declared = platform::decodeWeights(row.value);
            if (declared)
                event.declared[declared.value().model] = declared.value().version;
        }
    }
    for (const auto& [key, row] : this->tables.upstreams.rows) {
        // Entries log the rows that they cannot read.
        const auto entry = platform::decodeUpstream(key, row.value);
        if (entry)
            event.upstreams.push_back(entry.value());
    }
    event.upstreams = currentUpstreams(event.upstreams);
    this->dispatch(event);
}

// Time --------------------------------------------------------------------------------------------------------------

void LoaderLoop::everyReport()
{
    if (!this->askingReport) {
        this->askingReport = true;
        this->pool.fetch({ .address = this->settings.engine, .target = platform::reportPath, .timeout = reportTimeout },
            [this](const Result<FetchAnswer>& answer) {
                this->askingReport = false;
                ReportRead event;
                if (succeeded(answer)) {
                    const auto report = platform::decodeReport(answer.value().body);
                    if (report)
                        event.report = report.value();
                }
                if (event.report.has_value() != this->state.report.has_value())
                    writeLog({ .level = event.report ? LogLevel::Info : LogLevel::Warning,
                        .event = event.report ? "dependency-regained" : "dependency-lost",
                        .fields = { { "dependency", "engine" }, { "peer", this->settings.engine } } });
                this->dispatch(event);
            });
    }
    flushLog();
    this->armTimer(this->reportTimer, reportPeriod, &LoaderLoop::everyReport);
}

void LoaderLoop::everyBeacon()
{
    this->sendBeacon();
    this->armTimer(this->beaconTimer, engineBeaconPeriod, &LoaderLoop::everyBeacon);
}

void LoaderLoop::everyTables()
{
    this->askTables();
    this->pool.sweep(monotonicNow());
    this->front.sweep(monotonicNow());
    this->dispatch(StageTick {});
    this->armTimer(this->tablesTimer, this->tables.operators.rows.empty() ? firstTablesPeriod : tablesPeriod,
        &LoaderLoop::everyTables);
}

} // namespace hickory
