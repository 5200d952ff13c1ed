#include "route_room_cmd.h"

#include "route_func.h"

namespace hickory {

namespace {

    void enter(UpstreamViews& all, UpstreamPool& pool, std::uint32_t index, std::size_t rank)
    {
        UpstreamView& view = all.views[index];
        std::vector<std::uint32_t>& list = pool.roomy[rank][view.tier];
        if (view.roomPlace[rank] != noRoom)
            return;
        view.roomPlace[rank] = static_cast<std::uint32_t>(list.size());
        list.push_back(index);
    }

    void leave(UpstreamViews& all, UpstreamPool& pool, std::uint32_t index, std::size_t rank)
    {
        UpstreamView& view = all.views[index];
        std::vector<std::uint32_t>& list = pool.roomy[rank][view.tier];
        const std::uint32_t place = view.roomPlace[rank];
        if (place == noRoom)
            return;
        all.views[list.back()].roomPlace[rank] = place;
        list[place] = list.back();
        list.pop_back();
        view.roomPlace[rank] = noRoom;
    }

} // namespace

void refreshRoom(EntryState& state, std::uint32_t index)
{
    UpstreamViews& all = state.requests.views;
    const UpstreamView& view = all.views[index];
    const auto pool = state.requests.pools.find(view.status.service);
    // A stale pool is built again, with its lists, before it is next used.
    if (!view.candidate || pool == state.requests.pools.end() || pool->second.upstreams.stale)
        return;
    const ServiceConfig* service = state.config.config->findService(view.status.service);
    if (!service)
        return;
    for (std::size_t rank = 0; rank < pool->second.upstreams.roomy.size(); ++rank)
        if (hasRoom(state, *service, view, { static_cast<std::uint8_t>(rank) }))
            enter(all, pool->second.upstreams, index, rank);
        else
            leave(all, pool->second.upstreams, index, rank);
}

void refreshAllRoom(EntryState& state)
{
    const auto count = static_cast<std::uint32_t>(state.requests.views.views.size());
    for (std::uint32_t index = 0; index < count; ++index)
        refreshRoom(state, index);
}

} // namespace hickory
