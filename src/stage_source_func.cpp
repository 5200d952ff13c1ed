#include "stage_source_func.h"

#include "digest_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    bool holds(
        const StageState& state, const std::string& ip, WeightsVersion version, std::uint32_t piece, Milliseconds now)
    {
        const auto found = state.peerHoldings.find(ip);
        if (found == state.peerHoldings.end() || now - found->second.receivedAt > piecesMaxAge)
            return false;
        return std::any_of(found->second.sets.begin(), found->second.sets.end(),
            [&](const PieceSet& set) { return set.version == version && piece < set.held.size() && set.held[piece]; });
    }

    std::size_t askedOf(const StageState& state, const std::string& ip)
    {
        std::size_t count = 0;
        for (const StageJob& job : state.jobs)
            count += static_cast<std::size_t>(std::count_if(job.pieces.begin(), job.pieces.end(),
                [&](const PieceState& piece) { return piece.step == PieceStep::Fetching && piece.source == ip; }));
        return count;
    }

    /// @return the host among some that this one asks least at the moment; ties differ from host to host
    const StagePeer* leastAsked(const StageState& state, const std::vector<const StagePeer*>& peers, std::uint64_t turn)
    {
        const StagePeer* best = nullptr;
        std::size_t bestCount = perSourceInFlight;
        for (std::size_t step = 0; step < peers.size(); ++step) {
            const StagePeer* peer = peers[(turn + step) % peers.size()];
            const std::size_t count = askedOf(state, peer->ip);
            if (count < bestCount) {
                best = peer;
                bestCount = count;
            }
        }
        return best;
    }

    /// Deals duties for pieces to hosts in turn, so that each has the same share.
    bool isDesignatedFetcher(const StageState& state, std::uint64_t turn, bool sameDataCentreOnly)
    {
        std::vector<const std::string*> ips;
        for (const StagePeer& peer : state.peers)
            if (!sameDataCentreOnly || peer.dataCentre == state.options.dataCentre)
                ips.push_back(&peer.ip);
        return !ips.empty() && *ips[turn % ips.size()] == state.options.ip;
    }

    /// @return how often a duty has passed on: first after a longer time, then evenly
    std::uint64_t roundsSince(Milliseconds since, Milliseconds first, Milliseconds now)
    {
        const Milliseconds elapsed = now - since;
        return elapsed < first ? 0 : 1 + static_cast<std::uint64_t>((elapsed - first).value / fetcherRound.value);
    }

    /// Spreads the questions to the origin over the time that its link needs for all pieces, so that the first pieces
    /// are passed on between hosts while it sends the last ones.
    /// @return after which time of a version's work a piece may be asked for at the origin
    Milliseconds originTurn(const StageState& state, const StageJob& job, std::uint32_t piece)
    {
        if (state.originMbps <= 0)
            return {};
        constexpr double bitsPerByte = 8.0;
        constexpr double kilobitsPerMegabit = 1000.0;
        const double pieceMs = job.pieceBytes * bitsPerByte / (state.originMbps * kilobitsPerMegabit);
        const double ahead = std::max(0.0, static_cast<double>(piece) - originAhead);
        return { static_cast<std::int64_t>(ahead * pieceMs * originPacing) };
    }

} // namespace

std::optional<StageSource> chooseSource(StageState& state, StageJob& job, std::uint32_t piece, Milliseconds now)
{
    std::vector<const StagePeer*> near;
    std::vector<const StagePeer*> far;
    for (const StagePeer& peer : state.peers)
        if (peer.ip != state.options.ip && holds(state, peer.ip, job.version, piece, now))
            (peer.dataCentre == state.options.dataCentre ? near : far).push_back(&peer);
    const std::uint64_t turn = piece + placementHash("first-holder", state.options.ip);
    if (!near.empty()) {
        const StagePeer* peer = leastAsked(state, near, turn + job.pieces[piece].failures);
        return peer ? std::optional(StageSource { peer->ip }) : std::nullopt;
    }
    constexpr std::uint64_t roundStep = 5; // hosts that follow each other may have been lost together
    Milliseconds& remoteSeenAt = job.pieces[piece].remoteSeenAt;
    if (!far.empty()) {
        remoteSeenAt = remoteSeenAt.value == 0 ? now : remoteSeenAt;
        if (!isDesignatedFetcher(state, piece + roundStep * roundsSince(remoteSeenAt, fetcherRound, now), true))
            return std::nullopt;
        const StagePeer* peer = leastAsked(state, far, turn + job.pieces[piece].failures);
        return peer ? std::optional(StageSource { peer->ip }) : std::nullopt;
    }
    const Milliseconds dueAt = job.since + originTurn(state, job, piece);
    if (now < dueAt)
        return std::nullopt;
    const std::uint64_t rounds = roundsSince(dueAt, originRound, now);
    return isDesignatedFetcher(state, piece + job.version.value + roundStep * rounds, false)
        ? std::optional(StageSource {})
        : std::nullopt;
}

std::int64_t hostPosition(const StageState& state, const std::string& key)
{
    const std::uint64_t own = placementHash(key, state.options.ip);
    return std::count_if(state.peers.begin(), state.peers.end(),
        [&](const StagePeer& peer) { return placementHash(key, peer.ip) < own; });
}

std::optional<StageSource> chooseManifestSource(StageState& state, const StageJob& job, Milliseconds now)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const StagePeer& peer : state.peers) {
        const auto holder = state.peerHoldings.find(peer.ip);
        if (peer.ip == state.options.ip || holder == state.peerHoldings.end()
            || now - holder->second.receivedAt > piecesMaxAge)
            continue;
        if (std::any_of(holder->second.sets.begin(), holder->second.sets.end(),
                [&](const PieceSet& set) { return set.version == job.version; }))
            (peer.dataCentre == state.options.dataCentre ? near : far).push_back(peer.ip);
    }
    const std::vector<std::string>& holders = near.empty() ? far : near;
    const bool tryOrigin = job.manifestFailures % manifestTriesPerOrigin == manifestTriesPerOrigin - 1;
    if (!holders.empty() && !tryOrigin)
        return StageSource { holders[state.random() % holders.size()] };
    const std::string key = "manifest-" + std::to_string(job.version.value);
    const std::int64_t rounds = 1 + (now - job.since).value / manifestRound.value;
    return hostPosition(state, key) < manifestHosts * rounds ? std::optional(StageSource {}) : std::nullopt;
}

bool isShared(const StageState& state, const StageSource& source)
{
    return std::none_of(state.peers.begin(), state.peers.end(),
        [&](const StagePeer& peer) { return peer.ip == source.ip && peer.dataCentre == state.options.dataCentre; });
}

} // namespace hickory
