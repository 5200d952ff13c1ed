#include "route_func.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    /// Age up to which a status report of the other entries' load has full weight: the usual interval between reports.
    constexpr double reportFullWeightMs = 1000;
    /// Further age at which the weight of a report has fallen to a half.
    constexpr double reportHalfWeightMs = 2000;
    /// Requests that may be queued at an agent, so that a freed slot is not idle for a round trip to the entry.
    constexpr double agentQueueAllowance = 1;
    /// Duration of the slow start of an upstream that returns to service.
    constexpr double slowStartMs = 5000;
    /// Share of its slots that an upstream is given when its slow start begins.
    constexpr double slowStartInitialShare = 0.2;
    /// Maximum upstreams with room that are examined for a request that is not permitted on all of them.
    constexpr std::size_t maxScannedUpstreams = 16;
    /// Maximum hosts on the hash ring that are tried for a prompt prefix.
    constexpr std::size_t maxRingProbes = 4;
    /// Load bound of a host on the ring, relative to the average of its tier (consistent hashing with bounded loads).
    constexpr double ringLoadBound = 1.25;
    /// Maximum queue depth, as a share of the slots, at which an upstream is chosen by prefix affinity. All entries
    /// prefer the same upstream for a prefix and learn of each other's requests late; with a higher limit its slots
    /// would fill up before they notice.
    constexpr double maxAffinityLoad = 0.6;

    /// @param reportWeight weight of the other entries' reported load, 0 to 1
    /// @return requests of a rank at an upstream: those of this entry and the weighted ones of the others
    double estimatedLoad(const UpstreamView& view, std::size_t rank, double reportWeight)
    {
        const double own = rank < view.own.size() ? view.own[rank] : 0;
        const double others = rank < view.others.size() ? view.others[rank] : 0;
        return own + others * reportWeight;
    }

    /// @return weight of the last status report of an upstream by its age, 0 to 1
    double reportWeightOf(const EntryState& state, const UpstreamView& view)
    {
        const double age = static_cast<double>((state.now - view.statusAt).value) - reportFullWeightMs;
        return 1.0 / (1.0 + std::max(0.0, age) / reportHalfWeightMs);
    }

    /// @return whole slots of a limit that the floor of a rank reserves; 1e-9 compensates for rounding errors
    double floorSlots(const Config& config, std::size_t rank, double limit)
    {
        return std::floor(config.ranks[rank].floor * limit + 1e-9);
    }

    /// @return concurrency limit that the upstream reported, or the configured one before its first report; at least 1
    double concurrencyLimit(const ServiceConfig& service, const UpstreamView& view)
    {
        return std::max<std::uint32_t>(1, view.status.limit > 0 ? view.status.limit : service.concurrency);
    }

    /// @return requests of all ranks, running and queued, in the last status report
    double reportedLoad(const UpstreamView& view)
    {
        double load = 0;
        for (const RankLoad& rank : view.status.ranks)
            load += rank.running + rank.queued;
        return load;
    }

    /// Selects an upstream for one request and collects the compared candidates for the log line.
    struct UpstreamSelector {
        EntryState& state; ///< its random generator advances
        const ServiceConfig& service; ///< configuration of the service
        const ServicePool& pool; ///< upstreams of the service
        const RouteQuery& query; ///< the request
        std::string candidates; ///< value of RouteChoice::candidates

        const UpstreamView& view(std::uint32_t index) const { return this->state.requests.views.views[index]; }

        /// @return queue depth for the request's rank relative to the available slots; lower is better
        double score(std::uint32_t index) const
        {
            return queueDepth(this->state, this->service, this->view(index), this->query.rank)
                / availableSlots(this->state, this->service, this->view(index));
        }

        Room room(std::uint32_t index) const { return this->view(index).rooms[this->query.rank.value].room; }

        /// @return true when the service has a candidate besides the given one, of the request's version if it is
        /// pinned
        bool hasOther(const UpstreamView& avoided) const
        {
            if (this->query.pinned.empty())
                return this->pool.upstreams.candidates > 1;
            const auto& views = this->state.requests.views.views;
            return std::any_of(views.begin(), views.end(), [&](const UpstreamView& view) {
                return view.host != avoided.host && view.connected && view.status.service == avoided.status.service
                    && view.status.version == this->query.pinned;
            });
        }

        /// @return true when the request may be dispatched to the upstream, provided that it has room
        bool permitted(std::uint32_t index) const
        {
            const UpstreamView& view = this->view(index);
            if (view.host == this->query.avoidHost && this->hasOther(view))
                return false;
            return !this->state.members.leavingNotices.contains(view.host)
                && permitsRequest(this->pool, view, this->query);
        }

        /// Appends "host:value", the value in hundredths, to the candidates.
        void addCandidate(std::uint32_t index, double value)
        {
            if (!this->candidates.empty())
                this->candidates += ',';
            this->candidates += this->view(index).host.value;
            this->candidates += ':';
            this->candidates += std::to_string(std::lround(value * 100));
        }

        std::size_t randomIndex(std::size_t count) { return static_cast<std::size_t>(this->state.random() % count); }

        std::optional<RouteChoice> makeChoice(std::uint32_t index, const char* reason)
        {
            return RouteChoice { .upstream = index, .reason = reason, .candidates = std::move(this->candidates) };
        }

        std::optional<RouteChoice> leastLoadedOfSample(const std::vector<std::uint32_t>& withRoom);
        std::optional<RouteChoice> twoChoices(const std::vector<std::uint32_t>& withRoom);
        std::optional<RouteChoice> byAffinity(std::size_t tier, Room room);
        std::optional<RouteChoice> randomCandidate();
        std::optional<RouteChoice> leastReported();
    };

    /// Chooses the best of a bounded number of consecutive upstreams from a random start. Used when random samples may
    /// hit upstreams that are not permitted.
    std::optional<RouteChoice> UpstreamSelector::leastLoadedOfSample(const std::vector<std::uint32_t>& withRoom)
    {
        const std::size_t start = this->randomIndex(withRoom.size());
        std::optional<std::uint32_t> best;
        double bestScore = 0;
        for (std::size_t step = 0; step < std::min(withRoom.size(), maxScannedUpstreams); ++step) {
            const std::uint32_t index = withRoom[(start + step) % withRoom.size()];
            if (!this->permitted(index))
                continue;
            const double score = this->score(index);
            if (!best || score < bestScore) {
                best = index;
                bestScore = score;
            }
        }
        if (!best)
            return std::nullopt;
        this->addCandidate(*best, bestScore);
        return this->makeChoice(*best, "only-permitted");
    }

    /// Chooses the better of two random upstreams (power of two choices).
    std::optional<RouteChoice> UpstreamSelector::twoChoices(const std::vector<std::uint32_t>& withRoom)
    {
        if (withRoom.empty())
            return std::nullopt;
        if (withRoom.size() == 1)
            return this->leastLoadedOfSample(withRoom);
        const std::size_t first = this->randomIndex(withRoom.size());
        std::size_t second = this->randomIndex(withRoom.size() - 1);
        second += second >= first ? 1 : 0;
        const bool firstPermitted = this->permitted(withRoom[first]);
        const bool secondPermitted = this->permitted(withRoom[second]);
        if (!firstPermitted && !secondPermitted)
            return withRoom.size() > 2 ? this->leastLoadedOfSample(withRoom) : std::nullopt;
        const double firstScore = this->score(withRoom[first]);
        const double secondScore = this->score(withRoom[second]);
        this->addCandidate(withRoom[first], firstScore);
        this->addCandidate(withRoom[second], secondScore);
        const bool takeFirst = firstPermitted && (!secondPermitted || firstScore <= secondScore);
        return this->makeChoice(takeFirst ? withRoom[first] : withRoom[second], "two-choices");
    }

    /// Consistent hashing with bounded loads: chooses the first host on the ring whose load is not far above the
    /// average.
    std::optional<RouteChoice> UpstreamSelector::byAffinity(std::size_t tier, Room room)
    {
        const std::vector<RingPoint>& ring = this->pool.upstreams.rings[tier];
        const auto members = static_cast<double>(this->pool.upstreams.tiers[tier].size());
        const double bound = std::ceil(ringLoadBound * (this->pool.upstreams.inFlight[tier] + 1) / members);
        auto point = std::lower_bound(ring.begin(), ring.end(), RingPoint { this->query.prefixHash, 0 });
        std::size_t hostsTried = 0;
        std::uint32_t candidate = ~0U;
        for (std::size_t step = 0; step < ring.size() && hostsTried < maxRingProbes; ++step, ++point) {
            if (point == ring.end())
                point = ring.begin();
            if (point->upstream == candidate)
                continue;
            candidate = point->upstream;
            ++hostsTried;
            const UpstreamView& view = this->view(candidate);
            this->addCandidate(candidate, this->score(candidate));
            const bool lightlyLoaded = view.ownTotal < bound && this->score(candidate) <= maxAffinityLoad;
            if (lightlyLoaded && this->room(candidate) == room && this->permitted(candidate))
                return this->makeChoice(candidate, hostsTried == 1 ? "affinity" : "affinity-next");
        }
        return std::nullopt;
    }

    /// Baseline: takes one random upstream, or none when it has no room.
    std::optional<RouteChoice> UpstreamSelector::randomCandidate()
    {
        const auto& tiers = this->pool.upstreams.tiers;
        std::size_t offset = this->randomIndex(this->pool.upstreams.candidates);
        for (const auto& tier : tiers) {
            if (offset >= tier.size()) {
                offset -= tier.size();
                continue;
            }
            this->addCandidate(tier[offset], this->score(tier[offset]));
            return this->room(tier[offset]) != Room::None && this->permitted(tier[offset])
                ? this->makeChoice(tier[offset], "random")
                : std::nullopt;
        }
        return std::nullopt;
    }

    /// Baseline: chooses the upstream with the lowest reported load.
    std::optional<RouteChoice> UpstreamSelector::leastReported()
    {
        std::optional<std::uint32_t> best;
        double bestLoad = 0;
        for (const auto& tier : this->pool.upstreams.tiers)
            for (const std::uint32_t index : tier) {
                const double load = reportedLoad(this->view(index));
                if (!permitsRequest(this->pool, this->view(index), this->query) || (best && load >= bestLoad)
                    || load >= availableSlots(this->state, this->service, this->view(index)) + agentQueueAllowance)
                    continue;
                best = index;
                bestLoad = load;
            }
        if (!best)
            return std::nullopt;
        this->addCandidate(*best, bestLoad);
        return this->makeChoice(*best, "least-reported");
    }

} // namespace

double queueDepth(const EntryState& state, const ServiceConfig& service, const UpstreamView& view, RankIndex rank)
{
    const Config& config = *state.config.config;
    const double reportWeight = reportWeightOf(state, view);
    const double limit = concurrencyLimit(service, view);
    const bool byRank = state.settings.queuePolicy != QueuePolicy::Fifo;
    double depth = 0;
    for (std::size_t other = 0; other < config.ranks.size(); ++other) {
        const double load = estimatedLoad(view, other, reportWeight);
        depth += byRank && other > rank.value ? std::min(load, floorSlots(config, other, limit)) : load;
    }
    return depth;
}

double availableSlots(const EntryState& state, const ServiceConfig& service, const UpstreamView& view)
{
    const double limit = concurrencyLimit(service, view);
    const auto age = static_cast<double>((state.now - view.eligibleSince).value);
    if (!view.slowStart || age >= slowStartMs)
        return limit;
    return std::max(1.0, limit * std::max(slowStartInitialShare, age / slowStartMs));
}

Room roomOf(const EntryState& state, const ServiceConfig& service, const UpstreamView& view, RankIndex rank)
{
    const double slots = availableSlots(state, service, view);
    const Config& config = *state.config.config;
    if (state.settings.queuePolicy != QueuePolicy::Fifo && rank.value < config.ranks.size()
        && estimatedLoad(view, rank.value, reportWeightOf(state, view)) < floorSlots(config, rank.value, slots))
        return Room::Free;
    const double depth = queueDepth(state, service, view, rank);
    if (depth < slots)
        return Room::Free;
    return depth < slots + agentQueueAllowance ? Room::Waiting : Room::None;
}

bool permitsRequest(const ServicePool& pool, const UpstreamView& view, const RouteQuery& query)
{
    if (!query.pinned.empty() && view.status.version != query.pinned)
        return false;
    if (!query.suspect)
        return true;
    const bool urgentThere = (!view.own.empty() && view.own[0] > 0) || (!view.others.empty() && view.others[0] > 0);
    return view.suspects == 0 && (pool.upstreams.ready > 1 || !urgentThere);
}

std::optional<RouteChoice> chooseUpstream(
    EntryState& state, const ServiceConfig& service, const ServicePool& pool, const RouteQuery& query)
{
    if (pool.upstreams.candidates == 0)
        return std::nullopt;
    UpstreamSelector selector { .state = state, .service = service, .pool = pool, .query = query, .candidates = {} };
    const RoutePolicy policy = state.settings.routePolicy;
    if (policy == RoutePolicy::Random)
        return selector.randomCandidate();
    if (policy == RoutePolicy::LeastReported)
        return selector.leastReported();
    // A free slot in a distant region is better than a wait nearby: the network adds milliseconds, a wait lasts as long
    // as a request runs.
    for (const Room room : { Room::Free, Room::Waiting })
        for (std::size_t tier = 0; tier < tierCount; ++tier) {
            const auto& withRoom = pool.upstreams.withRoom[query.rank.value][static_cast<std::size_t>(room)][tier];
            if (withRoom.empty())
                continue;
            if (policy == RoutePolicy::Affinity && query.prefixHash != 0)
                if (auto choice = selector.byAffinity(tier, room))
                    return choice;
            if (auto choice = selector.twoChoices(withRoom))
                return choice;
        }
    return std::nullopt;
}

} // namespace hickory
