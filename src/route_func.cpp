#include "route_func.h"

#include <algorithm>
#include <cmath>

namespace hickory {

namespace {

    /// A report of other entries' load counts whole up to the first age, the usual time between reports, and half after
    /// the second time more.
    constexpr double freshReportMs = 1000;
    constexpr double reportHalfLifeMs = 2000;
    /// Requests that may wait at an agent so that a slot is not idle for the time of a round trip.
    constexpr double waitingAtAgent = 1;
    /// Time in which a returning upstream's share grows from a fifth to the whole.
    constexpr double slowStartMs = 5000;
    constexpr double slowStartShare = 0.2;
    /// Upstreams with room that are looked at for a request that not every one may run.
    constexpr std::size_t probeCount = 16;
    /// Hosts on the ring that are tried for a prefix, and the bound of their load relative to the tier's average.
    constexpr std::size_t ringProbes = 4;
    constexpr double ringBound = 1.25;
    /// Load, as a share of the slots, up to which a replica takes a request for its prefix. All entries prefer the same
    /// replica for a prefix and learn of each other's requests late; beyond this its slots fill before they notice.
    constexpr double affineLoad = 0.6;

    double loadOf(const UpstreamView& view, std::size_t rank, double reportShare)
    {
        const double own = rank < view.own.size() ? view.own[rank] : 0;
        const double others = rank < view.others.size() ? view.others[rank] : 0;
        return own + others * reportShare;
    }

    double reportShareOf(const EntryState& state, const UpstreamView& view)
    {
        const double age = static_cast<double>((state.now - view.statusAt).value) - freshReportMs;
        return 1.0 / (1.0 + std::max(0.0, age) / reportHalfLifeMs);
    }

    double floorSlots(const Config& config, std::size_t rank, double limit)
    {
        return std::floor(config.ranks[rank].floor * limit + 1e-9);
    }

    double limitOf(const ServiceConfig& service, const UpstreamView& view)
    {
        return std::max<std::uint32_t>(1, view.status.limit > 0 ? view.status.limit : service.concurrency);
    }

    double reportedLoad(const UpstreamView& view)
    {
        double load = 0;
        for (const RankLoad& rank : view.status.ranks)
            load += rank.running + rank.queued;
        return load;
    }

    /// One decision's parameters.
    struct Chooser {
        EntryState& state;
        const ServiceConfig& service;
        const ServicePool& pool;
        const RouteQuery& query;
        std::string candidates;

        const UpstreamView& view(std::uint32_t index) const { return this->state.requests.views.views[index]; }

        double score(std::uint32_t index) const
        {
            return depthFor(this->state, this->service, this->view(index), this->query.rank)
                / slotsOf(this->state, this->service, this->view(index));
        }

        Room room(std::uint32_t index) const { return this->view(index).rooms[this->query.rank.value].room; }

        /// Whether the request may go to an upstream that has room.
        bool permitted(std::uint32_t index) const
        {
            const UpstreamView& view = this->view(index);
            if (view.host == this->query.avoidHost && this->pool.upstreams.candidates > 1)
                return false;
            return !this->state.members.leavingNotices.contains(view.host)
                && permitsRequest(this->pool, view, this->query);
        }

        void note(std::uint32_t index, double value)
        {
            if (!this->candidates.empty())
                this->candidates += ',';
            this->candidates += this->view(index).host.value;
            this->candidates += ':';
            this->candidates += std::to_string(std::lround(value * 100));
        }

        std::size_t draw(std::size_t count) { return static_cast<std::size_t>(this->state.random() % count); }

        std::optional<RouteChoice> chosen(std::uint32_t index, const char* reason)
        {
            return RouteChoice { .upstream = index, .reason = reason, .candidates = std::move(this->candidates) };
        }

        std::optional<RouteChoice> best(const std::vector<std::uint32_t>& withRoom);
        std::optional<RouteChoice> twoChoices(const std::vector<std::uint32_t>& withRoom);
        std::optional<RouteChoice> affine(std::size_t tier, Room room);
        std::optional<RouteChoice> random();
        std::optional<RouteChoice> leastReported();
    };

    /// Best of a bounded number of neighbours, from a random start; for requests that not every upstream may run.
    std::optional<RouteChoice> Chooser::best(const std::vector<std::uint32_t>& withRoom)
    {
        const std::size_t start = this->draw(withRoom.size());
        std::optional<std::uint32_t> best;
        double bestScore = 0;
        for (std::size_t step = 0; step < std::min(withRoom.size(), probeCount); ++step) {
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
        this->note(*best, bestScore);
        return this->chosen(*best, "only-permitted");
    }

    std::optional<RouteChoice> Chooser::twoChoices(const std::vector<std::uint32_t>& withRoom)
    {
        if (withRoom.empty())
            return std::nullopt;
        if (withRoom.size() == 1)
            return this->best(withRoom);
        const std::size_t first = this->draw(withRoom.size());
        std::size_t second = this->draw(withRoom.size() - 1);
        second += second >= first ? 1 : 0;
        const bool firstPermitted = this->permitted(withRoom[first]);
        const bool secondPermitted = this->permitted(withRoom[second]);
        if (!firstPermitted && !secondPermitted)
            return withRoom.size() > 2 ? this->best(withRoom) : std::nullopt;
        const double firstScore = this->score(withRoom[first]);
        const double secondScore = this->score(withRoom[second]);
        this->note(withRoom[first], firstScore);
        this->note(withRoom[second], secondScore);
        const bool takeFirst = firstPermitted && (!secondPermitted || firstScore <= secondScore);
        return this->chosen(takeFirst ? withRoom[first] : withRoom[second], "two-choices");
    }

    /// Hashing with bounded load: the first host on the ring whose load is near the average.
    std::optional<RouteChoice> Chooser::affine(std::size_t tier, Room room)
    {
        const std::vector<RingPoint>& ring = this->pool.upstreams.rings[tier];
        const auto members = static_cast<double>(this->pool.upstreams.tiers[tier].size());
        const double bound = std::ceil(ringBound * (this->pool.upstreams.inFlight[tier] + 1) / members);
        auto point = std::lower_bound(ring.begin(), ring.end(), RingPoint { this->query.prefixHash, 0 });
        std::size_t tried = 0;
        std::uint32_t last = ~0U;
        for (std::size_t step = 0; step < ring.size() && tried < ringProbes; ++step, ++point) {
            if (point == ring.end())
                point = ring.begin();
            if (point->upstream == last)
                continue;
            last = point->upstream;
            ++tried;
            const UpstreamView& view = this->view(last);
            this->note(last, this->score(last));
            const bool light = view.ownTotal < bound && this->score(last) <= affineLoad;
            if (light && this->room(last) == room && this->permitted(last))
                return this->chosen(last, tried == 1 ? "affinity" : "affinity-next");
        }
        return std::nullopt;
    }

    std::optional<RouteChoice> Chooser::random()
    {
        const auto& tiers = this->pool.upstreams.tiers;
        std::size_t offset = this->draw(this->pool.upstreams.candidates);
        for (const auto& tier : tiers) {
            if (offset >= tier.size()) {
                offset -= tier.size();
                continue;
            }
            this->note(tier[offset], this->score(tier[offset]));
            return this->room(tier[offset]) != Room::None && this->permitted(tier[offset])
                ? this->chosen(tier[offset], "random")
                : std::nullopt;
        }
        return std::nullopt;
    }

    std::optional<RouteChoice> Chooser::leastReported()
    {
        std::optional<std::uint32_t> best;
        double bestLoad = 0;
        for (const auto& tier : this->pool.upstreams.tiers)
            for (const std::uint32_t index : tier) {
                const double load = reportedLoad(this->view(index));
                if (!permitsRequest(this->pool, this->view(index), this->query) || (best && load >= bestLoad)
                    || load >= slotsOf(this->state, this->service, this->view(index)) + waitingAtAgent)
                    continue;
                best = index;
                bestLoad = load;
            }
        if (!best)
            return std::nullopt;
        this->note(*best, bestLoad);
        return this->chosen(*best, "least-reported");
    }

} // namespace

double depthFor(const EntryState& state, const ServiceConfig& service, const UpstreamView& view, RankIndex rank)
{
    const Config& config = *state.config.config;
    const double reportShare = reportShareOf(state, view);
    const double limit = limitOf(service, view);
    const bool byRank = state.settings.queuePolicy != QueuePolicy::Fifo;
    double depth = 0;
    for (std::size_t other = 0; other < config.ranks.size(); ++other) {
        const double load = loadOf(view, other, reportShare);
        depth += byRank && other > rank.value ? std::min(load, floorSlots(config, other, limit)) : load;
    }
    return depth;
}

double slotsOf(const EntryState& state, const ServiceConfig& service, const UpstreamView& view)
{
    const double limit = limitOf(service, view);
    const auto age = static_cast<double>((state.now - view.eligibleSince).value);
    if (!view.slowStart || age >= slowStartMs)
        return limit;
    return std::max(1.0, limit * std::max(slowStartShare, age / slowStartMs));
}

Room roomOf(const EntryState& state, const ServiceConfig& service, const UpstreamView& view, RankIndex rank)
{
    const double slots = slotsOf(state, service, view);
    const Config& config = *state.config.config;
    if (state.settings.queuePolicy != QueuePolicy::Fifo && rank.value < config.ranks.size()
        && loadOf(view, rank.value, reportShareOf(state, view)) < floorSlots(config, rank.value, slots))
        return Room::Free;
    const double depth = depthFor(state, service, view, rank);
    if (depth < slots)
        return Room::Free;
    return depth < slots + waitingAtAgent ? Room::Waiting : Room::None;
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
    Chooser chooser { .state = state, .service = service, .pool = pool, .query = query, .candidates = {} };
    const RoutePolicy policy = state.settings.routePolicy;
    if (policy == RoutePolicy::Random)
        return chooser.random();
    if (policy == RoutePolicy::LeastReported)
        return chooser.leastReported();
    // A free slot far away is better than a wait nearby: the way takes milliseconds, the wait a request's time.
    for (const Room room : { Room::Free, Room::Waiting })
        for (std::size_t tier = 0; tier < tierCount; ++tier) {
            const auto& withRoom = pool.upstreams.withRoom[query.rank.value][static_cast<std::size_t>(room)][tier];
            if (withRoom.empty())
                continue;
            if (policy == RoutePolicy::Affinity && query.prefixHash != 0)
                if (auto choice = chooser.affine(tier, room))
                    return choice;
            if (auto choice = chooser.twoChoices(withRoom))
                return choice;
        }
    return std::nullopt;
}

} // namespace hickory
