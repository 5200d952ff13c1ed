#include "upstream_view_health_cmd.h"

#include "request_log_func.h"
#include "upstream_view_cmd.h"

#include <algorithm>
#include <vector>

namespace hickory {

namespace {

    /// Weights of the newest sample in the smoothed error rate and latency.
    constexpr double errorSmoothing = 0.2;
    constexpr double latencySmoothing = 0.2;
    /// An upstream is ejected when at least this share of attempts fails, counted over at least so many attempts.
    constexpr double errorLimit = 0.5;
    constexpr std::uint32_t minOutcomes = 5;
    /// A latency outlier takes at least this multiple of the median and this much longer.
    constexpr double latencyFactor = 3;
    constexpr double latencyMarginMs = 200;
    constexpr std::uint32_t minLatencies = 10;
    constexpr Milliseconds outlierPeriod { 1000 };
    /// First ejection; doubled with each further one.
    constexpr Milliseconds ejectionMin { 5000 };
    constexpr Milliseconds ejectionMax { 60000 };
    /// Share of a service's ready upstreams that may be ejected at once.
    constexpr double maxEjectedShare = 0.34;
    /// Sound attempts in a row after which earlier ejections are forgotten.
    constexpr std::uint32_t soundOutcomes = 50;

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

    void eject(EntryState& state, UpstreamView& view, const char* reason, EntryEffects& effects)
    {
        if (view.ejectedUntil > state.now || !mayEject(state, view.status.service))
            return;
        const std::uint32_t doublings = std::min(view.ejections++, 4U);
        const Milliseconds time = std::min(ejectionMax, ejectionMin * (std::int64_t { 1 } << doublings));
        view.ejectedUntil = state.now + time;
        view.slowStart = true;
        view.outcomes = 0;
        view.latencies = 0;
        markPoolStale(state, view.status.service);
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "eject",
            .fields = { { "host", view.host.value }, { "service", view.status.service.value }, { "reason", reason },
                { "error_rate", std::to_string(view.errorRate) }, { "latency_ms", std::to_string(view.latencyMs) },
                { "for_ms", std::to_string(time.value) } } });
        countMetric(effects, "ejections_total",
            "service=\"" + view.status.service.value + "\",reason=\"" + std::string(reason) + "\"");
    }

    void ejectSlow(EntryState& state, const ServiceId& service, EntryEffects& effects)
    {
        std::vector<double> latencies;
        for (const UpstreamView& view : state.requests.views.views)
            if (!view.host.empty() && view.status.service == service && view.latencies >= minLatencies)
                latencies.push_back(view.latencyMs);
        if (latencies.size() < 3)
            return;
        const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
        std::nth_element(latencies.begin(), middle, latencies.end());
        const double limit = std::max(*middle * latencyFactor, *middle + latencyMarginMs);
        for (UpstreamView& view : state.requests.views.views)
            if (!view.host.empty() && view.status.service == service && view.latencies >= minLatencies
                && view.latencyMs > limit)
                eject(state, view, "latency", effects);
    }

} // namespace

void noteAttemptEnd(EntryState& state, UpstreamView& view, bool failed, EntryEffects& effects)
{
    ++view.outcomes;
    view.errorRate += errorSmoothing * ((failed ? 1.0 : 0.0) - view.errorRate);
    if (failed && view.outcomes >= minOutcomes && view.errorRate >= errorLimit)
        eject(state, view, "errors", effects);
    if (view.outcomes >= soundOutcomes && view.errorRate < errorLimit / 10)
        view.ejections = 0;
}

void noteFirstPart(UpstreamView& view, Milliseconds latency)
{
    const auto value = static_cast<double>(latency.value);
    view.latencyMs = view.latencies == 0 ? value : view.latencyMs + latencySmoothing * (value - view.latencyMs);
    ++view.latencies;
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
    all.nextOutlierCheck = state.now + outlierPeriod;
    for (const auto& [service, pool] : state.requests.pools)
        ejectSlow(state, service, effects);
}

} // namespace hickory
