#include "log_io.h"
#include "peer_table_func.h"
#include "platform_decode_func.h"
#include "relay_loop_io.h"
#include "table/relay_loop_limits.h"

#include <algorithm>
#include <utility>

// Copies of the store's tables: who polls the store, and what entries copy from each other.

namespace hickory {

bool RelayLoop::pollsStore(Milliseconds now) const
{
    std::vector<HostId> candidates { this->settings.host.host };
    for (const PeerInfo& entry : liveEntries(this->peers, now))
        if (entry.ready)
            candidates.push_back(entry.host);
    return isStorePoller(this->settings.host.host, candidates);
}

void RelayLoop::refreshTables()
{
    const Milliseconds now = monotonicNow();
    const Milliseconds age = now - std::min(this->operatorRows.snapshot().asOf, this->upstreamRows.snapshot().asOf);
    const bool stale = age > storeFallbackAge;
    const bool follows = this->pollsStore(now);
    const std::vector<PeerInfo> live = liveEntries(this->peers, now);
    const std::optional<PeerInfo> reader = tableReader(live, this->self());
    const bool fallsBack = stale && (!reader || age > storeFallbackAge + storeFallbackDelay);
    const Milliseconds retryDelay = storeRetryDelay(follows, live.size() + 1);
    for (platform::TableFollower* rows : { &this->operatorRows, &this->upstreamRows }) {
        rows->setRetryDelay(retryDelay);
        rows->setPolling(follows || fallsBack);
    }
    // The entries that poll the store know first that it is back; if they cannot reach it, others may.
    this->staleRounds = stale ? this->staleRounds + 1 : 0;
    std::vector<PeerInfo> sources = tableSources(live, this->settings.host.dataCentre);
    if (reader && this->staleRounds % staleSources == 1)
        sources = { *reader };
    else if (this->staleRounds % staleSources == 2)
        sources = live;
    if ((!follows || stale) && !sources.empty())
        this->fetchPeerTables(sources[this->state.random() % sources.size()], now);
    this->armTimer(this->tablesTimer, tablesPeriod, &RelayLoop::refreshTables);
}

void RelayLoop::fetchPeerTables(const PeerInfo& peer, Milliseconds now)
{
    if (this->peerFetchPending || peer.control.empty())
        return;
    this->peerFetchPending = true;
    this->requestPeerTables(peer, false, now);
}

void RelayLoop::requestPeerTables(const PeerInfo& peer, bool large, Milliseconds now)
{
    bool& pending = large ? this->largeFetchPending : this->peerFetchPending;
    const PeerVersions have { .operators = this->operatorRows.snapshot().version,
        .upstreams = this->upstreamRows.snapshot().version,
        .large = large };
    this->pool.fetch({ .address = peer.control,
                         .target = peerTablesTarget(have),
                         .timeout = large ? largeTablesTimeout : peerTablesTimeout },
        [this, now, peer, &pending](const Result<FetchResponse>& answer) {
            pending = false;
            Result<PeerTables> tables = decodePeerTables(answer, now);
            if (!tables) {
                writeLog({ .level = LogLevel::Warning,
                    .event = "peer-tables-failed",
                    .fields = { { "peer", peer.host.value }, { "error", tables.error().text() } } });
                return;
            }
            this->adoptPeerTables(peer, std::move(tables.value()));
        });
}

void RelayLoop::adoptPeerTables(const PeerInfo& peer, PeerTables tables)
{
    // The copy may have moved on since it was asked for, or never had the former row.
    if (!resolvePatches(tables, this->operatorRows.snapshot()))
        tables.operatorsLarge = true;
    if (!tables.operatorsLarge) {
        const std::string store = std::exchange(this->operatorRowsSource, peer.host.value);
        this->operatorRows.adopt(tables.operators);
        this->operatorRowsSource = store;
        if (const auto& lost = tables.lostConfig) {
            const Result<RelayConfig> config = platform::decodeConfig(lost->text);
            if (config)
                this->useConfig(config.value(), lost->text, lost->writtenIn);
        }
    }
    // After the rows, so that of a version in both the later moment counts.
    this->dispatch(PeerWeightsReceived { .peer = peer.host, .declared = tables.declared });
    this->upstreamRows.adopt(tables.upstreams);
    if (tables.operatorsLarge && !this->largeFetchPending) {
        this->largeFetchPending = true;
        const Milliseconds now = monotonicNow();
        this->requestPeerTables(
            largeRowsSource(liveEntries(this->peers, now), this->self(), peer, this->largeAttempts++), true, now);
    }
}

} // namespace hickory
