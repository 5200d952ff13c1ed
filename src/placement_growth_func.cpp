#include "placement_growth_func.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    /// Tokens per request before any were observed: about a prompt and half of its answer.
    constexpr double defaultTokensPerRequest = 256;
    /// Weight of a new sample in the moving average of tokens per request.
    constexpr double tokensPerRequestSmoothing = 0.1;
    /// Samples are taken only up to this share of used slots: above it, requests queue at the entries and are missing
    /// from the agents' counts.
    constexpr double maxLearningUtilisation = 0.9;
    /// Fewer requests than this give no usable sample.
    constexpr std::uint32_t minLearningRequests = 3;
    /// Replicas are added when demand exceeds this share of the slots.
    constexpr double growUtilisation = 0.8;
    /// Replicas are released only if the remaining ones stay below this share; the gap to growUtilisation is the
    /// hysteresis.
    constexpr double shrinkUtilisation = 0.5;
    /// A backlog has to last this long before a replica is added, so that short bursts are ignored.
    constexpr Milliseconds minBacklogAge { 1000 };
    /// Time for which fewer replicas must suffice before one is released.
    constexpr Milliseconds idleTimeout { 60000 };
    /// Replaces idleTimeout while another service waits for a host. It spans the gap between two status reports, which
    /// is the longer of 2 s and 50 ms per host, in fleets of up to 60 hosts.
    constexpr Milliseconds contendedIdleTimeout { 3000 };
    /// Interval of further releases while the service stays idle.
    constexpr Milliseconds shrinkInterval { 10000 };

    void learnTokensPerRequest(GrowthState& growth, const ServiceLoad& load)
    {
        const std::uint32_t requests = load.running + load.queued;
        if (requests < minLearningRequests || load.running > maxLearningUtilisation * load.ready * load.concurrency)
            return;
        const double sample = static_cast<double>(load.demandTokens) / requests;
        growth.tokensPerRequest = growth.tokensPerRequest == 0
            ? sample
            : growth.tokensPerRequest * (1 - tokensPerRequestSmoothing) + sample * tokensPerRequestSmoothing;
    }

    /// @return replicas for which demand uses the share `utilisation` of the slots, at most the maximum
    std::uint32_t replicasFor(const GrowthState& growth, const ServiceLoad& load, double utilisation)
    {
        const double requestTokens = growth.tokensPerRequest > 0 ? growth.tokensPerRequest : defaultTokensPerRequest;
        const double slots = static_cast<double>(load.demandTokens) / requestTokens;
        const double needed = slots / (std::max(1U, load.concurrency) * utilisation);
        return static_cast<std::uint32_t>(std::min(std::ceil(needed), static_cast<double>(load.maximum)));
    }

    void grow(GrowthState& growth, GrowthPolicy policy, const ServiceLoad& load, std::uint32_t needed, Milliseconds now)
    {
        growth.idleSince = { 0 };
        if (growth.backlogSince.value == 0)
            growth.backlogSince = now;
        if (policy == GrowthPolicy::Proportional) {
            growth.count = std::max(growth.count, needed);
            return;
        }
        // No further replica is requested while the row still has fewer hosts than requested.
        if (now - growth.backlogSince < minBacklogAge || growth.count > load.replicas)
            return;
        growth.count += policy == GrowthPolicy::Doubling ? growth.step : 1;
        growth.step *= 2;
        growth.backlogSince = now;
    }

    void shrink(GrowthState& growth, bool contended, Milliseconds now)
    {
        if (growth.idleSince.value == 0)
            growth.idleSince = now;
        if (now - growth.idleSince < (contended ? contendedIdleTimeout : idleTimeout))
            return;
        --growth.count;
        growth.idleSince = contended ? growth.idleSince : now - idleTimeout + shrinkInterval;
    }

} // namespace

std::uint32_t decideGrowth(GrowthState& growth, GrowthPolicy policy, const ServiceLoad& load, Milliseconds now)
{
    if (growth.count == 0)
        growth.count = load.replicas;
    growth.count = std::clamp(growth.count, load.minimum, load.maximum);
    learnTokensPerRequest(growth, load);
    const std::uint32_t needed = replicasFor(growth, load, growUtilisation);
    const std::uint32_t sufficient = replicasFor(growth, load, shrinkUtilisation);
    const bool saturated = load.ready > 0 && load.queued > 0 && load.running >= load.ready * load.concurrency;
    if (growth.count < load.maximum && (needed > growth.count || (saturated && policy != GrowthPolicy::Proportional))) {
        grow(growth, policy, load, needed, now);
    } else {
        growth.backlogSince = { 0 };
        growth.step = 1;
        if (sufficient < growth.count && growth.count > load.minimum)
            shrink(growth, load.hostsContended, now);
        else
            growth.idleSince = { 0 };
    }
    growth.count = std::clamp(growth.count, load.minimum, load.maximum);
    return growth.count;
}

} // namespace hickory
