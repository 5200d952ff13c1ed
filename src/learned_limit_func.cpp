#include "learned_limit_func.h"

#include "table/learned_limits.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    /// Own samples before an entry may be the one with most of them: those of others arrive in beacons, a moment later.
    constexpr double minMainWeight = 10.0;
    constexpr double minTime = 0.01; ///< shorter times are taken as this, so that they have a logarithm

    double decay(Milliseconds passed, Milliseconds memory)
    {
        return std::exp(-static_cast<double>(std::max(passed, Milliseconds {}).value) / memory.value);
    }

    /// @return service time at a load relative to that up to the knee
    double growth(double load, double knee)
    {
        const double over = load > knee && knee > 0 ? load / knee : 1.0;
        return over * over;
    }

    double floorOf(std::uint32_t slots) { return std::max(1.0, static_cast<double>(slots / limitFloorDivisor)); }

    double mostOf(std::uint32_t slots) { return static_cast<double>(std::max(slots, 1U)); }

    /// @return knee before the first sample
    double startOf(const LearnedLimit& learned)
    {
        return std::max(1.0, std::ceil((learned.slowStart ? startShare : 1.0) * mostOf(learned.slots)));
    }

    void decayTo(LearnedLimit& learned, Milliseconds now)
    {
        learned.own.weight *= decay(now - learned.decayedAt, kneeMemory);
        learned.decayedAt = now;
    }

    /// @return weighted sum of squares by which the samples differ from the curve with a knee
    double misfit(const LearnedLimit& learned, const std::array<double, maxLearnedLoad + 1>& weights, double knee)
    {
        double weight = 0;
        double sum = 0;
        double squares = 0;
        for (std::size_t load = 1; load <= maxLearnedLoad; ++load) {
            const double share = weights.at(load);
            if (share <= 0)
                continue;
            const LoadSamples& samples = learned.loads.at(load);
            const double rest = samples.logTime - std::log(growth(samples.load, knee));
            weight += share;
            sum += share * rest;
            squares += share * rest * rest;
        }
        return weight > 0 ? squares - sum * sum / weight : 0;
    }

    /// @return requests by which a trial differs from the limit
    double trialStep(const LearnedLimit& learned, double limit)
    {
        return std::max(1.0, std::floor((learned.grown ? trialShare : startTrialShare) * limit));
    }

    /// @return knee that is assumed unless samples contradict: in an upward trial the upstream has the room
    double assumedKnee(const LearnedLimit& learned)
    {
        const LimitTrial& trial = learned.trial;
        if (trial.judged || !trial.upward || trial.samples < minTrialSamples)
            return learned.own.knee;
        return std::clamp(trial.limit + trialStep(learned, trial.limit), learned.own.knee, mostOf(learned.slots));
    }

    double fittedKnee(const LearnedLimit& learned, Milliseconds now)
    {
        const double most = mostOf(learned.slots);
        std::array<double, maxLearnedLoad + 1> weights {};
        for (std::size_t load = 1; load <= maxLearnedLoad; ++load) {
            const LoadSamples& samples = learned.loads.at(load);
            if (samples.weight > 0)
                weights.at(load) = samples.weight * decay(now - samples.at, loadMemory);
        }
        const double assumed = assumedKnee(learned);
        double best = assumed;
        double bestCost = misfit(learned, weights, best);
        for (double knee = floorOf(learned.slots); knee <= most; knee += kneeStep) {
            const double distance = std::log(knee / assumed);
            const double cost = misfit(learned, weights, knee) + kneePriorSamples * distance * distance;
            if (cost < bestCost) {
                best = knee;
                bestCost = cost;
            }
        }
        return best;
    }

    void updateLevel(LearnedLimit& learned, double time, double load, Milliseconds now)
    {
        const double level = time / growth(load, learned.own.knee);
        if (learned.own.level == 0) {
            learned.own.level = level;
            return;
        }
        const bool isStated = now - learned.slowdownAt < estimateMaxAge;
        const double share
            = std::min(maxSampleShare, 1 - decay(now - learned.own.at, isStated ? statedLevelMemory : levelMemory));
        learned.own.level += share * (level - learned.own.level);
    }

    void addSample(LoadSamples& samples, double load, double logTime, Milliseconds now)
    {
        const double old = 1 - decay(now - samples.at, kneeMemory);
        samples.weight = std::min(samples.weight * decay(now - samples.at, loadMemory) + 1, maxLoadSamples);
        const double share = std::max(old, 1 / samples.weight);
        samples.load += share * (load - samples.load);
        samples.logTime += share * (logTime - samples.logTime);
        samples.at = now;
    }

    std::uint32_t tried(const LearnedLimit& learned, std::uint32_t limit, std::uint32_t slots, Milliseconds now)
    {
        if (now >= learned.trial.until)
            return limit;
        const double step = trialStep(learned, limit);
        return static_cast<std::uint32_t>(
            std::clamp(learned.trial.upward ? limit + step : limit - step, floorOf(slots), mostOf(slots)));
    }

    /// @return whether this entry has enough samples, and most of all entries
    bool isMain(const LearnedLimit& learned)
    {
        return learned.own.weight >= minMainWeight && learned.own.weight >= learned.allWeight / 2;
    }

    /// Judges the last trial once its samples have arrived.
    void judgeTrial(LearnedLimit& learned, Milliseconds now)
    {
        LimitTrial& trial = learned.trial;
        if (trial.judged || now < trial.until)
            return;
        const double triedKnee = fittedKnee(learned, now);
        trial.judged = true;
        const bool hadSamples = trial.samples >= minTrialSamples;
        // At first the limit grows in whole steps, unless most samples are those of other entries.
        if (trial.upward && hadSamples && !learned.grown && isMain(learned))
            learned.own.knee = std::max(learned.own.knee, triedKnee);
        // The knee went at least half of the way: the upstream has more room.
        // Few answers do not refute that the upstream has room: an entry that sends it little must not hold it down.
        const bool isSparse = trial.upward && !hadSamples && learned.own.weight < sparseWeight;
        if (isSparse)
            learned.own.knee = std::min(learned.own.knee
                    + trialStep(learned, trial.limit) * learned.own.weight
                        / std::max(learned.allWeight, learned.own.weight),
                mostOf(learned.slots));
        const bool showedRoom = trial.upward && learned.own.knee >= trial.limit + trialStep(learned, trial.limit) / 2;
        learned.trialAt = now
            + (showedRoom          ? nextTrialDelay
                    : trial.upward ? trialInterval
                                   : trialInterval * downwardIntervalFactor);
        learned.lastUpward = trial.upward && !showedRoom;
        learned.grown
            = learned.grown || (trial.upward && hadSamples && !showedRoom) || learned.own.knee >= mostOf(learned.slots);
    }

    /// Begins a trial if the limit is reached and the last one is over. Upward and downward ones alternate, but for
    /// those that showed room.
    void beginTrial(LearnedLimit& learned, std::uint32_t load, Milliseconds now)
    {
        const double limit = limitOf(learned.own, learned.slots);
        LimitTrial& trial = learned.trial;
        if (!trial.judged || now < learned.trialAt || load < limit)
            return;
        const Milliseconds length { static_cast<std::int64_t>(trialServiceTimes * learned.own.level) };
        trial = { .upward = !learned.lastUpward && limit < mostOf(learned.slots),
            .judged = false,
            .limit = limit,
            .until = now + std::clamp(length, minTrial, maxTrial) };
    }

} // namespace

double advanceLoad(LoadIntegral& integral, double load, Milliseconds now)
{
    integral.sum += integral.load * static_cast<double>(std::max(now - integral.at, Milliseconds {}).value);
    integral.load = load;
    integral.at = now;
    return integral.sum;
}

double noteLoad(LearnedUpstream& upstream, std::uint32_t own, std::uint32_t others, Milliseconds now)
{
    const double share = 1 - decay(now - upstream.integral.at, othersMemory);
    upstream.others += share * (others - upstream.others);
    return advanceLoad(upstream.integral, own + upstream.others, now);
}

std::uint32_t steadyLoad(const LearnedUpstream& upstream, std::uint32_t own)
{
    return own + static_cast<std::uint32_t>(std::lround(upstream.others));
}

void recordService(LearnedLimit& learned, const ServiceSample& sample)
{
    if (learned.own.knee == 0)
        learned.own.knee = startOf(learned);
    decayTo(learned, sample.at);
    const double load = std::clamp<double>(sample.meanLoad > 0 ? sample.meanLoad : sample.load, 1, maxLearnedLoad);
    if (sample.rejected) {
        learned.own.knee = std::clamp(
            std::min(learned.own.knee, load * rejectedLoadShare), floorOf(learned.slots), mostOf(learned.slots));
        learned.trial.until = std::min(learned.trial.until, sample.at);
        learned.trialAt = sample.at + trialInterval;
        return;
    }
    if (sample.slowdown) {
        learned.slowdown = std::max(*sample.slowdown, minTime);
        learned.slowdownAt = sample.at;
    }
    const double time = std::max(sample.time / slowdownAt(learned, sample.at), minTime);
    updateLevel(learned, time, load, sample.at);
    addSample(learned.loads.at(static_cast<std::size_t>(std::lround(load))), load, std::log(time), sample.at);
    learned.own.weight += 1;
    learned.own.at = sample.at;
    if (load > learned.trial.limit + minTrialExcess)
        ++learned.trial.samples;
    const double before = learned.own.knee;
    learned.own.knee += kneeShare * (fittedKnee(learned, sample.at) - before);
    judgeTrial(learned, sample.at);
    beginTrial(learned, sample.load, sample.at);
}

LearnedEstimate mergeEstimates(const LearnedEstimate& own, const std::vector<LearnedEstimate>& others, Milliseconds now)
{
    LearnedEstimate merged;
    std::vector<std::pair<double, double>> levels;
    double levelWeight = 0;
    const auto add = [&](const LearnedEstimate& estimate, double preference) {
        if (estimate.weight <= 0 || estimate.level <= 0)
            return;
        // The level changes faster than the knee, so older values of it count less.
        const double fresh = preference * estimate.weight * decay(now - estimate.at, levelMemory);
        const double weight = estimate.weight * decay(now - estimate.at, kneeMemory);
        levels.emplace_back(estimate.level, fresh);
        levelWeight += fresh;
        merged.knee += weight * estimate.knee;
        merged.weight += weight;
        merged.at = std::max(merged.at, estimate.at);
    };
    add(own, ownLevelPreference);
    for (const LearnedEstimate& estimate : others)
        add(estimate, 1.0);
    if (merged.weight <= 0)
        return {};
    merged.knee /= merged.weight;
    std::sort(levels.begin(), levels.end());
    double passed = 0;
    for (const auto& [level, weight] : levels) {
        merged.level = level;
        passed += weight;
        if (passed >= levelWeight / 2)
            break;
    }
    return merged;
}

std::uint32_t limitOf(const LearnedEstimate& estimate, std::uint32_t slots)
{
    if (estimate.knee <= 0)
        return std::max(slots, 1U);
    return static_cast<std::uint32_t>(std::clamp(std::round(estimate.knee), floorOf(slots), mostOf(slots)));
}

std::uint32_t limitOf(const LearnedLimit& learned, std::uint32_t slots, Milliseconds now)
{
    const std::uint32_t limit = limitOf(learned.own, slots);
    return tried(learned, limit, slots, now);
}

void recordPeerEstimate(LearnedUpstream& upstream, const PeerEstimate& told, Milliseconds now)
{
    std::vector<PeerEstimate>& peers = upstream.peers;
    std::erase_if(peers, [&](const PeerEstimate& known) { return now - known.estimate.at > peerEstimateMaxAge; });
    const auto known
        = std::find_if(peers.begin(), peers.end(), [&](const PeerEstimate& other) { return other.peer == told.peer; });
    if (known != peers.end()) {
        if (told.estimate.at > known->estimate.at)
            known->estimate = told.estimate;
    } else if (peers.size() < maxPeerEstimates) {
        peers.push_back(told);
    } else {
        const auto oldest = std::min_element(peers.begin(), peers.end(),
            [](const PeerEstimate& left, const PeerEstimate& right) { return left.estimate.at < right.estimate.at; });
        if (oldest->estimate.at < told.estimate.at)
            *oldest = told;
    }
    updateMerged(upstream, now);
}

void updateMerged(LearnedUpstream& upstream, Milliseconds now)
{
    std::vector<LearnedEstimate> others;
    for (const PeerEstimate& peer : upstream.peers)
        if (now - peer.estimate.at <= peerEstimateMaxAge)
            others.push_back(peer.estimate);
    const LearnedEstimate merged = mergeEstimates(upstream.learned.own, others, now);
    if (merged.weight <= 0)
        return;
    upstream.merged = merged;
    upstream.learned.allWeight = merged.weight;
    upstream.learned.own.knee = merged.knee;
    if (upstream.limit == 0
        || std::abs(merged.knee - upstream.limit) >= std::max(limitHysteresis, limitHysteresisShare * upstream.limit))
        upstream.limit = limitOf(merged, upstream.learned.slots);
}

std::uint32_t limitOf(const LearnedUpstream& upstream, std::uint32_t slots, Milliseconds now)
{
    const std::uint32_t limit
        = std::min(upstream.limit > 0 ? upstream.limit : static_cast<std::uint32_t>(startOf(upstream.learned)),
            std::max(slots, 1U));
    return tried(upstream.learned, limit, slots, now);
}

double expectedService(const LearnedUpstream& upstream, std::uint32_t slots, double load, double usual,
    Milliseconds retryDelay, Milliseconds now)
{
    return slowdownAt(upstream.learned, now) * expectedService(upstream.merged, slots, load, usual, retryDelay, now);
}

double slowdownAt(const LearnedLimit& learned, Milliseconds now)
{
    const double age = static_cast<double>((now - learned.slowdownAt).value) / statedSlowdownMaxAge.value;
    return age >= 1 ? 1.0 : 1.0 + (learned.slowdown - 1.0) * (1.0 - std::max(age, 0.0));
}

double expectedService(const LearnedEstimate& estimate, std::uint32_t slots, double load, double usual,
    Milliseconds retryDelay, Milliseconds now)
{
    const double age = static_cast<double>((now - estimate.at - estimateFreshAge - retryDelay).value);
    const double faded = std::clamp(age / (estimateMaxAge - estimateFreshAge).value, 0.0, 1.0);
    const bool isKnown = estimate.level > 0;
    // An estimate that is lower than the usual one needs no trial: requests go there anyway.
    const double level = isKnown ? estimate.level + faded * std::min(usual - estimate.level, 0.0) : usual;
    const double knee = isKnown ? estimate.knee : mostOf(slots);
    return level * (growth(load, knee) + loadSlope * load / mostOf(slots));
}

double usualLevel(const std::vector<LearnedEstimate>& estimates, Milliseconds now)
{
    double least = 0;
    for (const LearnedEstimate& known : estimates)
        if (known.level > 0 && now - known.at <= estimateMaxAge && (least == 0 || known.level < least))
            least = known.level;
    return least;
}

double newsValue(const LearnedEstimate& estimate, const LearnedEstimate& last, Milliseconds toldAt, Milliseconds now)
{
    if (estimate.weight <= 0 || estimate.at <= last.at)
        return 0;
    if (last.weight <= 0)
        return 1;
    const double change = std::max(std::abs(estimate.level / last.level - 1), std::abs(estimate.knee / last.knee - 1));
    if (change >= toldChange)
        return change;
    return now - toldAt >= toldInterval ? toldChange / 2 : 0;
}

} // namespace hickory
