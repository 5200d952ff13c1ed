#include "stage_pace_func.h"

#include "digest_func.h"
#include "stage_cmd.h"
#include "table/relay_loop_limits.h"
#include "table/rollout_pace_limits.h"
#include "table/stage_limits.h"

#include <algorithm>
#include <string>

namespace hickory {

namespace {

    constexpr std::int64_t percent = 100;
    /// Part of the bound in which no load may begin.
    constexpr Milliseconds reservedTime = weightsMargin + maxLoadTime + loadNewsTime;

    /// @return time that the origin's link needs for some pieces of a version
    /// @pre the bandwidth is known
    Milliseconds originTime(const StageState& state, const StageJob& job, std::size_t pieces)
    {
        constexpr double bitsPerByte = 8.0;
        constexpr double kilobitsPerMegabit = 1000.0;
        const double bits = static_cast<double>(pieces) * job.pieceBytes * bitsPerByte;
        return { static_cast<std::int64_t>(bits / (state.originMbps * kilobitsPerMegabit)) };
    }

    /// Place of a host in the order of loads.
    struct HostOrder {
        std::int64_t before { 0 }; ///< hosts of the service that come before it
        std::int64_t hosts { 1 }; ///< hosts of the service, this one included
        std::int64_t beforeHere { 0 }; ///< those of its data centre that come before it
    };

    /// Orders the hosts of each data centre pseudo-randomly, differently for each version, and interleaves the data
    /// centres in proportion to their sizes. All agents compute the same order.
    HostOrder orderHosts(const StageState& state, WeightsVersion version)
    {
        const std::string key = "turn-" + std::to_string(version.value);
        std::map<DataCentreId, std::vector<std::pair<std::uint64_t, std::string>>> dataCentres;
        dataCentres[state.options.dataCentre].emplace_back(stableHash(key, state.options.ip), state.options.ip);
        for (const WeightsPeer& peer : state.peers)
            if (peer.ip != state.options.ip)
                dataCentres[peer.dataCentre].emplace_back(stableHash(key, peer.ip), peer.ip);
        // Share of a data centre's hosts that come before a host; data centres are offset against each other.
        std::vector<std::pair<double, std::string>> shares;
        HostOrder order;
        std::size_t number = 0;
        for (auto& [dataCentre, hosts] : dataCentres) {
            std::sort(hosts.begin(), hosts.end());
            const double offset = static_cast<double>(++number) / static_cast<double>(dataCentres.size() + 1);
            for (std::size_t rank = 0; rank < hosts.size(); ++rank) {
                shares.emplace_back(
                    (static_cast<double>(rank) + offset) / static_cast<double>(hosts.size()), hosts[rank].second);
                if (hosts[rank].second == state.options.ip)
                    order.beforeHere = static_cast<std::int64_t>(rank);
            }
        }
        std::sort(shares.begin(), shares.end());
        const auto own = std::find_if(
            shares.begin(), shares.end(), [&](const auto& share) { return share.second == state.options.ip; });
        order.before = own - shares.begin();
        order.hosts = static_cast<std::int64_t>(shares.size());
        return order;
    }

} // namespace

bool isPaced(const StageState& state, const StageJob& job)
{
    // A fleet view of an entry that knows another bandwidth, or none, must not change the schedule halfway.
    if (job.paced)
        return *job.paced;
    if (state.originMbps <= 0 || job.pieces.empty() || job.pieceBytes == 0)
        return false;
    const Milliseconds allowed = state.options.maxWeightsDelay;
    const Milliseconds left = allowed - reservedTime - originTime(state, job, job.pieces.size()) - pieceExchangeTime;
    return left >= allowed * loadSpreadPercent / percent;
}

Milliseconds originFreeAt(const StageState& state, const StageJob& job)
{
    const StageJob& first = state.jobs.front();
    if (first.version >= job.version || state.originMbps <= 0 || !isPaced(state, first))
        return {};
    return first.knownSince + originTime(state, first, first.pieces.size());
}

Milliseconds safeLoadEnd(const StageState& state, const StageJob& job)
{
    return boundBegin(job) + state.options.maxWeightsDelay - reservedTime;
}

LoadTurn makeLoadTurn(const StageState& state, const StageJob& job, Milliseconds now)
{
    const HostOrder order = orderHosts(state, job.version);
    LoadTurn turn {
        .before = order.before, .hosts = order.hosts, .beforeHere = order.beforeHere, .end = safeLoadEnd(state, job)
    };
    Milliseconds begin = now;
    // Hosts that have loaded the version before leave the rest of its time to those that skip it. Where that would
    // leave too little for this version, both are loaded at the same time.
    if (job.previousEnd > now && turn.end - job.previousEnd >= (turn.end - now) / 2)
        begin = job.previousEnd;
    const Milliseconds fixedSpread = state.options.maxWeightsDelay * loadSpreadPercent / percent;
    if (turn.end - now < fixedSpread * minSchedulePercent / percent) {
        turn.at = std::max(now, std::min(boundBegin(job) + loadOrderDelay(state, job.version), turn.end));
        return turn;
    }
    // With few hosts it is enough that they load one after the other.
    const Milliseconds length = std::min(turn.end - begin, maxLoadTime * order.hosts);
    turn.at = begin + length * order.before / order.hosts;
    return turn;
}

bool mayLoadWhileIdle(const StageState& state, const StageJob& job, Milliseconds now)
{
    if (!job.turn || !state.report || state.report->running + state.report->waiting > 0)
        return false;
    const auto here = static_cast<std::int64_t>(std::max<std::size_t>(state.fleet.here.size(), 1));
    const std::int64_t groups = std::min(idleLoadGroups, here);
    const std::int64_t part = (now - job.declaredSince).value / idleLoadTime.value;
    return part % groups == job.turn->beforeHere % groups;
}

bool maySkipFirst(const StageState& state, Milliseconds now)
{
    const StageJob& next = state.jobs.back();
    if (next.pieces.empty() || state.originMbps <= 0)
        return false;
    const std::size_t held = countStep(next, PieceStep::Held) + countStep(next, PieceStep::Staged);
    const std::size_t missing = next.pieces.size() - held;
    if (held * percent < next.pieces.size() * pacedSkipHeldPercent)
        return false;
    const Milliseconds arrival = missing == 0 ? Milliseconds {} : originTime(state, next, missing) + lastPiecesTime;
    return now + arrival + stagingTime <= safeLoadEnd(state, state.jobs.front());
}

void inheritBound(StageJob& job, const StageJob& skipped)
{
    job.boundFrom = std::min(job.boundFrom, skipped.boundFrom);
    if (!job.ordered)
        job.ordered = skipped.ordered;
}

Milliseconds boundBegin(const StageJob& job)
{
    return job.ordered ? std::min(job.boundFrom, job.ordered->boundFrom) : job.boundFrom;
}

void inheritBoundUntilHeld(StageJob& job, const StageJob& first)
{
    job.ordered = { .version = first.version, .boundFrom = boundBegin(first) };
    job.turn.reset();
}

void confirmOrdered(StageJob& job)
{
    job.ordered.reset();
    job.turn.reset();
}

} // namespace hickory
