#include "stage_source_func.h"

#include "digest_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    /// @return whether a host announced recently that it holds a piece
    bool holds(
        const StageState& state, const std::string& ip, WeightsVersion version, std::uint32_t piece, Milliseconds now)
    {
        const auto found = state.peerHoldings.find(ip);
        if (found == state.peerHoldings.end() || now - found->second.receivedAt > holdingsMaxAge)
            return false;
        return std::any_of(found->second.sets.begin(), found->second.sets.end(),
            [&](const PieceSet& set) { return set.version == version && piece < set.held.size() && set.held[piece]; });
    }

    /// @return number of this agent's piece requests in flight to a host
    std::size_t countInFlightFrom(const StageState& state, const std::string& ip)
    {
        std::size_t count = 0;
        for (const StageJob& job : state.jobs)
            count += static_cast<std::size_t>(std::count_if(job.pieces.begin(), job.pieces.end(),
                [&](const PieceState& piece) { return piece.step == PieceStep::Fetching && piece.source == ip; }));
        return count;
    }

    /// @param offset where the search starts; differs between agents, so that they resolve ties differently
    /// @return the peer with the fewest requests in flight from this agent, or nullptr when all are at the limit
    const WeightsPeer* leastLoadedSource(
        const StageState& state, const std::vector<const WeightsPeer*>& peers, std::uint64_t offset)
    {
        const WeightsPeer* best = nullptr;
        std::size_t bestCount = maxInFlightPerSource;
        for (std::size_t step = 0; step < peers.size(); ++step) {
            const WeightsPeer* peer = peers[(offset + step) % peers.size()];
            const std::size_t count = countInFlightFrom(state, peer->ip);
            if (count < bestCount) {
                best = peer;
                bestCount = count;
            }
        }
        return best;
    }

    /// Assigns fetches to hosts in rotation, so that each has the same share.
    /// @param number position of the fetch in the rotation
    /// @param sameDataCentreOnly rotates among the hosts of this data centre instead of all hosts of the service
    bool isDesignatedFetcher(const StageState& state, std::uint64_t number, bool sameDataCentreOnly)
    {
        std::vector<const std::string*> ips;
        for (const WeightsPeer& peer : state.peers)
            if (!sameDataCentreOnly || peer.dataCentre == state.options.dataCentre)
                ips.push_back(&peer.ip);
        return !ips.empty() && *ips[number % ips.size()] == state.options.ip;
    }

    /// @param first duration of the first round; each further one lasts fetcherRound
    /// @return number of rounds that have ended since the start
    std::uint64_t elapsedRounds(Milliseconds start, Milliseconds first, Milliseconds now)
    {
        const Milliseconds elapsed = now - start;
        return elapsed < first ? 0 : 1 + static_cast<std::uint64_t>((elapsed - first).value / fetcherRound.value);
    }

    /// Spreads the requests to the origin over the time that its link needs for all pieces, so that hosts exchange the
    /// first pieces while the origin sends the last ones.
    /// @return delay after the version became known until a piece may be requested from the origin
    Milliseconds originRequestDelay(const StageState& state, const StageJob& job, std::uint32_t piece)
    {
        if (state.originMbps <= 0)
            return {};
        constexpr double bitsPerByte = 8.0;
        constexpr double kilobitsPerMegabit = 1000.0;
        const double pieceMs = job.pieceBytes * bitsPerByte / (state.originMbps * kilobitsPerMegabit);
        const double ahead = std::max(0.0, static_cast<double>(piece) - originLeadPieces);
        return { static_cast<std::int64_t>(ahead * pieceMs * originPacingFactor) };
    }

} // namespace

std::optional<StageSource> chooseSource(StageState& state, StageJob& job, std::uint32_t piece, Milliseconds now)
{
    std::vector<const WeightsPeer*> sameDataCentre;
    std::vector<const WeightsPeer*> otherDataCentres;
    for (const WeightsPeer& peer : state.peers)
        if (peer.ip != state.options.ip && holds(state, peer.ip, job.version, piece, now))
            (peer.dataCentre == state.options.dataCentre ? sameDataCentre : otherDataCentres).push_back(&peer);
    const std::uint64_t offset = piece + stableHash("first-holder", state.options.ip);
    if (!sameDataCentre.empty()) {
        const WeightsPeer* peer = leastLoadedSource(state, sameDataCentre, offset + job.pieces[piece].failures);
        return peer ? std::optional(StageSource { peer->ip }) : std::nullopt;
    }
    constexpr std::uint64_t roundStep = 5; ///< skips neighbours in the host list, which may have failed together
    Milliseconds& remoteSeenAt = job.pieces[piece].remoteSeenAt;
    if (!otherDataCentres.empty()) {
        remoteSeenAt = remoteSeenAt.value == 0 ? now : remoteSeenAt;
        if (!isDesignatedFetcher(state, piece + roundStep * elapsedRounds(remoteSeenAt, fetcherRound, now), true))
            return std::nullopt;
        const WeightsPeer* peer = leastLoadedSource(state, otherDataCentres, offset + job.pieces[piece].failures);
        return peer ? std::optional(StageSource { peer->ip }) : std::nullopt;
    }
    const Milliseconds dueAt = job.knownSince + originRequestDelay(state, job, piece);
    if (now < dueAt)
        return std::nullopt;
    const std::uint64_t rounds = elapsedRounds(dueAt, originRound, now);
    return isDesignatedFetcher(state, piece + job.version.value + roundStep * rounds, false)
        ? std::optional(StageSource {})
        : std::nullopt;
}

std::int64_t hostPosition(const StageState& state, const std::string& key)
{
    const std::uint64_t own = stableHash(key, state.options.ip);
    return std::count_if(state.peers.begin(), state.peers.end(),
        [&](const WeightsPeer& peer) { return stableHash(key, peer.ip) < own; });
}

std::optional<StageSource> chooseManifestSource(StageState& state, const StageJob& job, Milliseconds now)
{
    std::vector<std::string> sameDataCentre;
    std::vector<std::string> otherDataCentres;
    for (const WeightsPeer& peer : state.peers) {
        const auto holder = state.peerHoldings.find(peer.ip);
        if (peer.ip == state.options.ip || holder == state.peerHoldings.end()
            || now - holder->second.receivedAt > holdingsMaxAge)
            continue;
        if (std::any_of(holder->second.sets.begin(), holder->second.sets.end(),
                [&](const PieceSet& set) { return set.version == job.version; }))
            (peer.dataCentre == state.options.dataCentre ? sameDataCentre : otherDataCentres).push_back(peer.ip);
    }
    const std::vector<std::string>& holders = sameDataCentre.empty() ? otherDataCentres : sameDataCentre;
    const bool tryOrigin = job.manifestFailures % manifestTriesPerOriginTry == manifestTriesPerOriginTry - 1;
    if (!holders.empty() && !tryOrigin)
        return StageSource { holders[state.random() % holders.size()] };
    const std::string key = "manifest-" + std::to_string(job.version.value);
    const std::int64_t rounds = 1 + (now - job.knownSince).value / manifestRound.value;
    return hostPosition(state, key) < manifestHostsPerRound * rounds ? std::optional(StageSource {}) : std::nullopt;
}

bool isShared(const StageState& state, const StageSource& source)
{
    return std::none_of(state.peers.begin(), state.peers.end(),
        [&](const WeightsPeer& peer) { return peer.ip == source.ip && peer.dataCentre == state.options.dataCentre; });
}

} // namespace hickory
