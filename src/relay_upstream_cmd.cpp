#include "cold_start_cmd.h"
#include "home_region_cmd.h"
#include "relay_cmd.h"
#include "relay_place_func.h"
#include "table/relay_limits.h"
#include "upstream_load_func.h"
#include "upstream_notice_func.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace hickory {

namespace {

    /// Clears the health of an upstream whose process restarted under the same id.
    void resetUpstreamHealth(RelayUpstream& view)
    {
        view.report.reset();
        view.statedLoad.reset();
        view.failures = 0;
        view.onProbation = false;
        view.standsStill = false;
        view.errorRate = 0;
        view.ejectedUntil = {};
        view.fullUntil = {};
        view.orderPendingUntil = {};
        view.clearing = false;
        view.cold.reset();
    }

    /// Puts an upstream that is listed again back on probation, if it failed before it left the list and its process
    /// did not restart.
    void restoreDelistedHealth(RelayState& state, RelayUpstream& view, const UpstreamEntry& entry)
    {
        const auto known = state.delisted.find(entry.id);
        if (known == state.delisted.end())
            return;
        if (known->second.processStartedAt == entry.processStartedAt) {
            view.failures = known->second.failures;
            view.onProbation = true;
            view.standsStill = known->second.standsStill;
        }
        state.delisted.erase(known);
    }

    LogLine upstreamLogLine(const char* event, const UpstreamEntry& entry)
    {
        return { .event = event,
            .fields
            = { { "upstream", entry.id.value }, { "service", entry.service.value }, { "address", entry.address },
                { "place", entry.dataCentre.value }, { "leaving", entry.leaving ? "true" : "false" } } };
    }

} // namespace

void applyUpstreams(RelayState& state, const UpstreamsUpdated& event, Milliseconds now, RelayEffects& effects)
{
    std::set<UpstreamId> listed;
    for (const UpstreamEntry& entry : event.entries) {
        listed.insert(entry.id);
        const auto [found, added] = state.upstreams.try_emplace(entry.id);
        RelayUpstream& view = found->second;
        const bool restarted = !added && view.entry.processStartedAt != entry.processStartedAt;
        const bool relisted = !added && !view.listed;
        if (added) {
            view.key = loadKey(entry.id);
            restoreDelistedHealth(state, view, entry);
            effects.emplace_back(upstreamLogLine("upstream-listed", entry));
        } else {
            if (restarted) {
                resetUpstreamHealth(view);
                recordUpstreamEnd(state, entry.id);
            }
            if (view.entry.leaving != entry.leaving || restarted)
                effects.emplace_back(upstreamLogLine("upstream-changed", entry));
        }
        view.entry = entry;
        view.process = upstreamProcessId(entry.id, entry.processStartedAt);
        view.listed = true;
        if (restarted && entry.coldLeft.value == 0)
            assumeCold(state, view, ColdCause::Restarted, now, effects);
        else if (added || relisted)
            beginListedCold(state, view, event.writtenAfter, now, effects);
        else if (restarted || !event.rewritten || event.rewritten->contains(entry.id))
            applyColdRow(state, view, event.writtenAfter, now, effects);
    }
    state.upstreamsListed = state.upstreamsListed || !event.entries.empty();
    for (auto view = state.upstreams.begin(); view != state.upstreams.end();) {
        if (listed.contains(view->first)) {
            ++view;
            continue;
        }
        if (view->second.listed) {
            effects.emplace_back(upstreamLogLine("upstream-gone", view->second.entry));
            recordUpstreamEnd(state, view->first);
            keepDelistedCold(state, view->second, now);
        }
        if (view->second.listed && view->second.onProbation)
            state.delisted[view->first] = { .processStartedAt = view->second.entry.processStartedAt,
                .failures = view->second.failures,
                .standsStill = view->second.standsStill,
                .delistedAt = now };
        view->second.listed = false;
        view = view->second.sent == 0 ? state.upstreams.erase(view) : std::next(view);
    }
    std::erase_if(state.delisted, [&](const auto& item) { return now - item.second.delistedAt > delistedMaxAge; });
    numberUpstreams(state);
    refuseShutOut(state, now, effects);
    dispatchAllWaiting(state, now, effects);
}

void applyEngineReports(RelayState& state, const EngineReportsReceived& event, Milliseconds now, RelayEffects& effects)
{
    std::unordered_map<std::string_view, const EngineReported*> byAddress;
    for (const EngineReported& reported : event.reports)
        byAddress[reported.address] = &reported;
    for (auto& [id, view] : state.upstreams) {
        const auto found = view.listed ? byAddress.find(view.entry.address) : byAddress.end();
        if (found == byAddress.end())
            continue;
        const EngineReported& reported = *found->second;
        // The report is about an earlier or later process than the listed one.
        if (view.entry.processStartedAt != 0 && reported.report.processStartedAt != 0
            && view.entry.processStartedAt != reported.report.processStartedAt) {
            if (reported.report.processStartedAt > view.entry.processStartedAt) {
                recordUpstreamEnd(state, id);
                assumeCold(state, view, ColdCause::Restarted, now, effects);
            }
            continue;
        }
        view.report = reported.report;
        view.reportedAt = now - reported.age;
        view.orderPendingUntil = reported.orderPending ? now - reported.age + orderPendingTimeout : Milliseconds {};
        view.clearing = reported.clearing;
    }
    clearEngines(state, now, effects);
    dispatchAllWaiting(state, now, effects);
}

void recordUpstreamFailure(
    RelayState& state, const UpstreamId& upstream, const char* what, Milliseconds now, RelayEffects& effects)
{
    const auto found = state.upstreams.find(upstream);
    if (found == state.upstreams.end())
        return;
    RelayUpstream& view = found->second;
    constexpr double failureWeight = 0.2;
    view.errorRate += failureWeight * (1.0 - view.errorRate);
    // Requests in flight together fail together and count as one failure.
    if (now < view.ejectedUntil)
        return;
    constexpr std::uint32_t maxDoublings = 4;
    const std::int64_t pause = minEjection.value << std::min(view.failures, maxDoublings);
    view.ejectedUntil = now + std::min(Milliseconds { pause }, maxEjection);
    ++view.failures;
    view.onProbation = true;
    effects.emplace_back(LogLine { .level = LogLevel::Warning,
        .event = "upstream-ejected",
        .fields = { { "upstream", upstream.value }, { "address", view.entry.address }, { "reason", what },
            { "failures", std::to_string(view.failures) },
            { "for_ms", std::to_string((view.ejectedUntil - now).value) } } });
    effects.emplace_back(MetricSample { .name = "ejections_total", .labels = "reason=\"" + std::string(what) + "\"" });
}

void probeStillUpstreams(RelayState& state, Milliseconds now, RelayEffects& effects)
{
    for (auto& [id, view] : state.upstreams) {
        const bool engine = !view.entry.models.empty();
        const bool isSilent = engine && isStalled(view, engine, now) && now - view.probedAt > engineStallTimeout;
        const bool isDue = view.standsStill ? view.listed && now >= view.ejectedUntil : isSilent;
        if (!isDue || view.probing)
            continue;
        view.probing = true;
        effects.emplace_back(ProbeUpstream { .upstream = id,
            .address = view.entry.address,
            .statusPath = statusPathOf(state, view.entry.service),
            .mustAnswer = true,
            .timeout = stillProbeTimeout });
    }
}

void applyStillProbe(RelayState& state, const UpstreamProbed& event, Milliseconds now, RelayEffects& effects)
{
    const auto found = state.upstreams.find(event.upstream);
    if (!event.mustAnswer || found == state.upstreams.end())
        return;
    RelayUpstream& view = found->second;
    view.probing = false;
    if (event.result == ProbeResult::Accepted)
        recordStatedLoad(state, view, event.notice.load, now);
    if (event.result != ProbeResult::Accepted) {
        // What it sent while it was asked is an answer as well.
        if (!view.standsStill && view.answeredAt >= event.startedAt)
            return;
        recordUpstreamFailure(state, event.upstream, "standing-still", now, effects);
        view.standsStill = true;
        cancelSilentSends(state, now, effects);
        return;
    }
    view.probedAt = now;
    if (!std::exchange(view.standsStill, false))
        return;
    if (!event.notice.coldLeft)
        assumeCold(state, view, ColdCause::Silence, now, effects);
    effects.emplace_back(LogLine { .event = "upstream-answers", .fields = { { "upstream", event.upstream.value } } });
    dispatchWaiting(state, view.entry.service, now, effects);
}

std::string statusPathOf(const RelayState& state, const ServiceId& service)
{
    if (!state.config)
        return {};
    const auto found = state.config->services.find(service);
    return found == state.config->services.end() ? std::string {} : found->second.statusPath;
}

void recordUpstreamResponse(RelayState& state, const UpstreamId& upstream, bool success)
{
    const auto found = state.upstreams.find(upstream);
    if (found == state.upstreams.end())
        return;
    constexpr double responseWeight = 0.05;
    found->second.errorRate += responseWeight * ((success ? 0.0 : 1.0) - found->second.errorRate);
    if (success)
        found->second.failures = 0;
}

} // namespace hickory
