#include "upstream_notice_cmd.h"

#include "cold_start_cmd.h"
#include "table/cold_start_limits.h"
#include "table/upstream_notice_limits.h"
#include "upstream_load_func.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace hickory {

namespace {

    std::string limitText(const std::optional<double>& requestsPerSecond)
    {
        if (!requestsPerSecond)
            return "none";
        std::ostringstream text;
        text << *requestsPerSecond;
        return text.str();
    }

    /// @return the standing of a process, added if there is room or an older one can be dropped
    UpstreamStanding& findOrAddStanding(RelayState& state, UpstreamProcessId process, Milliseconds saidAt)
    {
        const auto [found, added] = state.standings.try_emplace(process);
        if (added)
            found->second.limitSaidAt = saidAt;
        if (added && state.standings.size() > maxStandings) {
            auto oldest = state.standings.end();
            for (auto item = state.standings.begin(); item != state.standings.end(); ++item)
                if (item != found
                    && (oldest == state.standings.end() || item->second.limitSaidAt < oldest->second.limitSaidAt))
                    oldest = item;
            state.standings.erase(oldest);
        }
        return found->second;
    }

    MetricSample noticeMetric(const std::string& kind, const std::string& source)
    {
        return { .name = "upstream_notices_total",
            .labels = "kind=\"" + kind + "\",source=\"" + (source == "answer" ? "answer" : "peer") + "\"" };
    }

    /// @param source for the log: "answer", or host of the entry that told it
    void setLimit(RelayState& state, UpstreamProcessId process, const std::optional<double>& limit, Milliseconds saidAt,
        const std::string& source, Milliseconds now, RelayEffects& effects)
    {
        if (!limit && !state.standings.contains(process))
            return;
        UpstreamStanding& standing = findOrAddStanding(state, process, saidAt);
        if (saidAt < standing.limitSaidAt)
            return;
        standing.limitSaidAt = saidAt;
        if (standing.requestsPerSecond == limit)
            return;
        // The allowance grows from nothing: what was sent before the limit was known is on its way.
        const bool isFirst = !standing.requestsPerSecond;
        standing.allowance
            = { .requests = isFirst || !limit ? 0 : std::min(standing.allowance.requests, 1.0), .refilledAt = now };
        standing.changedAt = now;
        LogLine line { .event = "upstream-limit",
            .fields = { { "upstream", upstreamName(state, process) }, { "requests_per_second", limitText(limit) },
                { "before", limitText(standing.requestsPerSecond) }, { "source", source },
                { "entries", std::to_string(state.highestEntryCount) } } };
        standing.requestsPerSecond = limit;
        if (const std::optional<SharedLimit> shared = namedLimit(state, standing, process))
            line.fields.emplace_back("share", limitText(shareOf(*shared)));
        effects.emplace_back(std::move(line));
        effects.emplace_back(noticeMetric("limit", source));
    }

    /// @param source as in setLimit()
    void setLeaving(RelayState& state, UpstreamProcessId process, Milliseconds saidAt, const std::string& source,
        Milliseconds now, RelayEffects& effects)
    {
        UpstreamStanding& standing = findOrAddStanding(state, process, saidAt);
        if (standing.leavesSince)
            return;
        standing.leavesSince = saidAt;
        standing.changedAt = now;
        effects.emplace_back(LogLine { .event = "upstream-leaves",
            .fields = { { "upstream", upstreamName(state, process) }, { "source", source } } });
        effects.emplace_back(noticeMetric("leaving", source));
    }

} // namespace

void recordNotice(
    RelayState& state, RelayUpstream& view, const UpstreamNotice& notice, Milliseconds now, RelayEffects& effects)
{
    if (notice.coldLeft)
        applyColdStatement(state, view,
            { .left = *notice.coldLeft, .madeAfter = now - coldRowMaxAge, .cause = ColdCause::Answer }, now, effects);
    setLimit(state, view.process, notice.requestsPerSecond, now, "answer", now, effects);
    if (notice.leaving)
        setLeaving(state, view.process, now, "answer", now, effects);
    if (notice.pause.value <= 0)
        return;
    std::erase_if(state.pauses, [&](const auto& item) { return item.second.until <= now; });
    state.pauses[view.entry.address] = { .service = view.entry.service,
        .until = std::max(pausedUntil(state, view), now + std::min(notice.pause, maxPause) + clockStep) };
    effects.emplace_back(LogLine { .event = "upstream-pauses",
        .fields = { { "upstream", view.entry.id.value }, { "for_ms", std::to_string(notice.pause.value) },
            { "under_way", std::to_string(view.unbegun) } } });
    effects.emplace_back(noticeMetric("pause", "answer"));
}

void applyNotices(RelayState& state, const UpstreamNoticesReceived& event, Milliseconds now, RelayEffects& effects)
{
    for (const UpstreamNoticeReport& report : event.reports) {
        const Milliseconds saidAt = now - report.age;
        setLimit(state, report.process, report.requestsPerSecond, saidAt, event.peer.value, now, effects);
        if (report.leaving)
            setLeaving(state, report.process, saidAt, event.peer.value, now, effects);
    }
}

void countSend(RelayState& state, RelayUpstream& view, Milliseconds now)
{
    countColdSend(state, view, now);
    const auto found = state.standings.find(view.process);
    if (found == state.standings.end())
        return;
    if (const std::optional<SharedLimit> limit = namedLimit(state, found->second, view.process))
        spendAllowance(*limit, found->second.allowance, 1, now);
}

void applyEntryCount(RelayState& state, const EntryCountUpdated& event, Milliseconds now)
{
    std::map<UpstreamProcessId, double> sharesBefore;
    for (auto& [process, standing] : state.standings) {
        const std::optional<SharedLimit> limit = namedLimit(state, standing, process);
        if (!limit)
            continue;
        // The time until now counts at the share that this entry had.
        spendAllowance(*limit, standing.allowance, 0, now);
        sharesBefore[process] = shareOf(*limit);
    }
    state.entryCount = event.entryCount;
    state.entryPosition = event.position;
    state.anyOtherReady = event.anyOtherReady;
    recordRingPosition(state.ringPosition, event.positionHere, now);
    if (event.entryCount >= state.highestEntryCount || now - state.highestEntryCountAt >= entryCountMemory) {
        state.highestEntryCount = event.entryCount;
        state.highestEntryCountAt = now;
    }
    // The entries that had this share until now may just have used it up.
    for (const auto& [process, before] : sharesBefore) {
        UpstreamStanding& standing = state.standings.at(process);
        if (before == 0 && shareOf(*namedLimit(state, standing, process)) > 0)
            standing.allowance.requests = 0;
    }
    applyColdEntries(state, event, now);
}

void forgetStandings(RelayState& state, Milliseconds now)
{
    std::set<UpstreamProcessId> listed;
    for (const auto& [id, view] : state.upstreams)
        listed.insert(view.process);
    std::erase_if(state.standings, [&](const auto& item) {
        return now - item.second.limitSaidAt > standingMaxAge && !listed.contains(item.first);
    });
}

} // namespace hickory
