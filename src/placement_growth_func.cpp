#include "placement_growth_func.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    /// Tokens of a request before any was seen: a mid-call answer with its prompt.
    constexpr double firstTokensPerRequest = 256;
    constexpr double costSmoothing = 0.1;
    /// The mean is learned only while most requests are in slots, where the agents count them.
    constexpr double learnBelowUse = 0.9;
    constexpr std::uint32_t learnFromRequests = 3;
    /// Demand above this share of the slots asks for more replicas.
    constexpr double highUse = 0.8;
    /// Replicas are given back only when the rest would be used less than this; the gap to highUse is the hysteresis.
    constexpr double lowUse = 0.5;
    /// A backlog this old is no passing burst.
    constexpr Milliseconds backlogTimeout { 1000 };
    constexpr Milliseconds idleTimeout { 60000 };
    /// The same while another service waits for a host: long enough for the gap between two status reports.
    constexpr Milliseconds contendedIdleTimeout { 3000 };
    /// After the first replica is given back, the others follow at this interval while the idleness lasts.
    constexpr Milliseconds shrinkInterval { 10000 };

    void learnCost(GrowthState& growth, const ServiceLoad& load)
    {
        const std::uint32_t requests = load.running + load.queued;
        if (requests < learnFromRequests || load.running > learnBelowUse * load.ready * load.concurrency)
            return;
        const double seen = static_cast<double>(load.demandTokens) / requests;
        growth.tokensPerRequest = growth.tokensPerRequest == 0
            ? seen
            : growth.tokensPerRequest * (1 - costSmoothing) + seen * costSmoothing;
    }

    /// @return replicas with which demand takes `use` of the slots
    std::uint32_t replicasFor(const GrowthState& growth, const ServiceLoad& load, double use)
    {
        const double cost = growth.tokensPerRequest > 0 ? growth.tokensPerRequest : firstTokensPerRequest;
        const double slots = static_cast<double>(load.demandTokens) / cost;
        const double needed = slots / (std::max(1U, load.concurrency) * use);
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
        // Replicas that were asked for but do not serve yet get time to do so before more are asked for.
        if (now - growth.backlogSince < backlogTimeout || growth.count > load.replicas)
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
    learnCost(growth, load);
    const std::uint32_t needed = replicasFor(growth, load, highUse);
    const std::uint32_t spared = replicasFor(growth, load, lowUse);
    const bool full = load.ready > 0 && load.queued > 0 && load.running >= load.ready * load.concurrency;
    if (growth.count < load.maximum && (needed > growth.count || (full && policy != GrowthPolicy::Proportional))) {
        grow(growth, policy, load, needed, now);
    } else {
        growth.backlogSince = { 0 };
        growth.step = 1;
        if (spared < growth.count && growth.count > load.minimum)
            shrink(growth, load.wantedElsewhere, now);
        else
            growth.idleSince = { 0 };
    }
    growth.count = std::clamp(growth.count, load.minimum, load.maximum);
    return growth.count;
}

} // namespace hickory
