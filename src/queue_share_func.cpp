#include "queue_share_func.h"

#include "home_region_func.h"
#include "table/relay_limits.h"
#include "upstream_notice_func.h"

#include <algorithm>
#include <map>
#include <set>

namespace hickory {

namespace {

    constexpr double millisecondsPerSecond = 1000.0;

    const RelayServiceState* findService(const RelayState& state, const ServiceId& service)
    {
        const auto found = state.services.find(service);
        return found == state.services.end() ? nullptr : &found->second;
    }

    /// @return regions with upstreams that may run a request
    std::set<RegionId> usableRegions(const RelayState& state, const RelayRequest& request)
    {
        std::set<RegionId> regions;
        for (const auto& [id, view] : state.upstreams)
            if (view.listed && !view.entry.leaving && view.entry.service == request.service
                && mayRunIn(state, request.allowed, view.entry.dataCentre))
                regions.insert(regionOf(state.options.regions, view.entry.dataCentre));
        return regions;
    }

    /// @return requests a second that the upstreams take that a request with these regions may use
    double dispatchRate(const RelayState& state, const RelayServiceState& view, const ServiceId& service,
        const AllowedRegions& allowed, Milliseconds now)
    {
        const auto recent = std::count_if(
            view.dispatches.begin(), view.dispatches.end(), [&](const RelayServiceState::Dispatch& sent) {
                return now - sent.at < dispatchRateWindow && mayRunIn(state, allowed, sent.dataCentre);
            });
        const double rate = std::max(minDispatchRate, static_cast<double>(recent));
        const std::optional<double> limit = limitedRate(state, service, allowed, now);
        return limit ? std::max(std::min(rate, *limit), minLimitedRate) : rate;
    }

    /// @param amounts by the regions that requests may use
    /// @return the least of the sums of these amounts over the regions that a request may use
    template <typename Number>
    Number leastInRegion(
        const RelayState& state, const RelayRequest& request, const std::map<AllowedRegions, Number>& amounts)
    {
        std::optional<Number> least;
        for (const RegionId& region : usableRegions(state, request)) {
            Number sum {};
            for (const auto& [allowed, amount] : amounts)
                if (allowsRegion(allowed, region))
                    sum += amount;
            least = std::min(least.value_or(sum), sum);
        }
        return least.value_or(Number {});
    }

} // namespace

std::size_t queuedAgainst(const RelayState& state, const RelayRequest& request)
{
    const RelayServiceState* service = findService(state, request.service);
    if (!service)
        return 0;
    return state.homesInUse ? leastInRegion(state, request, service->queuedByRegions) : service->queue.size();
}

Milliseconds waitBehind(const RelayState& state, const RelayRequest& request, const QueueKey& key, Milliseconds now)
{
    const RelayServiceState* service = findService(state, request.service);
    if (!service)
        return {};
    std::map<AllowedRegions, double> ahead;
    const auto end = service->queue.lower_bound(key);
    // Other entries share the limits of all upstreams: the request itself waits until one has warmed up.
    const bool hasNoShare = limitedRate(state, request.service, request.allowed, now) == 0.0;
    if (!state.homesInUse)
        return { static_cast<std::int64_t>(
            static_cast<double>(std::distance(service->queue.begin(), end) + (hasNoShare ? 1 : 0))
            * millisecondsPerSecond / dispatchRate(state, *service, request.service, request.allowed, now)) };
    if (hasNoShare)
        ++ahead[request.allowed];
    for (auto item = service->queue.begin(); item != end; ++item)
        ++ahead[state.requests.at(item->second).allowed];
    for (auto& [allowed, time] : ahead)
        time *= millisecondsPerSecond / dispatchRate(state, *service, request.service, allowed, now);
    return { static_cast<std::int64_t>(leastInRegion(state, request, ahead)) };
}

bool isFirstInQueue(const RelayState& state, const RelayRequest& request)
{
    const RelayServiceState* service = findService(state, request.service);
    if (!service || service->queue.empty())
        return true;
    const auto goesBefore = [&](const QueueKey& first) { return first.fresh && request.urgency < first.urgency; };
    if (!state.homesInUse)
        return goesBefore(service->queue.begin()->first);
    const auto competes = [&](const auto& item) { return overlaps(item.first, request.allowed); };
    if (std::none_of(service->queuedByRegions.begin(), service->queuedByRegions.end(), competes))
        return true;
    const auto first = std::find_if(service->queue.begin(), service->queue.end(),
        [&](const auto& item) { return overlaps(state.requests.at(item.second).allowed, request.allowed); });
    return first == service->queue.end() || goesBefore(first->first);
}

void recordNoRoom(NoRoom& noRoom, const RelayRequest& request)
{
    noRoom.parts.push_back({ .allowed = request.allowed, .coversParts = request.excludedUpstreams.empty() });
}

bool isWithoutRoom(const NoRoom& noRoom, const AllowedRegions& allowed)
{
    return std::any_of(noRoom.parts.begin(), noRoom.parts.end(), [&](const NoRoom::Part& part) {
        return part.coversParts ? includesRegions(part.allowed, allowed) : part.allowed == allowed;
    });
}

bool areAllWithoutRoom(const NoRoom& noRoom, const RelayServiceState& service)
{
    return std::all_of(service.queuedByRegions.begin(), service.queuedByRegions.end(),
        [&](const auto& item) { return isWithoutRoom(noRoom, item.first); });
}

} // namespace hickory
