#include "weights_pace_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr Milliseconds rateUpdateInterval { 500 };
    /// Live traffic counts as slowed down when its latency exceeds its baseline times this factor plus latencyMargin.
    /// The latency of the urgent rank may rise by a factor of 1.2 at most, so the rate must be lowered before that.
    constexpr double latencyFactor = 1.1;
    constexpr double latencyMargin = 3; ///< ms
    /// Weight of the newest sample in the latency baseline.
    constexpr double baselineSmoothing = 0.1;
    /// The rate is never lowered below the full rate divided by this, so that a rollout also ends on a host that is
    /// busy for hours.
    constexpr std::uint64_t maxSlowdown = 16;
    /// Growth of the limit in each interval without slowed live traffic.
    constexpr double rateGrowthFactor = 1.25;
    /// Without a configured link rate, the full rate is estimated as this many streams at the measured rate of one
    /// fetch.
    constexpr double assumedStreams = 4;

    bool hasActiveDownload(const WeightsState& weights)
    {
        return std::any_of(weights.downloads.begin(), weights.downloads.end(),
            [](const auto& entry) { return entry.second.manifest && !entry.second.whole && !entry.second.unusable; });
    }

    /// @return bytes a second without live traffic, 0 when neither a link rate is configured nor a rate was measured
    double fullRate(const AgentState& state)
    {
        if (state.settings.linkRate.value > 0)
            return static_cast<double>(state.settings.linkRate.value) * state.settings.linkShare;
        return std::max(state.weights.outsideRate, state.weights.regionRate) * assumedStreams;
    }

} // namespace

void tickChunkRate(AgentState& state, AgentEffects& effects)
{
    WeightsState& weights = state.weights;
    if (state.now < weights.nextRateUpdate)
        return;
    weights.nextRateUpdate = state.now + rateUpdateInterval;
    const auto latency = static_cast<double>(state.published.latency.value);
    const double full = fullRate(state);
    if (full == 0)
        return;
    const bool fetchingChunks = hasActiveDownload(weights);
    if (!fetchingChunks && latency > 0)
        weights.latencyBaseline = weights.latencyBaseline == 0
            ? latency
            : weights.latencyBaseline * (1 - baselineSmoothing) + latency * baselineSmoothing;
    else if (latency > 0 && weights.latencyBaseline > 0)
        weights.latencyBaseline = std::min(weights.latencyBaseline, latency);
    const bool slowed = fetchingChunks && weights.latencyBaseline > 0
        && latency > weights.latencyBaseline * latencyFactor + latencyMargin;
    const double currentRate
        = weights.chunkRateLimit.value == 0 ? full : static_cast<double>(weights.chunkRateLimit.value);
    const double newRate
        = slowed ? std::max(currentRate / 2, full / maxSlowdown) : std::min(currentRate * rateGrowthFactor, full);
    const bool unlimited = state.settings.linkRate.value == 0 && newRate >= full;
    const Bytes limit { unlimited ? 0 : static_cast<std::uint64_t>(newRate) };
    if (limit == weights.chunkRateLimit)
        return;
    if (slowed || weights.chunkRateLimit.value == 0)
        effects.emplace_back(LogLine { .event = "chunk-pace",
            .fields = { { "bytes-per-s", std::to_string(limit.value) },
                { "reason", slowed ? "live-traffic-slower" : "link-share" },
                { "latency-ms", std::to_string(state.published.latency.value) },
                { "latency-base-ms", std::to_string(static_cast<std::int64_t>(weights.latencyBaseline)) } } });
    weights.chunkRateLimit = limit;
    effects.emplace_back(SetChunkRate { .bytesPerSecond = limit });
}

} // namespace hickory
