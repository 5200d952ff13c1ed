#include "cold_start_cmd.h"

#include "digest_func.h"
#include "table/cold_start_limits.h"

#include <algorithm>
#include <sstream>

namespace hickory {

namespace {

    std::string numberText(double number)
    {
        std::ostringstream text;
        text << number;
        return text.str();
    }

    bool isCold(const RelayUpstream& view, Milliseconds now)
    {
        return view.cold && !view.cold->unconfirmed && now < view.cold->until;
    }

    /// Starts the cold time of an upstream that is not cold.
    void beginCold(RelayState& state, RelayUpstream& view, Milliseconds until, ColdCause cause, Milliseconds now,
        RelayEffects& effects)
    {
        view.cold = ColdStart { .since = now,
            .until = until,
            .sendsFrom = now + coldHold,
            .entriesBefore = countEntriesBefore(state, view.key),
            .allowance = { .requests = 0, .refilledAt = now } };
        LogLine line { .event = "upstream-cold",
            .fields = { { "upstream", view.entry.id.value }, { "service", view.entry.service.value },
                { "place", view.entry.dataCentre.value }, { "reason", coldCauseName(cause) },
                { "for_ms", std::to_string((until - now).value) }, { "under_way", std::to_string(view.sent) } } };
        if (const std::optional<SharedLimit> limit = coldLimit(state, view, now)) {
            line.fields.emplace_back("requests_per_second", numberText(limit->requestsPerSecond));
            line.fields.emplace_back("share", numberText(shareOf(*limit)));
            line.fields.emplace_back("entries", std::to_string(state.coldSharers.highestCount));
        }
        effects.emplace_back(std::move(line));
        effects.emplace_back(MetricSample { .name = "cold_starts_total",
            .labels = "service=\"" + view.entry.service.value + "\",reason=\"" + coldCauseName(cause) + "\"" });
    }

    /// Forgets entries that were not heard for coldEntryMemory, and notes whether most of them vanished together.
    /// @return how many others remain
    std::uint32_t forgetSilentSharers(ColdSharers& sharers, Milliseconds now)
    {
        const auto lost
            = std::erase_if(sharers.others, [&](const auto& other) { return now - other.second >= coldEntryMemory; });
        sharers.lostAt.insert(sharers.lostAt.end(), lost, now);
        while (!sharers.lostAt.empty() && now - sharers.lostAt.front() > coldEntryMemory)
            sharers.lostAt.pop_front();
        const auto left = static_cast<std::uint32_t>(sharers.others.size());
        const double all = sharers.highestCount;
        if (static_cast<double>(sharers.lostAt.size()) > coldCutOffPart * all)
            sharers.isCutOff = true;
        else if (sharers.isCutOff && left + 1 >= (1 - coldCutOffPart) * all) {
            sharers.isCutOff = false;
            sharers.highestCountAt = now;
        }
        return left;
    }

    /// Logs the end of a cold time, once.
    void recordWarm(RelayUpstream& view, Milliseconds warmUp, Milliseconds now, RelayEffects& effects)
    {
        if (std::exchange(view.cold->warming, true))
            return;
        effects.emplace_back(LogLine { .event = "upstream-warm",
            .fields = { { "upstream", view.entry.id.value }, { "service", view.entry.service.value },
                { "stated", view.cold->stated ? "true" : "false" },
                { "cold_ms", std::to_string((now - view.cold->since).value) },
                { "warm_up_ms", std::to_string(warmUp.value) } } });
    }

} // namespace

void assumeCold(RelayState& state, RelayUpstream& view, ColdCause cause, Milliseconds now, RelayEffects& effects)
{
    const RelayService* service = coldServiceOf(state, view.entry.service);
    if (!service || service->coldPeriod.value <= 0)
        return;
    const Milliseconds until = now + service->coldPeriod;
    if (!isCold(view, now)) {
        beginCold(state, view, until, cause, now, effects);
        return;
    }
    view.cold->since = now;
    view.cold->until = std::max(view.cold->until, until);
}

void assumeDataCentreCold(RelayState& state, const DataCentreId& dataCentre, Milliseconds now, RelayEffects& effects)
{
    for (auto& [id, view] : state.upstreams)
        if (view.listed && view.entry.dataCentre == dataCentre)
            assumeCold(state, view, ColdCause::Evacuation, now, effects);
    // One that is listed again must not pass for as warm as it was before.
    std::erase_if(state.delistedCold, [&](const auto& item) { return item.second.dataCentre == dataCentre; });
}

void applyColdStatement(
    RelayState& state, RelayUpstream& view, const ColdStatement& statement, Milliseconds now, RelayEffects& effects)
{
    // Before the first configuration it is not known whether the service has cold starts.
    if (state.config && !coldServiceOf(state, view.entry.service))
        return;
    if (statement.left.value > 0) {
        const Milliseconds until
            = now + statement.left + (statement.cause == ColdCause::Row ? coldRowLag : Milliseconds {});
        if (!isCold(view, now))
            beginCold(state, view, until, statement.cause, now, effects);
        else
            view.cold->until = statement.madeAfter < view.cold->since ? std::max(view.cold->until, until) : until;
        view.cold->stated = true;
        return;
    }
    if (!view.cold || statement.madeAfter < view.cold->since)
        return;
    if (view.cold->stated) {
        view.cold->until = std::min(view.cold->until, now);
        return;
    }
    if (!view.cold->unconfirmed)
        recordWarm(view, {}, now, effects);
    view.cold.reset();
}

void applyColdRow(RelayState& state, RelayUpstream& view, std::optional<Milliseconds> writtenAfter, Milliseconds now,
    RelayEffects& effects)
{
    applyColdStatement(state, view,
        { .left = view.entry.coldLeft,
            .madeAfter = writtenAfter ? *writtenAfter - coldRowLag : now - coldRowMaxAge,
            .cause = ColdCause::Row },
        now, effects);
}

void beginListedCold(RelayState& state, RelayUpstream& view, std::optional<Milliseconds> writtenAfter, Milliseconds now,
    RelayEffects& effects)
{
    const auto delisted = state.delistedCold.find(view.entry.id);
    if (delisted != state.delistedCold.end()) {
        const bool isSame = delisted->second.processStartedAt == view.entry.processStartedAt;
        const std::optional<ColdStart> cold = delisted->second.cold;
        state.delistedCold.erase(delisted);
        if (isSame) {
            view.cold = cold;
            if (view.cold)
                view.cold->entriesBefore = countEntriesBefore(state, view.key);
            applyColdRow(state, view, writtenAfter, now, effects);
            return;
        }
    }
    if (view.entry.coldLeft.value > 0)
        applyColdRow(state, view, writtenAfter, now, effects);
    else if (state.upstreamsListed)
        assumeCold(state, view, ColdCause::Listed, now, effects);
}

void keepDelistedCold(RelayState& state, const RelayUpstream& view, Milliseconds now)
{
    if (coldServiceOf(state, view.entry.service))
        state.delistedCold[view.entry.id] = { .processStartedAt = view.entry.processStartedAt,
            .cold = view.cold,
            .dataCentre = view.entry.dataCentre,
            .delistedAt = now };
}

void applyColdProbe(RelayState& state, const UpstreamProbed& event, Milliseconds now, RelayEffects& effects)
{
    const auto found = state.upstreams.find(event.upstream);
    if (found == state.upstreams.end() || !event.notice.coldLeft || event.result != ProbeResult::Accepted)
        return;
    applyColdStatement(state, found->second,
        { .left = *event.notice.coldLeft, .madeAfter = event.startedAt, .cause = ColdCause::Answer }, now, effects);
}

void countColdSend(const RelayState& state, RelayUpstream& view, Milliseconds now)
{
    if (const std::optional<SharedLimit> limit = coldLimit(state, view, now))
        spendAllowance(*limit, view.cold->allowance, 1, now);
}

void applyColdEntries(RelayState& state, const EntryCountUpdated& event, Milliseconds now)
{
    std::map<UpstreamId, bool> sharedBefore;
    for (auto& [id, view] : state.upstreams)
        if (const std::optional<SharedLimit> limit = coldLimit(state, view, now)) {
            // The time until now counts at the share that this entry had.
            spendAllowance(*limit, view.cold->allowance, 0, now);
            sharedBefore[id] = limit->sharesHere;
        }
    ColdSharers& sharers = state.coldSharers;
    for (const HostId& host : event.others)
        sharers.others[stableHash("cold", host.value)] = now;
    const std::uint32_t count = std::max(event.entryCount, forgetSilentSharers(sharers, now) + 1);
    // Not all entries that started together are heard at once.
    if (count > sharers.highestCount && now < sharers.settlesUntil)
        sharers.mayShareFrom = std::max(sharers.mayShareFrom, std::min(now + coldSettleTime, sharers.settlesUntil));
    const bool mayForget = !sharers.isCutOff && now - sharers.highestCountAt >= coldCountMemory;
    if (count >= sharers.highestCount || mayForget) {
        sharers.highestCount = count;
        sharers.highestCountAt = now;
    }
    for (auto& [id, view] : state.upstreams) {
        if (!view.cold)
            continue;
        view.cold->entriesBefore = countEntriesBefore(state, view.key);
        const auto before = sharedBefore.find(id);
        const std::optional<SharedLimit> limit = coldLimit(state, view, now);
        if (before == sharedBefore.end() || before->second || !limit || !limit->sharesHere)
            continue;
        // Whoever had this share until now may just have used it.
        view.cold->allowance = { .requests = 0, .refilledAt = now };
        view.cold->sendsFrom = std::max(view.cold->sendsFrom, now + coldHold);
    }
}

bool noteEventTime(RelayState& state, Milliseconds now)
{
    ColdSharers& sharers = state.coldSharers;
    const std::optional<Milliseconds> before = std::exchange(sharers.lastEventAt, now);
    const Milliseconds gap = before ? now - *before : Milliseconds {};
    if (before && gap < standstillGap)
        return false;
    sharers.mayShareFrom = now + coldSettleTime;
    sharers.settlesUntil = now + coldMaxSettleTime;
    // It could not hear the others meanwhile.
    for (auto& [host, heardAt] : sharers.others)
        heardAt += gap;
    sharers.highestCountAt += gap;
    // Any upstream may have turned cold meanwhile.
    for (auto& [id, view] : state.upstreams)
        if (!view.cold && coldServiceOf(state, view.entry.service))
            view.cold = ColdStart { .since = now,
                .until = sharers.mayShareFrom,
                .unconfirmed = true,
                .sendsFrom = now,
                .entriesBefore = countEntriesBefore(state, view.key),
                .allowance = { .requests = 1, .refilledAt = now } };
    return before.has_value();
}

void updateColdStarts(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    std::erase_if(state.delistedCold, [&](const auto& item) { return now - item.second.delistedAt > coldMemory; });
    std::uint32_t count = 0;
    for (auto& [id, view] : state.upstreams) {
        if (!view.cold)
            continue;
        if (view.cold->unconfirmed) {
            if (now >= view.cold->until)
                view.cold.reset();
            continue;
        }
        const RelayService* service = coldServiceOf(state, view.entry.service);
        const Milliseconds warmUp = service ? service->coldPeriod : Milliseconds {};
        if (now >= view.cold->until)
            recordWarm(view, warmUp, now, effects);
        else if (view.listed)
            ++count;
        if (now >= view.cold->until + warmUp)
            view.cold.reset();
    }
    if (std::exchange(state.coldCount, count) != count)
        effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Gauge,
            .name = "cold_upstreams",
            .labels = {},
            .value = static_cast<double>(count) });
}

void countHeldByCold(const RelayState& state, const RelayRequest& request, Milliseconds now, RelayEffects& effects)
{
    if (anyHeldByCold(state, request.service, now))
        effects.emplace_back(
            MetricSample { .name = "cold_held_total", .labels = "service=\"" + request.service.value + "\"" });
}

} // namespace hickory
