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

    constexpr std::uint32_t maxOutsideStreams = 2; ///< concurrent fetches from outside the region
    constexpr std::uint32_t maxTakeoverStreams = 1; ///< those of them that replace a slow or dead owner
    constexpr std::uint32_t maxPeerStreams = 4; ///< concurrent fetches from all peers
    constexpr std::uint32_t maxStreamsPerPeer = 2; ///< concurrent fetches from one peer
    /// Hosts of one region that may fetch a chunk from outside it. As one region reads from the origin, this also
    /// bounds the hosts that read a chunk from there.
    constexpr std::uint16_t maxOutsideReaders = 3;
    /// Interval of query rounds. With maxQueriesPerRound it limits a host that fetches a version to 20 map queries of
    /// about 300 bytes a second.
    constexpr Milliseconds queryRoundInterval { 100 };
    constexpr std::uint32_t maxQueriesPerRound = 2;
    constexpr std::uint32_t maxQueries = 4; ///< concurrent map queries
    /// Interval of queries to one peer. It doubles with each unanswered query above unresponsiveLimit.
    constexpr Milliseconds minQueryInterval { 250 };
    constexpr std::uint32_t maxQueryDoublings = 5;
    /// With this many chunks to fetch within the region, peers are asked for their map at a tenth of the usual rate.
    constexpr std::size_t manyReachableChunks = 16;
    /// An owner without progress for this long is replaced; the time is longer when the timeout of a chunk is.
    constexpr Milliseconds minTakeoverDelay { 3000 };
    /// Consecutive map queries without an answer after which a peer counts as unresponsive.
    constexpr std::uint32_t unresponsiveLimit = 3;
    /// An unresponsive owner is replaced after this time without progress.
    constexpr Milliseconds unresponsiveTakeoverDelay { 1000 };

    /// @return live hosts that fetch the wanted version, by region
    std::map<RegionId, std::vector<HostId>> hostsByRegion(const AgentState& state)
    {
        std::map<RegionId, std::vector<HostId>> regions;
        const PlacementRow* row = wantedPlacement(state);
        if (!row)
            return regions;
        for (const HostId& host : row->hosts) {
            const Member* member = findMember(state.members, host);
            if (member && !isLeaving(state.members, host))
                regions[member->region].push_back(host);
        }
        return regions;
    }

    /// @return configured region of the weight store; by default the region of the first data centre by name
    RegionId storeRegion(const AgentState& state)
    {
        if (!state.settings.storeRegion.empty())
            return state.settings.storeRegion;
        const auto& members = state.members.list.members;
        const auto first = std::min_element(members.begin(), members.end(),
            [](const Member& left, const Member& right) { return left.dataCentre < right.dataCentre; });
        return first == members.end() ? state.settings.process.region : first->region;
    }

    /// Rendezvous hashing: orders hosts by their hash with a key, highest first.
    /// @return position of `self` in that order, and its first host (empty when there are no hosts)
    std::pair<std::uint16_t, HostId> rendezvousPosition(
        const std::string& key, const std::vector<HostId>& hosts, const HostId& self)
    {
        const auto score = [&](const HostId& host) { return stableHash(key, host.value); };
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

    /// Recomputes the owners of all chunks and this host's positions when the hosts that fetch the version changed.
    void assignChunks(AgentState& state, Download& download)
    {
        if (download.fetchingHostsVersion == state.weights.fetchingHostsVersion)
            return;
        download.fetchingHostsVersion = state.weights.fetchingHostsVersion;
        std::map<RegionId, std::vector<HostId>> regions = hostsByRegion(state);
        const RegionId& own = state.settings.process.region;
        // Only one region reads from the origin, which bounds the number of hosts that read a chunk there.
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
            // The index gives chunks of equal content different owners; the digest varies the order between versions.
            const std::string key = download.manifest->chunks[index].digest + "/" + std::to_string(index);
            std::tie(chunk.position, chunk.owner) = rendezvousPosition(key, download.regionHosts, self);
            chunk.sourceOwner = rendezvousPosition(key, download.sourceHosts, self).second;
        }
    }

    /// @return true when this host owns the chunk or may now take it over. Hosts take over in their rendezvous order,
    /// each one takeover delay after the one before.
    bool mayFetchOutside(const AgentState& state, const Download& download, std::size_t index)
    {
        const ChunkProgress& chunk = download.chunks[index];
        if (chunk.position == 0)
            return true;
        if (chunk.position >= maxOutsideReaders || download.takeoverStreams >= maxTakeoverStreams)
            return false;
        const auto owner = download.peers.find(chunk.owner);
        const Milliseconds ownerProgress
            = owner == download.peers.end() ? Milliseconds { 0 } : owner->second.lastProgress;
        const Milliseconds takeoverDelay
            = std::max(minTakeoverDelay, chunkTimeout(state, download.manifest->chunks[index].size, 0, true));
        // While the source itself fails, a lack of progress does not show that the owner is slow.
        const Milliseconds since = std::max({ ownerProgress, download.startedAt, download.lastOutsideFailure });
        const bool unresponsive = owner != download.peers.end() && owner->second.unansweredQueries >= unresponsiveLimit;
        return state.now - since >= (unresponsive ? unresponsiveTakeoverDelay : takeoverDelay) * chunk.position;
    }

    /// Selects a peer that holds a chunk: first by not being demoted, then by fewest streams, then at random.
    /// @param outside selects among peers of other regions instead of those of this region
    /// @return the peer, or nullptr when none is available
    const Member* selectPeer(AgentState& state, Download& download, std::size_t index, bool outside)
    {
        using Cost = std::tuple<bool, std::uint32_t, std::uint64_t>;
        Cost best;
        const Member* found = nullptr;
        for (const auto& [host, peer] : download.peers) {
            if (index >= peer.have.size() || !peer.have[index] || peer.streams >= maxStreamsPerPeer
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

    /// Fetches chunks from peers of this region.
    /// @param reachable indices of missing chunks that such peers hold
    void fetchFromRegion(AgentState& state, const ManifestDigest& digest, Download& download,
        std::vector<std::uint32_t> reachable, AgentEffects& effects)
    {
        // Rarest first. The random order of equally rare chunks spreads the requests of different hosts.
        std::shuffle(reachable.begin(), reachable.end(), state.random);
        std::stable_sort(reachable.begin(), reachable.end(), [&](std::uint32_t left, std::uint32_t right) {
            return download.chunks[left].holders < download.chunks[right].holders;
        });
        for (const std::uint32_t index : reachable) {
            if (download.peerStreams >= maxPeerStreams)
                return;
            if (const Member* peer = selectPeer(state, download, index, false))
                startFetch(
                    state, digest, download, { index }, { .peer = peer->host, .address = peer->address }, effects);
        }
    }

    /// Fetches chunks that no peer of this region holds from the origin or from other regions.
    void fetchFromOutside(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects)
    {
        std::uint32_t streams = download.originStreams;
        for (const auto& [host, peer] : download.peers)
            streams += isOutsideRegion(state, host) ? peer.streams : 0;
        for (std::uint32_t index = 0; index < download.chunks.size() && streams < maxOutsideStreams; ++index) {
            const ChunkProgress& chunk = download.chunks[index];
            if (chunk.have || chunk.fetching || chunk.holders > 0 || state.now < chunk.notBefore
                || !mayFetchOutside(state, download, index))
                continue;
            if (download.readsOrigin) {
                startFetch(state, digest, download, { index }, {}, effects);
                ++streams;
            } else if (const Member* peer = selectPeer(state, download, index, true)) {
                startFetch(
                    state, digest, download, { index }, { .peer = peer->host, .address = peer->address }, effects);
                ++streams;
            }
        }
    }

    /// @return true when an owner in the source region is unresponsive or makes no progress
    bool ownerStalled(const AgentState& state, const Download& download, const HostId& owner)
    {
        const auto peer = download.peers.find(owner);
        const Milliseconds ownerProgress
            = peer == download.peers.end() ? Milliseconds { 0 } : peer->second.lastProgress;
        return (peer != download.peers.end() && peer->second.unansweredQueries >= unresponsiveLimit)
            || state.now - std::max(ownerProgress, download.startedAt) >= minTakeoverDelay;
    }

    /// @return peers whose chunk maps may show chunks that this host can fetch: those of its region and, outside the
    /// source region, the source region's owners of the chunks that this host may fetch from outside
    std::vector<HostId> usefulPeers(const AgentState& state, const Download& download)
    {
        std::vector<HostId> peers = download.regionHosts;
        if (!download.readsOrigin) {
            bool stalled = false;
            for (const ChunkProgress& chunk : download.chunks)
                if (!chunk.have && chunk.holders == 0 && chunk.position < maxOutsideReaders
                    && !chunk.sourceOwner.empty()) {
                    peers.push_back(chunk.sourceOwner);
                    stalled = stalled || ownerStalled(state, download, chunk.sourceOwner);
                }
            // Any host of the source region may have taken over from a stalled owner.
            if (stalled)
                peers.insert(peers.end(), download.sourceHosts.begin(), download.sourceHosts.end());
        }
        std::sort(peers.begin(), peers.end());
        peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
        eraseHost(peers, state.settings.process.host);
        return peers;
    }

    /// @return source region's owners of the chunks that this host must fetch first, since its whole region waits for
    /// them
    std::set<HostId> urgentPeers(const Download& download)
    {
        std::set<HostId> peers;
        if (download.readsOrigin)
            return peers;
        for (const ChunkProgress& chunk : download.chunks)
            if (!chunk.have && !chunk.fetching && chunk.holders == 0 && chunk.position == 0)
                peers.insert(chunk.sourceOwner);
        return peers;
    }

    /// Starts a round of chunk map queries: urgent peers first, then those not asked for longest.
    /// @param manyReachable there are enough chunks to fetch within the region, so queries of other peers may wait
    /// longer
    void queryMaps(
        AgentState& state, const ManifestDigest& digest, Download& download, bool manyReachable, AgentEffects& effects)
    {
        const std::set<HostId> urgent = urgentPeers(download);
        std::vector<std::tuple<bool, Milliseconds, HostId>> due;
        for (HostId& host : usefulPeers(state, download)) {
            const PeerProgress& peer = download.peers[host];
            // Up to the limit an unresponsive peer is asked at the usual rate, so that a dead owner is detected soon.
            const std::uint32_t excess
                = peer.unansweredQueries > unresponsiveLimit ? peer.unansweredQueries - unresponsiveLimit : 0;
            const Milliseconds pause = minQueryInterval * (1 << std::min(excess, maxQueryDoublings));
            const bool notUrgent = !urgent.contains(host);
            if (!peer.querying && peer.held < download.chunks.size()
                && (peer.lastQuery.value == 0
                    || state.now - peer.lastQuery >= pause * (notUrgent && manyReachable ? 10 : 1)))
                due.emplace_back(notUrgent, peer.lastQuery, std::move(host));
        }
        std::shuffle(due.begin(), due.end(), state.random);
        std::stable_sort(due.begin(), due.end(), [](const auto& left, const auto& right) {
            return std::tie(std::get<0>(left), std::get<1>(left)) < std::tie(std::get<0>(right), std::get<1>(right));
        });
        std::uint32_t started = 0;
        for (const auto& [notUrgent, last, host] : due) {
            const Member* member = findMember(state.members, host);
            if (!member || started >= maxQueriesPerRound || download.queries >= maxQueries)
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

void runSwarmRound(AgentState& state, const ManifestDigest& digest, Download& download, AgentEffects& effects)
{
    assignChunks(state, download);
    std::vector<std::uint32_t> reachable;
    for (std::uint32_t index = 0; index < download.chunks.size(); ++index) {
        const ChunkProgress& chunk = download.chunks[index];
        if (!chunk.have && !chunk.fetching && chunk.holders > 0 && state.now >= chunk.notBefore)
            reachable.push_back(index);
    }
    if (state.now >= state.weights.nextQueryRound) {
        state.weights.nextQueryRound = state.now + queryRoundInterval;
        queryMaps(state, digest, download, reachable.size() >= manyReachableChunks, effects);
    }
    if (!reachable.empty() && download.peerStreams < maxPeerStreams)
        fetchFromRegion(state, digest, download, std::move(reachable), effects);
    fetchFromOutside(state, digest, download, effects);
}

void recordChunkMap(AgentState& state, const ChunkMapReceived& event)
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
    const bool sameRegion = !isOutsideRegion(state, event.peer);
    std::vector<bool> have = event.have;
    have.resize(download.chunks.size());
    peer.have.resize(download.chunks.size());
    peer.held = 0;
    for (std::size_t index = 0; index < have.size(); ++index) {
        ChunkProgress& chunk = download.chunks[index];
        peer.held += have[index] ? 1 : 0;
        if (have[index] == peer.have[index])
            continue;
        // A chunk may also be gone from the map: a peer that restarts loses its chunks.
        if (sameRegion)
            chunk.holders = static_cast<std::uint16_t>(chunk.holders + (have[index] ? 1 : -1));
        if (have[index] && (sameRegion ? chunk.owner : chunk.sourceOwner) == event.peer)
            peer.lastProgress = state.now;
    }
    peer.have = std::move(have);
}

} // namespace hickory
