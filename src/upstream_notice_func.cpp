#include "upstream_notice_func.h"

#include "cold_start_func.h"
#include "digest_func.h"
#include "home_region_func.h"
#include "table/upstream_notice_limits.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    std::uint32_t sharingEntries(const RelayState& state) { return std::max(1U, state.highestEntryCount); }

    /// @return requests beyond a limit that all entries together may send at once
    double fleetBurst(double requestsPerSecond) { return limitBurst + limitBurstPerRate * requestsPerSecond; }

    /// Each entry that shares a limit may send one request at any time, so only so many can.
    std::uint32_t entriesThatShare(const RelayState& state, double requestsPerSecond)
    {
        const auto most = static_cast<std::uint32_t>(std::max(1.0, std::floor(fleetBurst(requestsPerSecond))));
        return std::min(sharingEntries(state), most);
    }

} // namespace

UpstreamProcessId upstreamProcessId(const UpstreamId& upstream, std::int64_t processStartedAt)
{
    return { stableHash("process/" + std::to_string(processStartedAt), upstream.value) };
}

std::string upstreamName(const RelayState& state, UpstreamProcessId process)
{
    for (const auto& [id, view] : state.upstreams)
        if (view.process == process)
            return id.value;
    return "unlisted";
}

const UpstreamStanding* findStanding(const RelayState& state, const RelayUpstream& view)
{
    const auto found = state.standings.find(view.process);
    return found == state.standings.end() ? nullptr : &found->second;
}

Milliseconds pausedUntil(const RelayState& state, const RelayUpstream& view)
{
    const auto found = state.pauses.find(view.entry.address);
    return found == state.pauses.end() || found->second.service != view.entry.service ? Milliseconds {}
                                                                                      : found->second.until;
}

std::optional<SharedLimit> namedLimit(
    const RelayState& state, const UpstreamStanding& standing, UpstreamProcessId process)
{
    if (!standing.requestsPerSecond)
        return std::nullopt;
    const double limit = *standing.requestsPerSecond;
    const std::uint32_t sharing = entriesThatShare(state, limit);
    const std::uint64_t turn = (state.entryPosition + process.value) % std::max(1U, state.entryCount);
    return SharedLimit { .requestsPerSecond = limit,
        .sharers = sharing,
        .sharesHere = turn < sharing,
        .most = std::max(1.0, fleetBurst(limit) / sharing) };
}

bool maySendBefore(const RelayState& state, const RelayUpstream& view, Milliseconds latest)
{
    if (pausedUntil(state, view) >= latest)
        return false;
    // A cold upstream may have warmed up by then.
    if (const std::optional<SharedLimit> cold = coldLimit(state, view, latest); cold && shareOf(*cold) == 0)
        return false;
    const UpstreamStanding* standing = findStanding(state, view);
    if (!standing)
        return true;
    const std::optional<SharedLimit> limit = namedLimit(state, *standing, view.process);
    return !standing->leavesSince && (!limit || shareOf(*limit) > 0);
}

bool maySendNow(const RelayState& state, const RelayUpstream& view, Milliseconds now)
{
    if (now < pausedUntil(state, view) || isHeldByCold(state, view, now))
        return false;
    const UpstreamStanding* standing = findStanding(state, view);
    const std::optional<SharedLimit> limit = standing ? namedLimit(state, *standing, view.process) : std::nullopt;
    return !limit || allowanceAt(*limit, standing->allowance, now) >= 1;
}

std::optional<Milliseconds> firstPauseEnd(
    const RelayState& state, const ServiceId& service, const AllowedRegions& allowed, Milliseconds now)
{
    std::optional<Milliseconds> first;
    for (const auto& [id, view] : state.upstreams) {
        const Milliseconds until = pausedUntil(state, view);
        if (view.listed && view.entry.service == service && until > now
            && mayRunIn(state, allowed, view.entry.dataCentre))
            first = std::min(first.value_or(until), until);
    }
    return first;
}

std::optional<double> limitedRate(
    const RelayState& state, const ServiceId& service, const AllowedRegions& allowed, Milliseconds now)
{
    double rate = 0;
    bool any = false;
    for (const auto& [id, view] : state.upstreams) {
        if (!view.listed || view.entry.leaving || view.entry.service != service
            || !mayRunIn(state, allowed, view.entry.dataCentre))
            continue;
        const UpstreamStanding* standing = findStanding(state, view);
        if (standing && standing->leavesSince)
            continue;
        const std::optional<SharedLimit> named = standing ? namedLimit(state, *standing, view.process) : std::nullopt;
        const std::optional<SharedLimit> cold = coldLimit(state, view, now);
        if (!named && !cold)
            return std::nullopt;
        any = true;
        rate += !cold ? shareOf(*named) : !named ? shareOf(*cold) : std::min(shareOf(*named), shareOf(*cold));
    }
    return any ? std::optional(rate) : std::nullopt;
}

std::vector<UpstreamNoticeReport> upstreamNotices(const RelayState& state, bool whole, Milliseconds now)
{
    std::vector<UpstreamNoticeReport> reports;
    for (const auto& [process, standing] : state.standings)
        if (whole || now - standing.changedAt < noticeNewsPeriod)
            reports.push_back({ .process = process,
                .requestsPerSecond = standing.requestsPerSecond,
                .age = now - standing.limitSaidAt,
                .leaving = standing.leavesSince.has_value() });
    std::stable_sort(reports.begin(), reports.end(),
        [](const UpstreamNoticeReport& left, const UpstreamNoticeReport& right) { return left.age < right.age; });
    reports.resize(std::min(reports.size(), maxNoticesInBeacon));
    return reports;
}

} // namespace hickory
