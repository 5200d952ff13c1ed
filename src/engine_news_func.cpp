#include "engine_news_func.h"

#include "peer_state_type.h"
#include "table/relay_limits.h"

namespace hickory {

namespace {

    /// @return whether a report replaces the one known
    bool supersedes(const EngineReported& reported, const KnownEngine& known, Milliseconds now)
    {
        if (now - known.readAt > reportMaxAge)
            return true;
        // Agents of an older program count no reports.
        const bool counted = reported.order.sequence != 0;
        return counted ? reported.order > known.reported.order : reported.age <= now - known.readAt;
    }

    EngineReported withAge(const KnownEngine& known, Milliseconds now)
    {
        EngineReported reported = known.reported;
        reported.age = std::max(now - known.readAt, Milliseconds { 0 });
        return reported;
    }

} // namespace

std::vector<EngineReported> recordReports(
    EngineNews& news, const std::vector<EngineReported>& reports, bool fromAgent, Milliseconds now)
{
    std::vector<EngineReported> recorded;
    for (const EngineReported& reported : reports) {
        const auto [found, isNew] = news.engines.try_emplace(reported.address);
        KnownEngine& known = found->second;
        if (!isNew && !supersedes(reported, known, now))
            continue;
        const bool changed = isNew || changedBeyondLoad(known.reported, reported, news.slowdownVaries);
        known.reported = reported;
        known.reported.age = {};
        known.readAt = now - reported.age;
        known.changed = known.changed || changed;
        known.toRelay = known.toRelay || fromAgent;
        news.relayAtOnce = news.relayAtOnce || (fromAgent && changed);
        news.summarizeAtOnce = news.summarizeAtOnce || changed;
        recorded.push_back(reported);
    }
    return recorded;
}

std::vector<EngineReported> takeReportsToRelay(EngineNews& news, Milliseconds now)
{
    std::vector<EngineReported> reports;
    for (auto& [address, known] : news.engines) {
        if (known.toRelay)
            reports.push_back(withAge(known, now));
        known.toRelay = false;
    }
    news.relayAtOnce = false;
    return reports;
}

std::vector<EngineReported> takeReportsForSummary(EngineNews& news, bool full, Milliseconds now)
{
    std::vector<EngineReported> reports;
    for (auto& [address, known] : news.engines) {
        if (now - known.readAt < reportMaxAge && (full || known.changed))
            reports.push_back(withAge(known, now));
        known.changed = false;
    }
    news.summarizeAtOnce = false;
    return reports;
}

void removeOldReports(EngineNews& news, Milliseconds now)
{
    std::erase_if(news.engines, [&](const auto& item) { return now - item.second.readAt > reportMaxAge; });
}

} // namespace hickory
