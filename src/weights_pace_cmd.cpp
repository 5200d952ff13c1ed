#include "weights_pace_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr Milliseconds paceInterval { 500 };
    /// Live traffic counts as slowed down above this factor and margin over its latency without chunk traffic. The
    /// target is 1.2 for the urgent rank, so the pace must yield earlier.
    constexpr double latencyFactor = 1.1;
    constexpr double latencyMargin = 3;
    constexpr double baseSmoothing = 0.1;
    /// Chunks never stop altogether: a rollout must end even on a host that is busy for hours.
    constexpr std::uint64_t slowestShare = 16;
    constexpr double paceGrowth = 1.25;
    /// Streams that a host without a configured link rate is taken to run at its measured rate.
    constexpr double assumedStreams = 4;

    bool fetching(const WeightsState& weights)
    {
        return std::any_of(weights.downloads.begin(), weights.downloads.end(),
            [](const auto& entry) { return entry.second.manifest && !entry.second.whole && !entry.second.broken; });
    }

    /// @return pace without live traffic, 0 when nothing is known of the link
    double fullPace(const AgentState& state)
    {
        if (state.settings.linkRate.value > 0)
            return static_cast<double>(state.settings.linkRate.value) * state.settings.linkShare;
        return std::max(state.weights.outsideRate, state.weights.regionRate) * assumedStreams;
    }

} // namespace

void tickChunkPace(AgentState& state, AgentEffects& effects)
{
    WeightsState& weights = state.weights;
    if (state.now < weights.nextPace)
        return;
    weights.nextPace = state.now + paceInterval;
    const auto latency = static_cast<double>(state.published.latency.value);
    const double full = fullPace(state);
    if (full == 0)
        return;
    const bool moving = fetching(weights);
    if (!moving && latency > 0)
        weights.latencyBase
            = weights.latencyBase == 0 ? latency : weights.latencyBase * (1 - baseSmoothing) + latency * baseSmoothing;
    else if (latency > 0 && weights.latencyBase > 0)
        weights.latencyBase = std::min(weights.latencyBase, latency);
    const bool slowed
        = moving && weights.latencyBase > 0 && latency > weights.latencyBase * latencyFactor + latencyMargin;
    const double before = weights.paceInForce.value == 0 ? full : static_cast<double>(weights.paceInForce.value);
    const double wanted = slowed ? std::max(before / 2, full / slowestShare) : std::min(before * paceGrowth, full);
    const bool unlimited = state.settings.linkRate.value == 0 && wanted >= full;
    const Bytes pace { unlimited ? 0 : static_cast<std::uint64_t>(wanted) };
    if (pace == weights.paceInForce)
        return;
    if (slowed || weights.paceInForce.value == 0)
        effects.emplace_back(LogLine { .event = "chunk-pace",
            .fields = { { "bytes-per-s", std::to_string(pace.value) },
                { "reason", slowed ? "live-traffic-slower" : "link-share" },
                { "latency-ms", std::to_string(state.published.latency.value) },
                { "latency-base-ms", std::to_string(static_cast<std::int64_t>(weights.latencyBase)) } } });
    weights.paceInForce = pace;
    effects.emplace_back(SetChunkRate { .bytesPerSecond = pace });
}

} // namespace hickory
