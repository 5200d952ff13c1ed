#include "weights_swarm_cmd.h"

#include "digest_func.h"
#include "member_func.h"
#include "placement_row_func.h"
#include "weights_assign_cmd.h"
#include "weights_fetch_cmd.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace hickory {

namespace {

    constexpr std::uint32_t maxOutsideStreams = 2;
    constexpr std::uint32_t maxTakeoverStreams = 1;
    constexpr std::uint32_t maxPeerStreams = 4;
    constexpr std::uint32_t maxStreamsFromPeer = 2;
    /// Hosts of one region that may fetch a chunk from outside, and so the hosts that may read it from the origin.
    constexpr std::uint16_t maxOutsideReaders = 3;
    /// Map queries cost at most 20 a second, with about 300 bytes each while a version is fetched.
    constexpr Milliseconds roundInterval { 100 };
    constexpr std::uint32_t queriesInRound = 2;
    constexpr std::uint32_t maxQueries = 4;
    constexpr Milliseconds queryInterval { 250 };
    constexpr std::uint32_t maxQueryDoublings = 5;
    /// With as many chunks known to be in reach, a peer is asked for its map at a tenth of the rate.
    constexpr std::size_t plentyOfChunks = 16;
    /// A lead without progress for this long is replaced; longer when chunks take longer.
    constexpr Milliseconds shortestTakeover { 3000 };
    /// Map queries without an answer after which a lead counts as gone.
    constexpr std::uint32_t silentLimit = 3;
    constexpr Milliseconds silentTakeover { 1000 };

    /// Live hosts that fetch a version, by region.
    std::map<RegionId, std::vector<HostId>> hostsByRegion(const AgentState& state)
    {
        std::map<RegionId, std::vector<HostId>> regions;
        const PlacementRow* row = wantedRow(state);
        if (!row)
            return regions;
        for (const HostId& host : row->hosts) {
            const Member* member = findMember(state.members, host);
            if (member && !isLeaving(state.members, host))
                regions[member->region].push_back(host);
        }
        return regions;
    }

    /// @return region of the weight store; by default that of the first place by name
    RegionId storeRegion(const AgentState& state)
    {
        if (!state.settings.storeRegion.empty())
            return state.settings.storeRegion;
        const auto& members = state.members.list.members;
        const auto first = std::min_element(members.begin(), members.end(),
            [](const Member& left, const Member& right) { return left.dataCentre < right.dataCentre; });
        return first == members.end() ? state.settings.process.region : first->region;
    }

    /// Position of a host among hosts for a key, and the best of them, without sorting.
    std::pair<std::uint16_t, HostId> positionFor(
        const std::string& key, const std::vector<HostId>& hosts, const HostId& self)
    {
        const auto score = [&](const HostId& host) { return placementHash(key, host.value); };
        const std::uint64_t own = score(self);
        std::uint64_t best = 0;
        std::pair<std::uint16_t, HostId> found;
        for (const HostId& host : hosts) {
            const std::uint64_t other = score(host);
            found.first += host != self && (other > own || (other == own && host < self)) ? 1 : 0;
            if (found.second.empty() || other > best || (other == best && host < found.second)) {
                best = other;
                found.second = host;
            }
        }
        return found;
    }

    void orderChunks(AgentState& state, Download& download)
    {
        if (download.candidatesVersion == state.weights.candidatesVersion)
            return;
        download.candidatesVersion = state.weights.candidatesVersion;
        std::map<RegionId, std::vector<HostId>> regions = hostsByRegion(state);
        const RegionId& own = state.settings.process.region;
        // Exactly one region reads from the origin, so that the readers of a chunk stay bounded.
        RegionId source = storeRegion(state);
        if (!regions.contains(source) && !regions.empty())
            source = regions.begin()->first;
        const bool readsOrigin = source == own || regions.empty();
        std::erase_if(download.peers,
            [&](const auto& peer) { return !findMember(state.members, peer.first) && peer.second.streams == 0; });
        if (download.regionHosts == regions[own] && download.sourceHosts == regions[source]
            && download.readsOrigin == readsOrigin)
            return;
        download.regionHosts = regions[own];
        download.sourceHosts = regions[source];
        download.readsOrigin = readsOrigin;
        const HostId& self = state.settings.process.host;
        for (std::size_t index = 0; index < download.chunks.size(); ++index) {
            ChunkProgress& chunk = download.chunks[index];
            // The index keeps equal chunks from having one lead; the digest varies the order between versions.
            const std::string key = download.manifest->chunks[index].digest + "/" + std::to_string(index);
            std::tie(chunk.position, chunk.lead) = positionFor(key, download.regionHosts, self);
            chunk.sourceLead = positionFor(key, download.sourceHosts, self).second;
        }
    }

    /// @return true when this host may fetch the chunk from outside the region now
    bool mayFetchOutside(const AgentState& state, const Download& download, std::size_t index)
    {
        const ChunkProgress& chunk = download.chunks[index];
        if (chunk.position == 0)
            return true;
        if (chunk.position >= maxOutsideReaders || download.takeoverStreams >= maxTakeoverStreams)
            return false;
        const auto lead = download.peers.find(chunk.lead);
        const Milliseconds gained = lead == download.peers.end() ? Milliseconds { 0 } : lead->second.lastGain;
        const Milliseconds takeoverDelay
            = std::max(shortestTakeover, chunkTimeout(state, download.manifest->chunks[index].size, 0, true));
        // A failure of the source from outside is no fault of the lead.
        const Milliseconds since = std::max({ gained, download.started, download.outsideFailure });
        const bool gone = lead != download.peers.end() && lead->second.unansweredQueries >= silentLimit;
        return state.now - since >= (gone ? silentTakeover : takeoverDelay) * chunk.position;
    }

    /// @return best peer that holds a chunk, or nullptr: one that is not demoted, then the least used
    const Member* sourceFor(AgentState& state, Download& download, std::size_t index, bool outside)
    {
        using Cost = std::tuple<bool, std::uint32_t, std::uint64_t>;
        Cost best;
        const Member* found = nullptr;
        for (const auto& [host, peer] : download.peers) {
            if (index >= peer.have.size() || !peer.have[index] || peer.streams >= maxStreamsFromPeer
                || state.now < peer.avoidUntil || peer.unansweredQueries > 0)
                continue;
            const Member* member = findMember(state.members, host);
            if (!member || (member->region != state.settings.process.region) != outside)
                continue;
            const Cost cost { state.now < peer.demotedUntil, peer.streams, state.random() };
            if (!found || cost < best) {
                best = cost;
                found = member;
            }
        }
        return found;
    }

    void fetchFromRegion(AgentState& state, const ManifestDigest& digest, Download& download,
        std::vector<std::uint32_t> reachable, AgentEffects& effects)
    {
        // Rarest first; the random order among equals keeps hosts from asking for the same chunk together.
        std::shuffle(reachable.begin(), reachable.end(), state.random);
        std::stable_sort(reachable.begin(), reachable.end(), [&](std::uint32_t left, std::uint32_t right) {
            return download.chunks[left].holders < download.chunks[right].holders;
        });
        for (const std::uint32_t index : reachable) {
            if (download.peerStreams >= maxPeerStreams)
                return;
            if (const Member* peer = sourceFor(state, download, index, false))
                startFetch(
                    state, digest, download, { index }, { .peer = peer->host, .address = peer->address }, effects);
        }
    }

    void fetchFromOutside(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects)
    {
        std::uint32_t streams = download.originStreams;
        for (const auto& [host, peer] : download.peers)
            streams += isOutside(state, host) ? peer.streams : 0;
        for (std::uint32_t index = 0; index < download.chunks.size() && streams < maxOutsideStreams; ++index) {
            const ChunkProgress& chunk = download.chunks[index];
            if (chunk.have || chunk.fetching || chunk.holders > 0 || state.now < chunk.notBefore
                || !mayFetchOutside(state, download, index))
                continue;
            if (download.readsOrigin) {
                startFetch(state, digest, download, { index }, {}, effects);
                ++streams;
            } else if (const Member* peer = sourceFor(state, download, index, true)) {
                startFetch(
                    state, digest, download, { index }, { .peer = peer->host, .address = peer->address }, effects);
                ++streams;
            }
        }
    }

    /// @return true when the lead of a chunk in the region that reads from the origin does not get on
    bool leadStalled(const AgentState& state, const Download& download, const HostId& lead)
    {
        const auto peer = download.peers.find(lead);
        const Milliseconds gained = peer == download.peers.end() ? Milliseconds { 0 } : peer->second.lastGain;
        return (peer != download.peers.end() && peer->second.unansweredQueries >= silentLimit)
            || state.now - std::max(gained, download.started) >= shortestTakeover;
    }

    /// @return peers whose map may tell of chunks that this host can use
    std::vector<HostId> usefulPeers(const AgentState& state, const Download& download)
    {
        std::vector<HostId> peers = download.regionHosts;
        if (!download.readsOrigin) {
            bool stalled = false;
            for (const ChunkProgress& chunk : download.chunks)
                if (!chunk.have && chunk.holders == 0 && chunk.position < maxOutsideReaders
                    && !chunk.sourceLead.empty()) {
                    peers.push_back(chunk.sourceLead);
                    stalled = stalled || leadStalled(state, download, chunk.sourceLead);
                }
            // In place of a dead lead any host of that region may have the chunk.
            if (stalled)
                peers.insert(peers.end(), download.sourceHosts.begin(), download.sourceHosts.end());
        }
        std::sort(peers.begin(), peers.end());
        peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
        eraseHost(peers, state.settings.process.host);
        return peers;
    }

    /// Hosts of the source region on which this host's own chunks wait, and with them the whole region.
    std::set<HostId> urgentPeers(const Download& download)
    {
        std::set<HostId> peers;
        if (download.readsOrigin)
            return peers;
        for (const ChunkProgress& chunk : download.chunks)
            if (!chunk.have && !chunk.fetching && chunk.holders == 0 && chunk.position == 0)
                peers.insert(chunk.sourceLead);
        return peers;
    }

    void queryMaps(
        AgentState& state, const ManifestDigest& digest, Download& download, bool plenty, AgentEffects& effects)
    {
        const std::set<HostId> urgent = urgentPeers(download);
        std::vector<std::tuple<bool, Milliseconds, HostId>> due;
        for (HostId& host : usefulPeers(state, download)) {
            const PeerProgress& peer = download.peers[host];
            // Up to the limit a silent peer is asked at the usual rate, so that a dead lead is noticed soon.
            const std::uint32_t excess
                = peer.unansweredQueries > silentLimit ? peer.unansweredQueries - silentLimit : 0;
            const Milliseconds pause = queryInterval * (1 << std::min(excess, maxQueryDoublings));
            const bool ordinary = !urgent.contains(host);
            if (!peer.querying && peer.held < download.chunks.size()
                && (peer.lastQuery.value == 0 || state.now - peer.lastQuery >= pause * (ordinary && plenty ? 10 : 1)))
                due.emplace_back(ordinary, peer.lastQuery, std::move(host));
        }
        std::shuffle(due.begin(), due.end(), state.random);
        std::stable_sort(due.begin(), due.end(), [](const auto& left, const auto& right) {
            return std::tie(std::get<0>(left), std::get<1>(left)) < std::tie(std::get<0>(right), std::get<1>(right));
        });
        std::uint32_t started = 0;
        for (const auto& [ordinary, last, host] : due) {
            const Member* member = findMember(state.members, host);
            if (!member || started >= queriesInRound || download.queries >= maxQueries)
                continue;
            PeerProgress& peer = download.peers[host];
            peer.querying = true;
            peer.lastQuery = state.now;
            ++download.queries;
            ++started;
            effects.emplace_back(QueryChunkMap { .peer = host, .address = member->address, .manifest = digest });
        }
    }

} // namespace

void swarmRound(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects)
{
    orderChunks(state, download);
    std::vector<std::uint32_t> reachable;
    for (std::uint32_t index = 0; index < download.chunks.size(); ++index) {
        const ChunkProgress& chunk = download.chunks[index];
        if (!chunk.have && !chunk.fetching && chunk.holders > 0 && state.now >= chunk.notBefore)
            reachable.push_back(index);
    }
    if (state.now >= state.weights.nextRound) {
        state.weights.nextRound = state.now + roundInterval;
        queryMaps(state, digest, download, reachable.size() >= plentyOfChunks, effects);
    }
    if (!reachable.empty() && download.peerStreams < maxPeerStreams)
        fetchFromRegion(state, digest, download, std::move(reachable), effects);
    fetchFromOutside(state, digest, download, effects);
}

void takeChunkMap(AgentState& state, const ChunkMapReceived& event)
{
    const auto found = state.weights.downloads.find(event.manifest);
    if (found == state.weights.downloads.end() || found->second.whole)
        return;
    Download& download = found->second;
    const auto entry = download.peers.find(event.peer);
    if (entry == download.peers.end() || !entry->second.querying)
        return;
    PeerProgress& peer = entry->second;
    peer.querying = false;
    --download.queries;
    if (!event.ok) {
        ++peer.unansweredQueries;
        return;
    }
    peer.unansweredQueries = 0;
    const bool near = !isOutside(state, event.peer);
    std::vector<bool> have = event.have;
    have.resize(download.chunks.size());
    peer.have.resize(download.chunks.size());
    peer.held = 0;
    for (std::size_t index = 0; index < have.size(); ++index) {
        ChunkProgress& chunk = download.chunks[index];
        peer.held += have[index] ? 1 : 0;
        if (have[index] == peer.have[index])
            continue;
        // A peer that restarted has lost its chunks.
        if (near)
            chunk.holders = static_cast<std::uint16_t>(chunk.holders + (have[index] ? 1 : -1));
        if (have[index] && (near ? chunk.lead : chunk.sourceLead) == event.peer)
            peer.lastGain = state.now;
    }
    peer.have = std::move(have);
}

} // namespace hickory
