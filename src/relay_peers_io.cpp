#include "log_io.h"
#include "metrics_io.h"
#include "peer_table_func.h"
#include "platform_decode_func.h"
#include "platform_names.h"
#include "relay_loop_io.h"
#include "table/relay_limits.h"
#include "table/relay_loop_limits.h"
#include "upstream_load_func.h"
#include "upstream_notice_func.h"

#include <algorithm>
#include <random>
#include <utility>

namespace hickory {

// Peers -------------------------------------------------------------------------------------------------------------

PeerInfo RelayLoop::self() const
{
    return { .host = this->settings.host.host,
        .incarnation = this->incarnation,
        .ip = this->settings.host.ip,
        .front = this->settings.front,
        .control = this->settings.control,
        .dataCentre = this->settings.host.dataCentre,
        .ready = this->ready() };
}

void RelayLoop::onBeacon(const PeerBeacon& beacon, const std::string& ip)
{
    const Milliseconds now = monotonicNow();
    const bool isEntry = !beacon.from.front.empty() && beacon.from.host != this->settings.host.host;
    const bool isNewAgent = beacon.from.front.empty() && !this->peers.agents.contains(ip);
    const auto known = this->peers.entries.find(beacon.from.host);
    const bool isNew
        = isEntry && (known == this->peers.entries.end() || known->second.entry.incarnation < beacon.from.incarnation);
    recordBeacon(this->peers, this->settings.host.host, beacon, ip, now);
    if (isNew) {
        writeLog({ .event = "peer-found",
            .fields = { { "peer", beacon.from.host.value }, { "front", beacon.from.front } } });
        // A process that has just started waits for the configuration that is in force elsewhere.
        PeerBeacon reply = this->makeBeacon();
        reply.notices = upstreamNotices(this->state, true, now);
        if (beacon.from.dataCentre == this->settings.host.dataCentre)
            reply.loads = ownLoads(this->state);
        this->peerSocket.send(reply, { ip });
    }
    if (isNewAgent) {
        PeerBeacon reply = this->makeBeacon();
        reply.known = peerList(this->peers, this->settings.host.dataCentre, this->beaconsSent, now);
        this->peerSocket.send(reply, { ip });
    }
    if (isEntry)
        this->compareConfig(beacon, now);
    if (beacon.operatorTable > this->operatorTable)
        this->fetchPeerTables(beacon.from, now);
    if (!beacon.notices.empty() && beacon.from.host != this->settings.host.host)
        this->dispatch(UpstreamNoticesReceived { .peer = beacon.from.host, .reports = beacon.notices });
    if (!beacon.crashNews.empty() && beacon.from.host != this->settings.host.host)
        this->dispatch(CrashNewsReceived { .news = beacon.crashNews });
    this->useEngineReports(this->engines, beacon.engines, false);
    if (beacon.engine) {
        this->useEngineReports(this->engines, { *beacon.engine }, true);
    } else if (beacon.dataCentreSummary) {
        recordIndirectEntries(this->peers, beacon.from.dataCentre, beacon.dataCentreSummary->entries, now);
        this->dispatch(DataCentreLoadsReceived {
            .dataCentre = beacon.from.dataCentre, .totals = beacon.dataCentreSummary->totals });
        this->useEngineReports(this->remoteEngines, beacon.dataCentreSummary->engines, false);
    } else if (beacon.from.host != this->settings.host.host)
        this->dispatch(PeerLoadsReceived { .peer = beacon.from.host, .loads = beacon.loads });
}

void RelayLoop::useEngineReports(EngineNews& news, const std::vector<EngineReported>& reports, bool fromAgent)
{
    if (reports.empty())
        return;
    const Milliseconds now = monotonicNow();
    news.slowdownVaries = anyStatesSlowdown(this->state, now);
    std::vector<EngineReported> recorded = recordReports(news, reports, fromAgent, now);
    if (!recorded.empty())
        this->dispatch(EngineReportsReceived { .reports = std::move(recorded) });
    if (news.relayAtOnce && mayAnnounceEngines(this->dataCentreBeacons, now)) {
        this->dataCentreBeacons.engineNewsAt = now;
        this->sendToDataCentre(this->makeBeacon());
    }
}

void RelayLoop::compareConfig(const PeerBeacon& beacon, Milliseconds now)
{
    if (beacon.configVersion.value == 0)
        return;
    // The store may have lost what the fleet has in force, or this process read a restored store too late to know that
    // a configuration was written since.
    if (!hasLaterConfig(beacon, this->state))
        this->endConfigComparison();
    else if (!this->peerFetchPending && now - this->laterConfigAskedAt >= tablesPeriod) {
        this->laterConfigAskedAt = now;
        this->fetchPeerTables(beacon.from, now);
    }
}

void RelayLoop::endConfigComparison()
{
    if (std::exchange(this->configCompared, true) || this->operatorRows.snapshot().asOf.value == 0)
        return;
    this->onConfirmed();
}

PeerBeacon RelayLoop::makeBeacon() const
{
    PeerBeacon beacon { .from = this->self(), .operatorTable = this->operatorTable };
    if (this->state.config && this->configCompared) {
        beacon.configVersion = this->state.config->version;
        beacon.configWrittenIn = this->state.configWrittenIn;
    }
    return beacon;
}

std::vector<std::string> RelayLoop::agentTargets() const
{
    std::vector<std::string> ips;
    const Milliseconds now = monotonicNow();
    for (const auto& [ip, lastHeardAt] : this->peers.agents)
        if (now - lastHeardAt < reportingAgentTimeout)
            ips.push_back(ip);
    return ips;
}

void RelayLoop::announceOperatorTable()
{
    if (this->operatorTable <= this->announcedOperatorTable)
        return;
    this->announcedOperatorTable = this->operatorTable;
    PeerBeacon beacon = this->makeBeacon();
    beacon.loads = ownLoads(this->state);
    const DataCentreId& dataCentre = this->settings.host.dataCentre;
    this->peerSocket.send(beacon, dataCentreTargets(this->peers, dataCentre, this->settings.host.ip));
    this->peerSocket.send(beacon, this->agentTargets());
    if (this->pollsStore(monotonicNow()))
        this->peerSocket.send(beacon, otherDataCentreTargets(this->peers, dataCentre));
}

void RelayLoop::announceCrashNews(bool learned)
{
    const Milliseconds now = monotonicNow();
    const bool toOthers = announcesToOtherDataCentres(this->peers, this->self(), now);
    if (learned && !toOthers)
        return;
    if (now - this->crashNewsAnnouncedAt < minCrashNewsInterval) {
        this->crashNewsPending = true;
        return;
    }
    this->crashNewsAnnouncedAt = now;
    PeerBeacon beacon = this->makeBeacon();
    beacon.loads = ownLoads(this->state);
    beacon.crashNews = crashNews(this->state, false, now);
    const DataCentreId& dataCentre = this->settings.host.dataCentre;
    if (!learned)
        this->peerSocket.send(beacon, dataCentreTargets(this->peers, dataCentre, this->settings.host.ip));
    beacon.crashNews = {};
    if (toOthers)
        this->sendToOtherDataCentres(std::move(beacon), otherDataCentreTargets(this->peers, dataCentre), now);
}

void RelayLoop::sendBeacons()
{
    const Milliseconds now = monotonicNow();
    PeerBeacon beacon = this->makeBeacon();
    const DataCentreId& dataCentre = this->settings.host.dataCentre;
    const std::uint32_t round = this->beaconsSent++;
    const bool withPeerList = round % beaconsPerPeerList == 0;
    if (withPeerList)
        beacon.known = peerList(this->peers, dataCentre, round / beaconsPerPeerList, now);
    beacon.crashNews = crashNews(this->state, withPeerList, now);
    beacon.notices = upstreamNotices(this->state, withPeerList, now);
    const Milliseconds period
        = dataCentreBeaconPeriod(dataCentreTargets(this->peers, dataCentre, this->settings.host.ip).size());
    if (withPeerList || !beacon.crashNews.empty() || isRegularBeaconDue(this->dataCentreBeacons, period, now)) {
        this->dataCentreBeacons.regularAt = now;
        this->sendToDataCentre(beacon);
    }
    beacon.crashNews = {};
    beacon.notices.clear();
    if (round % beaconsPerAgentBeacon == 0)
        this->peerSocket.send(beacon, this->agentTargets());
    beacon.known.clear();
    const std::vector<std::string> remoteTargets = otherDataCentreTargets(this->peers, dataCentre);
    const Milliseconds remotePeriod = std::clamp(
        remoteDatagramInterval * static_cast<std::int64_t>(remoteTargets.size()), beaconPeriod, maxRemoteBeaconPeriod);
    if (now - this->remoteBeaconAt >= remotePeriod || beacon.from.ready != this->advertisedReady
        || this->engines.summarizeAtOnce
        || (this->crashNewsPending && announcesToOtherDataCentres(this->peers, beacon.from, now)))
        this->sendToOtherDataCentres(std::move(beacon), remoteTargets, now);
    this->crashNewsPending = false;
    this->armTimer(this->beaconTimer, beaconPeriod, &RelayLoop::sendBeacons);
}

void RelayLoop::sendToDataCentre(PeerBeacon beacon)
{
    beacon.loads = ownLoads(this->state);
    beacon.engines = takeReportsToRelay(this->engines, monotonicNow());
    this->peerSocket.send(
        beacon, dataCentreTargets(this->peers, this->settings.host.dataCentre, this->settings.host.ip));
}

void RelayLoop::sendToOtherDataCentres(
    PeerBeacon beacon, const std::vector<std::string>& remoteTargets, Milliseconds now)
{
    const bool readyChanged = beacon.from.ready != this->advertisedReady;
    this->advertisedReady = beacon.from.ready;
    this->remoteBeaconAt = now;
    if (representsDataCentre(this->peers, beacon.from, now)) {
        DataCentreSummary summary { .totals = dataCentreTotals(this->state, now) };
        const bool isFull = this->summariesSent++ % summariesPerFullSummary == 0;
        summary.engines = takeReportsForSummary(this->engines, isFull, now);
        summary.entries = liveEntriesIn(this->peers, beacon.from.dataCentre, now);
        if (isFull)
            beacon.known = recentEntries(this->peers, now);
        beacon.loads.clear();
        beacon.dataCentreSummary = std::move(summary);
        beacon.crashNews = crashNews(this->state, isFull, now);
        beacon.notices = upstreamNotices(this->state, isFull, now);
        this->peerSocket.send(beacon, remoteTargets);
        beacon.notices.clear();
        beacon.dataCentreSummary.reset();
        beacon.known.clear();
    } else {
        // Sent by the entry that represents the data centre, which knows the same reports.
        this->engines.summarizeAtOnce = false;
        // The entry that represents the data centre may be dead, and nobody has replaced it yet.
        if (announcesToOtherDataCentres(this->peers, beacon.from, now))
            beacon.crashNews = crashNews(this->state, false, now);
        if (readyChanged || !beacon.crashNews.empty())
            this->peerSocket.send(beacon, remoteTargets);
    }
    beacon.crashNews = {};
    // A data centre without further requests of this entry is sent an empty report once.
    std::map<DataCentreId, std::vector<PeerLoad>> remoteLoads = advertiseRemoteLoads(this->state);
    for (const DataCentreId& dataCentre : this->advertisedTo)
        remoteLoads.try_emplace(dataCentre);
    this->advertisedTo.clear();
    for (auto& [dataCentre, loads] : remoteLoads) {
        if (!loads.empty())
            this->advertisedTo.insert(dataCentre);
        beacon.loads = std::move(loads);
        this->peerSocket.send(beacon, dataCentreTargets(this->peers, dataCentre, {}));
    }
}

// The platform's store ------------------------------------------------------------------------------------------

void RelayLoop::useConfig(const RelayConfig& config, const std::string& text, const WrittenEra& writtenIn)
{
    const std::shared_ptr<const RelayConfig> before = this->state.config;
    this->dispatch(ConfigUpdated { .config = std::make_shared<const RelayConfig>(config), .writtenIn = writtenIn });
    if (this->state.config == before)
        return;
    this->configText = text;
    this->front.setLimits(this->state.config->limits);
    for (const std::string& warning : this->state.config->warnings)
        writeLog({ .level = LogLevel::Warning, .event = "config-warning", .fields = { { "detail", warning } } });
}

std::optional<LostConfig> RelayLoop::lostConfig() const
{
    const platform::TableSnapshot& copy = this->operatorRows.snapshot();
    const auto row = copy.rows.find(platform::configKey);
    if (!this->state.config || (row != copy.rows.end() && row->second.value == this->configText))
        return std::nullopt;
    return LostConfig { .text = this->configText, .writtenIn = this->state.configWrittenIn };
}

void RelayLoop::onRestored(const char* table, const StoreVersion& from, const StoreVersion& to)
{
    writeLog({ .level = LogLevel::Warning,
        .event = "store-restored",
        .fields = { { "table", table }, { "from", storeVersionText(from) }, { "to", storeVersionText(to) },
            { "config", this->state.config ? std::to_string(this->state.config->version.value) : "none" } } });
    recordMetric({ .name = "store_restores_total", .labels = "table=\"" + std::string(table) + "\"" });
}

void RelayLoop::updateEvacuations()
{
    constexpr std::string_view prefix = platform::evacuationKeyPrefix;
    EvacuationsUpdated event;
    const std::map<std::string, platform::TableRow>& rows = this->operatorRows.snapshot().rows;
    for (auto row = rows.lower_bound(std::string(prefix)); row != rows.end() && row->first.starts_with(prefix); ++row)
        event.dataCentres.insert(platform::decodeEvacuation(row->first, row->second.value).dataCentre);
    event.dataCentres.erase(DataCentreId {});
    if (event.dataCentres != this->state.evacuated)
        this->dispatch(event);
}

void RelayLoop::onOperatorRows(const std::vector<platform::TableRow>& changed)
{
    // First, so that a configuration that comes with an evacuation sends nothing there.
    this->updateEvacuations();
    this->largeAttempts = 0;
    for (const platform::TableRow& row : changed) {
        if (row.deleted)
            continue;
        if (row.key == platform::configKey) {
            recordRow(this->configHistory, row, this->operatorRows.snapshot().version.era);
            const Result<RelayConfig> config = platform::decodeConfig(row.value);
            if (!config) {
                writeLog({ .level = LogLevel::Error,
                    .event = "config-refused",
                    .fields = { { "error", config.error().text() } } });
                continue;
            }
            const platform::TableSnapshot& copy = this->operatorRows.snapshot();
            this->useConfig(
                config.value(), row.value, { .era = copy.version.era, .isExact = platform::isWrittenInEra(copy, row) });
        } else if (row.key.starts_with(platform::evacuationKeyPrefix)) {
            if (const std::string warning = platform::decodeEvacuation(row.key, row.value).warning; !warning.empty())
                writeLog({ .level = LogLevel::Warning,
                    .event = "evacuation-row-invalid",
                    .fields = { { "row", row.key }, { "detail", warning } } });
        } else if (row.key.starts_with(platform::weightsKeyPrefix)) {
            Result<WeightsDeclared> declared = platform::decodeWeights(row.value);
            if (declared) {
                const Milliseconds unchangedUntil = this->operatorRows.unchangedUntil();
                declared.value().notBefore = unchangedUntil.value == 0 ? std::nullopt : std::optional(unchangedUntil);
                declared.value().source = this->operatorRowsSource;
                this->dispatch(declared.value());
            } else
                writeLog({ .level = LogLevel::Error,
                    .event = "weights-refused",
                    .fields = { { "error", declared.error().text() } } });
        }
    }
}

void RelayLoop::onConfirmed()
{
    const platform::TableSnapshot& copy = this->operatorRows.snapshot();
    if (this->configCompared)
        this->dispatch(ConfigConfirmed { .asOf = copy.asOf });
    recordMetric({ .kind = MetricSample::Kind::Gauge,
        .name = "store_era",
        .labels = {},
        .value = static_cast<double>(copy.version.era) });
    this->operatorTable = { .era = copy.version.era };
    for (const auto& [key, row] : copy.rows)
        this->operatorTable.revision = std::max(this->operatorTable.revision, row.revision);
    this->announceOperatorTable();
}

void RelayLoop::onUpstreamRows(const std::vector<platform::TableRow>& changed)
{
    const Milliseconds now = monotonicNow();
    const Milliseconds knownAt = this->upstreamRows.snapshot().asOf;
    if (knownAt.value != 0 && now - knownAt > maxListAge)
        this->relistingUntil = now + relistGracePeriod;
    bool listChanged = false;
    std::set<UpstreamId> rewritten;
    const bool isRestored = std::exchange(this->upstreamsRestored, false);
    if (isRestored)
        this->relistingUntil = now + relistGracePeriod;
    for (const platform::TableRow& row : changed) {
        if (row.deleted) {
            listChanged = true;
            // Leases expire during an outage of the store; live upstreams are listed again soon after its end.
            if (now < this->relistingUntil && this->upstreams.contains(row.key))
                this->expiredRows[row.key] = this->relistingUntil;
            else
                this->upstreams.erase(row.key);
            continue;
        }
        const UpstreamReportOrder report = platform::decodeReportOrder(row.value);
        const auto lastReport = this->upstreamReports.find(row.key);
        if (isRestored && lastReport != this->upstreamReports.end() && report <= lastReport->second.order) {
            // The store lost what the upstream has written since, e.g. that it leaves; it writes that again, or is
            // gone.
            writeLog({ .event = "upstream-row-outdated", .fields = { { "upstream", row.key } } });
            continue;
        }
        this->upstreamReports[row.key] = { .order = report, .seenAt = now };
        const Result<UpstreamEntry> entry = platform::decodeUpstream(row.key, row.value);
        this->expiredRows.erase(row.key);
        if (entry) {
            // Most changes are heartbeats, which only renew the lease.
            const auto known = this->upstreams.find(row.key);
            const auto view = this->state.upstreams.find({ row.key });
            const bool isCold = view != this->state.upstreams.end() && view->second.cold;
            listChanged = listChanged || known == this->upstreams.end() || !(known->second == entry.value()) || isCold;
            rewritten.insert({ row.key });
            this->upstreams[row.key] = entry.value();
        } else {
            listChanged = true;
            this->upstreams.erase(row.key);
            writeLog({ .level = LogLevel::Warning,
                .event = "upstream-refused",
                .fields = { { "upstream", row.key }, { "error", entry.error().text() } } });
        }
    }
    // The copy held all rows that were written before it was confirmed, unless the store came back from an older one.
    if (listChanged)
        this->publishUpstreams(
            std::move(rewritten), isRestored || knownAt.value == 0 ? std::nullopt : std::optional(knownAt));
}

void RelayLoop::publishUpstreams(std::set<UpstreamId> rewritten, std::optional<Milliseconds> writtenAfter)
{
    UpstreamsUpdated event { .rewritten = std::move(rewritten), .writtenAfter = writtenAfter };
    for (const auto& [key, entry] : this->upstreams)
        event.entries.push_back(entry);
    event.entries = currentUpstreams(event.entries);
    this->dispatch(event);
}

} // namespace hickory
