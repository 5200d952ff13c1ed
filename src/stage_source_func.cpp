#include "stage_source_func.h"

#include "digest_func.h"
#include "stage_pace_func.h"
#include "stage_partner_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    /// @return whether an agent announced recently that it holds a piece
    bool holds(const PeerHoldings& holdings, WeightsVersion version, std::uint32_t piece, Milliseconds now)
    {
        return now - holdings.receivedAt <= holdingsMaxAge
            && std::any_of(holdings.sets.begin(), holdings.sets.end(), [&](const PieceSet& set) {
                   return set.version == version && piece < set.held.size() && set.held[piece];
               });
    }

    /// @return source of each of this agent's piece requests in flight
    std::vector<const std::string*> sourcesInFlight(const StageState& state)
    {
        std::vector<const std::string*> sources;
        for (const StageJob& job : state.jobs)
            for (const PieceState& piece : job.pieces)
                if (piece.step == PieceStep::Fetching)
                    sources.push_back(&piece.source);
        return sources;
    }

    /// @param offset where the search starts; differs between agents, so that they resolve ties differently
    /// @return the host with the fewest requests in flight from this agent, or nullptr when all are at the limit
    const std::string* leastLoadedSource(
        const StageState& state, const std::vector<const std::string*>& ips, std::uint64_t offset)
    {
        const std::vector<const std::string*> inFlight = sourcesInFlight(state);
        const std::string* best = nullptr;
        std::size_t bestCount = maxInFlightPerSource;
        for (std::size_t step = 0; step < ips.size(); ++step) {
            const std::string* ip = ips[(offset + step) % ips.size()];
            const auto count = static_cast<std::size_t>(std::count_if(
                inFlight.begin(), inFlight.end(), [&](const std::string* source) { return *source == *ip; }));
            if (count < bestCount) {
                best = ip;
                bestCount = count;
            }
        }
        return best;
    }

    bool isDesignated(
        const StageState& state, const std::vector<std::string>& hosts, std::uint64_t number, std::uint64_t rounds)
    {
        return !hosts.empty() && designatedFetcher(hosts, number, rounds) == state.options.ip;
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
    std::vector<const std::string*> sameDataCentre;
    std::vector<const std::string*> otherDataCentres;
    for (const auto& [ip, holdings] : state.peerHoldings) {
        const auto host = state.fleet.dataCentres.find(ip);
        if (ip != state.options.ip && host != state.fleet.dataCentres.end() && holds(holdings, job.version, piece, now))
            (host->second == state.options.dataCentre ? sameDataCentre : otherDataCentres).push_back(&ip);
    }
    const std::uint64_t offset = piece + stableHash("first-holder", state.options.ip) + job.pieces[piece].failures;
    const auto sourceOf = [](const std::string* ip) { return ip ? std::optional(StageSource { *ip }) : std::nullopt; };
    if (!sameDataCentre.empty())
        return sourceOf(leastLoadedSource(state, sameDataCentre, offset));
    Milliseconds& remoteSeenAt = job.pieces[piece].remoteSeenAt;
    if (!otherDataCentres.empty()) {
        remoteSeenAt = remoteSeenAt.value == 0 ? now : remoteSeenAt;
        if (!isDesignated(state, state.fleet.here, piece, elapsedRounds(remoteSeenAt, fetcherRound, now)))
            return std::nullopt;
        return sourceOf(leastLoadedSource(state, otherDataCentres, offset));
    }
    const Milliseconds dueAt
        = std::max(job.knownSince, originFreeAt(state, job)) + originRequestDelay(state, job, piece);
    if (now < dueAt)
        return std::nullopt;
    return isDesignated(state, state.fleet.all, piece + job.version.value, elapsedRounds(dueAt, originRound, now))
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
    for (const auto& [ip, holdings] : state.peerHoldings) {
        const auto host = state.fleet.dataCentres.find(ip);
        if (ip == state.options.ip || host == state.fleet.dataCentres.end()
            || now - holdings.receivedAt > holdingsMaxAge)
            continue;
        // A set without pieces names a version whose manifest the host lacks as well.
        if (std::any_of(holdings.sets.begin(), holdings.sets.end(),
                [&](const PieceSet& set) { return set.version == job.version && !set.held.empty(); }))
            (host->second == state.options.dataCentre ? sameDataCentre : otherDataCentres).push_back(ip);
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
    const auto host = state.fleet.dataCentres.find(source.ip);
    return host == state.fleet.dataCentres.end() || host->second != state.options.dataCentre;
}

} // namespace hickory
