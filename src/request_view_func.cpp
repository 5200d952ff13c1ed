#include "request_cmd.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickory {

namespace {

    /// Limit of suspicions in one gossip message.
    constexpr std::size_t maxGossiped = 64;

} // namespace

std::vector<Suspicion> localSuspicions(const EntryState& state)
{
    const SuspectTable& table = state.requests.suspects;
    std::vector<Suspicion> suspicions;
    for (auto entry = table.byAge.rbegin(); entry != table.byAge.rend() && suspicions.size() < maxGossiped; ++entry) {
        const auto& [changed, service, digest] = *entry;
        suspicions.push_back({ .service = service,
            .requestDigest = digest,
            .crashes = table.entries.at({ service, digest }).crashes,
            .age = state.now - changed });
    }
    return suspicions;
}

std::vector<Demand> localDemand(const EntryState& state)
{
    std::vector<Demand> demand;
    for (const auto& [service, pool] : state.requests.pools)
        for (std::size_t rank = 0; rank < pool.queues.size(); ++rank) {
            std::uint64_t tokens = pool.queues[rank].tokens + pool.ranks[rank].inFlightTokens;
            for (auto waiting = pool.constrained.lower_bound({ static_cast<std::uint8_t>(rank), 0 });
                 waiting != pool.constrained.end() && waiting->first.first == rank; ++waiting)
                tokens += state.requests.requests.at(waiting->second).call.cost.value;
            if (tokens > 0)
                demand.push_back(
                    { .service = service, .rank = { static_cast<std::uint8_t>(rank) }, .tokens = { tokens } });
        }
    return demand;
}

std::string upstreamsJson(const EntryState& state)
{
    nlohmann::json list = nlohmann::json::array();
    for (const UpstreamView& view : state.requests.views.views) {
        if (view.host.empty())
            continue;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
        for (const RankLoad& rank : view.status.ranks) {
            running += rank.running;
            queued += rank.queued;
        }
        list.push_back({ { "host", view.host.value }, { "address", view.address }, { "place", view.dataCentre.value },
            { "region", view.region.value }, { "tier", view.tier }, { "service", view.status.service.value },
            { "connected", view.connected }, { "ready", view.status.ready }, { "leaving", view.status.leaving },
            { "model", view.status.model.value }, { "version", view.status.version.value },
            { "limit", view.status.limit }, { "running", running }, { "queued", queued },
            { "in_flight", view.ownTotal }, { "suspects", view.suspects }, { "missed_heartbeats", view.missed },
            { "ejected", view.ejectedUntil > state.now }, { "ejections", view.ejections },
            { "error_rate", view.errorRate }, { "first_part_ms", view.latencyMs },
            { "status_age_ms", view.connected ? (state.now - view.statusAt).value : -1 },
            { "detail", view.status.detail } });
    }
    std::sort(list.begin(), list.end(), [](const auto& left, const auto& right) {
        return left.at("host").template get_ref<const std::string&>()
            < right.at("host").template get_ref<const std::string&>();
    });
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hickory
