#include "stage_partner_func.h"

#include "digest_func.h"
#include "stage_cmd.h"
#include "stage_reduce_func.h"
#include "table/stage_limits.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hickory {

namespace {

    /// Partners at distances 1, r, r^2 in both directions of a ring, where r^3 is half of the hosts: news pass all
    /// hosts in few steps, and around a partner that is gone.
    constexpr std::size_t partnerDistances = 3;

    std::vector<std::string> choosePartners(std::vector<std::string> ring, const std::string& self)
    {
        if (std::find(ring.begin(), ring.end(), self) == ring.end())
            ring.push_back(self);
        std::sort(ring.begin(), ring.end(), [](const std::string& left, const std::string& right) {
            return std::pair(stableHash("partner", left), left) < std::pair(stableHash("partner", right), right);
        });
        const std::size_t count = ring.size();
        const auto position = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), self) - ring.begin());
        const double ratio = std::pow(static_cast<double>(count) / 2, 1.0 / partnerDistances);
        std::set<std::string> partners;
        double distance = 1;
        for (std::size_t step = 0; step < partnerDistances && count > 1; ++step) {
            // Rounding gives the same distance twice on small rings; then the next one is taken.
            const auto offset = std::max(step + 1, static_cast<std::size_t>(std::lround(distance))) % count;
            partners.insert(ring[(position + offset) % count]);
            partners.insert(ring[(position + count - offset) % count]);
            distance *= ratio;
        }
        partners.erase(self);
        return { partners.begin(), partners.end() };
    }

    /// @return own pieces, and an empty set for each version whose manifest is not known
    std::vector<PieceSet> announcedPieces(const StageState& state)
    {
        std::vector<PieceSet> pieces = ownPieces(state);
        for (const StageJob& job : state.jobs)
            if (job.pieces.empty())
                pieces.push_back({ .version = job.version });
        return pieces;
    }

    /// @return whether a host that announced pieces lacks some of a set
    bool lacksSome(const StageState& state, const std::string& ip, const PieceSet& set)
    {
        const auto found = state.peerHoldings.find(ip);
        if (set.held.empty())
            return false;
        if (found == state.peerHoldings.end())
            return true;
        for (const PieceSet& known : found->second.sets) {
            if (known.version != set.version || known.held.size() < set.held.size())
                continue;
            for (std::size_t index = 0; index < set.held.size(); ++index)
                if (set.held[index] && !known.held[index])
                    return true;
            return false;
        }
        return true;
    }

    bool lacksSome(const StageState& state, const std::string& ip, const std::vector<PieceSet>& sets)
    {
        return std::any_of(sets.begin(), sets.end(), [&](const PieceSet& set) { return lacksSome(state, ip, set); });
    }

    /// Partners are told of new pieces, and asked while pieces are missing.
    void announceToPartners(StageState& state, const std::vector<PieceSet>& pieces, Milliseconds now,
        std::vector<PieceAnnouncement>& announcements)
    {
        PieceExchange& exchange = state.exchange;
        const Milliseconds interval
            = engineHasNoWeights(state) ? minAnnounceIntervalWithoutStreams : minAnnounceInterval;
        const bool isNew = pieces != exchange.announced && now - exchange.announcedAt >= interval;
        const bool asks = wantsPieces(state) && now - exchange.askedAt >= pieceRequestPeriod;
        if (!isNew && !asks)
            return;
        PieceAnnouncement announcement { .pieces = pieces, .wantsPieces = asks };
        for (const std::string& partner : state.fleet.partners)
            if (asks || lacksSome(state, partner, pieces))
                announcement.ips.push_back(partner);
        if (asks) {
            exchange.askedAt = now;
            // Another data centre is asked as well: nobody here may hold what this one lacks.
            for (const auto& [dataCentre, hosts] : state.fleet.elsewhere)
                announcement.ips.push_back(
                    hosts[(stableHash("remote", state.options.ip) + exchange.requests) % hosts.size()]);
            ++exchange.requests;
        }
        exchange.announced = pieces;
        exchange.announcedAt = now;
        for (const std::string& ip : announcement.ips)
            exchange.toldAt[ip] = now;
        announcements.push_back(std::move(announcement));
    }

    void answerRequests(StageState& state, const std::vector<PieceSet>& pieces, Milliseconds now,
        std::vector<PieceAnnouncement>& announcements)
    {
        PieceAnnouncement announcement { .pieces = pieces };
        for (const std::string& ip : state.exchange.requestedBy)
            if (now - state.exchange.toldAt[ip] >= minPieceReplyInterval && lacksSome(state, ip, pieces)) {
                announcement.ips.push_back(ip);
                state.exchange.toldAt[ip] = now;
            }
        state.exchange.requestedBy.clear();
        if (!announcement.ips.empty())
            announcements.push_back(std::move(announcement));
    }

    /// Pieces that came from the origin are announced to the hosts that fetch them for their data centres, and to those
    /// that would be next to fetch them from the origin.
    void announceFromOrigin(StageState& state, Milliseconds now, std::vector<PieceAnnouncement>& announcements)
    {
        PieceExchange& exchange = state.exchange;
        const std::vector<PieceSet> pieces = piecesFromOrigin(state);
        if (pieces != exchange.fromOrigin) {
            exchange.fromOrigin = pieces;
            exchange.fromOriginChangedAt = now;
            exchange.fromOriginAnnouncedAt = {};
        }
        if (now - exchange.fromOriginChangedAt > originAnnounceTime
            || now - exchange.fromOriginAnnouncedAt < originAnnouncePeriod)
            return;
        exchange.fromOriginAnnouncedAt = now;
        std::set<std::string> ips;
        for (const PieceSet& set : pieces)
            for (std::size_t piece = 0; piece < set.held.size(); ++piece) {
                if (!set.held[piece])
                    continue;
                for (std::uint64_t round = 0; round < originAnnounceRounds; ++round) {
                    for (const auto& [dataCentre, hosts] : state.fleet.elsewhere)
                        ips.insert(designatedFetcher(hosts, piece, round));
                    if (!state.fleet.all.empty())
                        ips.insert(designatedFetcher(state.fleet.all, piece + set.version.value, round));
                }
            }
        ips.erase(state.options.ip);
        if (!ips.empty())
            announcements.push_back({ .ips = { ips.begin(), ips.end() }, .pieces = pieces });
    }

} // namespace

StageFleet makeStageFleet(const std::vector<WeightsPeer>& peers, const StageOptions& options)
{
    StageFleet fleet;
    for (const WeightsPeer& peer : peers) {
        fleet.all.push_back(peer.ip);
        fleet.dataCentres[peer.ip] = peer.dataCentre;
        if (peer.dataCentre == options.dataCentre)
            fleet.here.push_back(peer.ip);
        else
            fleet.elsewhere[peer.dataCentre].push_back(peer.ip);
    }
    fleet.partners = choosePartners(fleet.here, options.ip);
    return fleet;
}

const std::string& designatedFetcher(const std::vector<std::string>& hosts, std::uint64_t number, std::uint64_t rounds)
{
    // Comes to every host in turn. The golden section keeps it off any pattern of hosts that may have failed together,
    // such as neighbours in the list or every fifth one.
    constexpr double goldenSection = 0.618;
    auto roundStep
        = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(goldenSection * static_cast<double>(hosts.size())));
    while (std::gcd(roundStep, hosts.size()) != 1)
        ++roundStep;
    return hosts[(number + roundStep * rounds) % hosts.size()];
}

bool wantsPieces(const StageState& state)
{
    return std::any_of(state.jobs.begin(), state.jobs.end(), [&](const StageJob& job) {
        return !engineHolds(state, job.version)
            && (!job.manifestKnown || countStep(job, PieceStep::Missing) + countStep(job, PieceStep::Fetching) > 0);
    });
}

void recordPieceRequest(StageState& state, const std::string& ip) { state.exchange.requestedBy.insert(ip); }

std::vector<PieceAnnouncement> takeAnnouncements(StageState& state, Milliseconds now)
{
    std::erase_if(state.peerHoldings, [&](const auto& item) { return now - item.second.receivedAt > holdingsMaxAge; });
    std::erase_if(state.exchange.toldAt, [&](const auto& item) { return now - item.second > holdingsMaxAge; });
    std::vector<PieceAnnouncement> announcements;
    const std::vector<PieceSet> pieces = announcedPieces(state);
    if (pieces.empty())
        return announcements;
    announceToPartners(state, pieces, now, announcements);
    answerRequests(state, pieces, now, announcements);
    announceFromOrigin(state, now, announcements);
    return announcements;
}

} // namespace hickory
