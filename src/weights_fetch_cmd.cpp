#include "weights_fetch_cmd.h"

#include "manifest_func.h"
#include "member_func.h"
#include "placement_row_func.h"
#include "weights_swarm_cmd.h"

#include <algorithm>
#include <set>

namespace hickory {

namespace {

    /// Concurrent fetches from the origin with FetchPolicy::Origin.
    constexpr std::uint32_t maxOriginStreams = 2;
    constexpr Milliseconds manifestRetryInterval { 2000 };
    /// Timeout of a chunk before any rate was measured: a whole region may share the origin over a slow link.
    constexpr Milliseconds initialTimeout { 15000 };
    constexpr Milliseconds minTimeout { 1500 };
    constexpr Milliseconds maxTimeout { 60000 };
    /// A fetch times out when it takes this many times as long as expected by the measured rate.
    constexpr double stallFactor = 4.0;
    /// Weight of the newest sample in a measured rate.
    constexpr double rateSmoothing = 0.2;
    /// Lower bound of a measured rate, in bytes a second. Without it a stalled fetch would raise timeouts without
    /// limit.
    constexpr double minMeasuredRate = 4096;
    /// Delay before a chunk that failed once is fetched again; it doubles with each further failure.
    constexpr Milliseconds minRetryDelay { 200 };
    /// Number of failures up to which each lengthens the retry delay. The longest delay is 1.6 s, so that fetches
    /// resume soon after an outage of the origin.
    constexpr std::uint16_t maxBackoffFailures = 4;
    /// Demotion of a peer after one corrupt chunk; it doubles with each further one.
    constexpr Milliseconds minDemotion { 1000 };
    /// Time for which a peer is avoided after one failed fetch; it doubles with each further one.
    constexpr Milliseconds minAvoidance { 1000 };
    constexpr std::uint32_t maxPenaltyDoublings = 5;

    /// @return manifests that this host serves, is to serve, or may have to return to when a rollout is stopped
    std::set<ManifestDigest> neededManifests(const AgentState& state)
    {
        std::set<ManifestDigest> needed;
        if (state.weights.wanted) {
            const WantedModel& wanted = *state.weights.wanted;
            needed.insert(wanted.model.manifest);
            const auto permit = state.weights.permits.find(wanted.service);
            if (permit != state.weights.permits.end() && !permit->second.row.passed && permit->second.row.previous
                && sameTarget(permit->second.row.model, wanted.model)) {
                const ManifestDigest& previous = permit->second.row.previous->manifest;
                if (state.weights.downloads.contains(previous))
                    needed.insert(previous);
            }
        }
        if (state.engine.serving)
            needed.insert(state.engine.serving->manifest);
        if (state.engine.target)
            needed.insert(state.engine.target->manifest);
        return needed;
    }

    void countBytes(AgentState& state, Download& download, const ChunkFetched& event, AgentEffects& effects)
    {
        if (event.received.value == 0)
            return;
        std::string source = "origin";
        if (event.source.peer.empty()) {
            download.fromOrigin.value += event.received.value;
        } else {
            const Member* peer = findMember(state.members, event.source.peer);
            const bool sameRegion = peer && peer->region == state.settings.process.region;
            (sameRegion ? download.fromRegion : download.fromOtherRegions).value += event.received.value;
            source = sameRegion ? "region" : "other-region";
        }
        effects.emplace_back(MetricSample { .name = "weights_bytes_total",
            .labels = "source=\"" + source + "\"",
            .value = static_cast<double>(event.received.value) });
    }

    /// Updates a smoothed rate by the result of a fetch.
    /// @param rate bytes a second, 0 before the first verified chunk
    void updateMeasuredRate(double& rate, const ChunkFetched& event)
    {
        if (event.result == ChunkResult::Verified && event.received.value > 0) {
            const double seconds = std::max(0.001, static_cast<double>(event.elapsed.value) / 1000);
            const double sample = static_cast<double>(event.received.value) / seconds;
            rate = rate == 0 ? sample : rate * (1 - rateSmoothing) + sample * rateSmoothing;
        } else if (event.result == ChunkResult::Failed && event.received.value > 0) {
            // A fetch that failed in mid-transfer only shows that the rate is lower than estimated.
            rate *= 1 - rateSmoothing;
        }
        if (rate > 0)
            rate = std::max(rate, minMeasuredRate);
    }

    void completeDownload(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects)
    {
        download.whole = true;
        download.peers.clear();
        download.detail.clear();
        effects.emplace_back(LogLine { .event = "weights-complete",
            .fields = { { "manifest", digest.value }, { "version", download.manifest->version.value },
                { "bytes", std::to_string(manifestSize(*download.manifest).value) },
                { "ms", std::to_string((state.now - download.startedAt).value) },
                { "from-origin", std::to_string(download.fromOrigin.value) },
                { "from-region", std::to_string(download.fromRegion.value) },
                { "from-other-regions", std::to_string(download.fromOtherRegions.value) } } });
        effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Observe,
            .name = "weights_download_ms",
            .value = static_cast<double>((state.now - download.startedAt).value) });
    }

    /// Logs a failed or corrupt fetch and demotes or avoids the peer that it came from for a while.
    void penaliseSource(AgentState& state, Download& download, const ChunkFetched& event, AgentEffects& effects)
    {
        const bool corrupt = event.result == ChunkResult::Corrupt;
        effects.emplace_back(
            MetricSample { .name = corrupt ? "weights_chunks_corrupt_total" : "weights_chunks_failed_total" });
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = corrupt ? "chunk-corrupt" : "chunk-failed",
            .fields = { { "manifest", event.manifest.value }, { "chunk", std::to_string(event.index.value) },
                { "source", event.source.peer.empty() ? "origin" : event.source.peer.value },
                { "received", std::to_string(event.received.value) },
                { "ms", std::to_string(event.elapsed.value) } } });
        const auto peer = download.peers.find(event.source.peer);
        if (peer == download.peers.end())
            return;
        PeerProgress& progress = peer->second;
        // The network may have corrupted the chunk, so its peer is still used when no other has the chunk. A peer that
        // does not answer is avoided, since each fetch from it would occupy a stream until the timeout.
        if (corrupt)
            progress.demotedUntil = state.now + minDemotion * (1 << std::min(progress.corrupt++, maxPenaltyDoublings));
        else
            progress.avoidUntil = state.now + minAvoidance * (1 << std::min(progress.failures++, maxPenaltyDoublings));
    }

    /// FetchPolicy::Origin: fetches every chunk from the origin, in order of their index.
    void fetchAllFromOrigin(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects)
    {
        for (std::uint32_t index = 0; index < download.chunks.size(); ++index) {
            if (download.originStreams >= maxOriginStreams)
                return;
            const ChunkProgress& chunk = download.chunks[index];
            if (!chunk.have && !chunk.fetching && state.now >= chunk.notBefore)
                startFetch(state, digest, download, { index }, {}, effects);
        }
    }

} // namespace

Milliseconds chunkTimeout(const AgentState& state, Bytes size, std::uint32_t failures, bool outside)
{
    const double rate = outside ? state.weights.outsideRate : state.weights.regionRate;
    if (rate == 0)
        return initialTimeout;
    const double expected = static_cast<double>(size.value) / rate * 1000;
    const Milliseconds timeout { static_cast<std::int64_t>(expected * stallFactor * (1 + failures)) };
    return std::clamp(timeout, minTimeout, maxTimeout);
}

bool isOutsideRegion(const AgentState& state, const HostId& peer)
{
    const Member* member = peer.empty() ? nullptr : findMember(state.members, peer);
    return !member || member->region != state.settings.process.region;
}

void updateDownloads(AgentState& state, AgentEffects& effects)
{
    const std::set<ManifestDigest> needed = neededManifests(state);
    std::erase_if(state.weights.downloads, [&](const auto& entry) {
        if (needed.contains(entry.first))
            return false;
        effects.emplace_back(DropWeights { .manifest = entry.first });
        effects.emplace_back(LogLine { .event = "weights-dropped", .fields = { { "manifest", entry.first.value } } });
        return true;
    });
    if (!state.weights.wanted)
        return;
    const ManifestDigest& digest = state.weights.wanted->model.manifest;
    Download& download = state.weights.downloads[digest];
    if (download.manifest || download.manifestRequested || state.now < download.nextManifestFetch)
        return;
    download.manifestRequested = true;
    download.nextManifestFetch = state.now + manifestRetryInterval;
    effects.emplace_back(FetchManifest { .digest = digest });
}

void startFetch(AgentState& state, const ManifestDigest& digest, Download& download, ChunkIndex index,
    const ChunkSource& source, AgentEffects& effects)
{
    ChunkProgress& chunk = download.chunks[index.value];
    chunk.fetching = true;
    const bool outside = isOutsideRegion(state, source.peer);
    chunk.takeover = outside && chunk.position > 0 && state.settings.fetchPolicy == FetchPolicy::Swarm;
    download.takeoverStreams += chunk.takeover ? 1 : 0;
    if (source.peer.empty()) {
        ++download.originStreams;
    } else {
        ++download.peerStreams;
        ++download.peers[source.peer].streams;
    }
    effects.emplace_back(FetchChunk { .manifest = digest,
        .index = index,
        .source = source,
        .timeout = chunkTimeout(state, download.manifest->chunks[index.value].size, chunk.failures, outside) });
}

void startFetches(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects)
{
    if (!download.manifest || download.whole || download.unusable)
        return;
    if (state.settings.fetchPolicy == FetchPolicy::Origin)
        fetchAllFromOrigin(state, digest, download, effects);
    else
        runSwarmRound(state, digest, download, effects);
}

void finishFetch(AgentState& state, const ChunkFetched& event, AgentEffects& effects)
{
    const auto found = state.weights.downloads.find(event.manifest);
    if (found == state.weights.downloads.end() || event.index.value >= found->second.chunks.size())
        return;
    Download& download = found->second;
    ChunkProgress& chunk = download.chunks[event.index.value];
    // The answer belongs to an earlier download of the same manifest.
    if (!chunk.fetching)
        return;
    chunk.fetching = false;
    const bool outside = isOutsideRegion(state, event.source.peer);
    download.takeoverStreams -= chunk.takeover ? 1 : 0;
    chunk.takeover = false;
    if (event.source.peer.empty()) {
        --download.originStreams;
    } else {
        --download.peerStreams;
        PeerProgress& peer = download.peers[event.source.peer];
        peer.streams -= peer.streams > 0 ? 1 : 0;
    }
    countBytes(state, download, event, effects);
    updateMeasuredRate(outside ? state.weights.outsideRate : state.weights.regionRate, event);
    if (event.result != ChunkResult::Verified) {
        // A corrupt chunk does not count as an outside failure: the source answered.
        if (outside && event.result == ChunkResult::Failed)
            download.lastOutsideFailure = state.now;
        chunk.failures = std::min<std::uint16_t>(chunk.failures + 1, maxBackoffFailures);
        chunk.notBefore = state.now + minRetryDelay * (1 << chunk.failures) / 2;
        penaliseSource(state, download, event, effects);
        return;
    }
    chunk.have = true;
    ++download.held;
    chunk.failures = 0;
    if (const auto peer = download.peers.find(event.source.peer); peer != download.peers.end())
        peer->second.failures = peer->second.corrupt = 0;
    if (event.versionComplete && download.held == download.chunks.size()) {
        completeDownload(state, event.manifest, download, effects);
    } else if (event.totalDigestMismatch) {
        download.unusable = true;
        download.detail = "digest of all weights differs from total_digest of the manifest";
        effects.emplace_back(LogLine { .level = LogLevel::Error,
            .event = "weights-total-mismatch",
            .fields = { { "manifest", event.manifest.value } } });
    }
}

} // namespace hickory
