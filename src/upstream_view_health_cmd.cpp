#include "upstream_view_health_cmd.h"

#include "request_log_func.h"
#include "upstream_view_cmd.h"

#include <algorithm>
#include <vector>

namespace hickory {

namespace {

    /// Weight of the newest attempt in the smoothed error rate.
    constexpr double errorSmoothing = 0.2;
    /// Weight of the newest sample in the smoothed latency.
    constexpr double latencySmoothing = 0.2;
    /// An upstream is ejected when its smoothed error rate reaches this share of attempts.
    constexpr double maxErrorRate = 0.5;
    /// Attempts that must have ended before an upstream is ejected for its error rate.
    constexpr std::uint32_t minEndedAttempts = 5;
    /// An upstream is a latency outlier only if its latency is above this multiple of its service's median.
    constexpr double outlierFactor = 3;
    /// An upstream is a latency outlier only if its latency is above its service's median by this time, so that small
    /// differences between fast upstreams do not count.
    constexpr double outlierMarginMs = 200;
    /// Samples that an upstream needs before its latency is compared.
    constexpr std::uint32_t minLatencySamples = 10;
    /// Time between two searches for latency outliers.
    constexpr Milliseconds outlierCheckInterval { 1000 };
    /// Duration of the first ejection; doubled with each further one.
    constexpr Milliseconds minEjectionTime { 5000 };
    /// Longest duration of an ejection.
    constexpr Milliseconds maxEjectionTime { 60000 };
    /// Share of a service's ready upstreams that may be ejected at the same time.
    constexpr double maxEjectedShare = 0.34;
    /// Ended attempts after which, at an error rate below a tenth of maxErrorRate, earlier ejections are forgotten.
    constexpr std::uint32_t ejectionResetAttempts = 50;

    /// @return true when one more upstream of the service may be ejected
    bool mayEject(const EntryState& state, const ServiceId& service)
    {
        std::uint32_t ready = 0;
        std::uint32_t ejected = 0;
        for (const UpstreamView& view : state.requests.views.views) {
            if (view.host.empty() || !view.connected || !view.status.ready || view.status.service != service)
                continue;
            ++ready;
            ejected += view.ejectedUntil > state.now ? 1 : 0;
        }
        return ejected + 1 <= static_cast<std::uint32_t>(maxEjectedShare * ready);
    }

    /// Ejects an upstream unless it is ejected already or too many of its service are.
    /// @param reason "errors" or "latency", for the log and the metrics
    void eject(EntryState& state, UpstreamView& view, const char* reason, EntryEffects& effects)
    {
        if (view.ejectedUntil > state.now || !mayEject(state, view.status.service))
            return;
        const std::uint32_t doublings = std::min(view.ejections++, 4U);
        const Milliseconds time = std::min(maxEjectionTime, minEjectionTime * (std::int64_t { 1 } << doublings));
        view.ejectedUntil = state.now + time;
        view.slowStart = true;
        view.endedAttempts = 0;
        view.latencySamples = 0;
        markPoolStale(state, view.status.service);
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "eject",
            .fields = { { "host", view.host.value }, { "service", view.status.service.value }, { "reason", reason },
                { "error_rate", std::to_string(view.errorRate) }, { "latency_ms", std::to_string(view.latencyMs) },
                { "for_ms", std::to_string(time.value) } } });
        countMetric(effects, "ejections_total",
            "service=\"" + view.status.service.value + "\",reason=\"" + std::string(reason) + "\"");
    }

    /// Ejects the latency outliers of a service. A median needs the latencies of at least three upstreams.
    void ejectLatencyOutliers(EntryState& state, const ServiceId& service, EntryEffects& effects)
    {
        std::vector<double> latencies;
        for (const UpstreamView& view : state.requests.views.views)
            if (!view.host.empty() && view.status.service == service && view.latencySamples >= minLatencySamples)
                latencies.push_back(view.latencyMs);
        if (latencies.size() < 3)
            return;
        const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
        std::nth_element(latencies.begin(), middle, latencies.end());
        const double limit = std::max(*middle * outlierFactor, *middle + outlierMarginMs);
        for (UpstreamView& view : state.requests.views.views)
            if (!view.host.empty() && view.status.service == service && view.latencySamples >= minLatencySamples
                && view.latencyMs > limit)
                eject(state, view, "latency", effects);
    }

} // namespace

void recordAttemptEnd(EntryState& state, UpstreamView& view, bool failed, EntryEffects& effects)
{
    ++view.endedAttempts;
    view.errorRate += errorSmoothing * ((failed ? 1.0 : 0.0) - view.errorRate);
    if (failed && view.endedAttempts >= minEndedAttempts && view.errorRate >= maxErrorRate)
        eject(state, view, "errors", effects);
    if (view.endedAttempts >= ejectionResetAttempts && view.errorRate < maxErrorRate / 10)
        view.ejections = 0;
}

void recordFirstPart(UpstreamView& view, Milliseconds latency)
{
    const auto value = static_cast<double>(latency.value);
    view.latencyMs = view.latencySamples == 0 ? value : view.latencyMs + latencySmoothing * (value - view.latencyMs);
    ++view.latencySamples;
}

void tickHealth(EntryState& state, EntryEffects& effects)
{
    UpstreamViews& all = state.requests.views;
    for (UpstreamView& view : all.views) {
        if (view.host.empty() || view.ejectedUntil == Milliseconds {} || view.ejectedUntil > state.now)
            continue;
        view.ejectedUntil = {};
        view.errorRate = 0;
        markPoolStale(state, view.status.service);
        effects.emplace_back(LogLine { .event = "ejection-ended", .fields = { { "host", view.host.value } } });
    }
    if (all.nextOutlierCheck > state.now)
        return;
    all.nextOutlierCheck = state.now + outlierCheckInterval;
    for (const auto& [service, pool] : state.requests.pools)
        ejectLatencyOutliers(state, service, effects);
}

} // namespace hickory
