#include "route_room_cmd.h"

#include "route_func.h"

namespace hickory {

namespace {

    std::vector<std::uint32_t>& listOf(UpstreamPool& pool, const UpstreamView& view, std::size_t rank, Room room)
    {
        return pool.withRoom[rank][static_cast<std::size_t>(room)][view.tier];
    }

    void moveTo(UpstreamViews& all, UpstreamPool& pool, std::uint32_t index, std::size_t rank, Room room)
    {
        UpstreamView& view = all.views[index];
        RoomIndex& held = view.rooms[rank];
        if (held.room == room)
            return;
        if (held.room != Room::None) {
            std::vector<std::uint32_t>& list = listOf(pool, view, rank, held.room);
            all.views[list.back()].rooms[rank].index = held.index;
            list[held.index] = list.back();
            list.pop_back();
        }
        held.room = room;
        if (room == Room::None)
            return;
        std::vector<std::uint32_t>& list = listOf(pool, view, rank, room);
        held.index = static_cast<std::uint32_t>(list.size());
        list.push_back(index);
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
    for (std::size_t rank = 0; rank < pool->second.upstreams.withRoom.size(); ++rank)
        moveTo(all, pool->second.upstreams, index, rank,
            roomOf(state, *service, view, { static_cast<std::uint8_t>(rank) }));
}

void refreshAllRoom(EntryState& state)
{
    const auto count = static_cast<std::uint32_t>(state.requests.views.views.size());
    for (std::uint32_t index = 0; index < count; ++index)
        refreshRoom(state, index);
}

} // namespace hickory
