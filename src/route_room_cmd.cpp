#include "route_room_cmd.h"

#include "route_func.h"

namespace hickory {

namespace {

    std::vector<std::uint32_t>& roomList(UpstreamPool& pool, const UpstreamView& view, std::size_t rank, Room room)
    {
        return pool.withRoom[rank][static_cast<std::size_t>(room)][view.tier];
    }

    /// Moves an upstream to the list of its new room in constant time, by swapping it with the last element.
    void setRoom(UpstreamViews& all, UpstreamPool& pool, std::uint32_t index, std::size_t rank, Room room)
    {
        UpstreamView& view = all.views[index];
        RoomIndex& current = view.rooms[rank];
        if (current.room == room)
            return;
        if (current.room != Room::None) {
            std::vector<std::uint32_t>& list = roomList(pool, view, rank, current.room);
            all.views[list.back()].rooms[rank].index = current.index;
            list[current.index] = list.back();
            list.pop_back();
        }
        current.room = room;
        if (room == Room::None)
            return;
        std::vector<std::uint32_t>& list = roomList(pool, view, rank, room);
        current.index = static_cast<std::uint32_t>(list.size());
        list.push_back(index);
    }

} // namespace

void refreshRoom(EntryState& state, std::uint32_t index)
{
    UpstreamViews& all = state.requests.views;
    const UpstreamView& view = all.views[index];
    const auto pool = state.requests.pools.find(view.status.service);
    // A stale pool is rebuilt, including these lists, before its next use.
    if (!view.candidate || pool == state.requests.pools.end() || pool->second.upstreams.stale)
        return;
    const ServiceConfig* service = state.config.config->findService(view.status.service);
    if (!service)
        return;
    for (std::size_t rank = 0; rank < pool->second.upstreams.withRoom.size(); ++rank)
        setRoom(all, pool->second.upstreams, index, rank,
            roomOf(state, *service, view, { static_cast<std::uint8_t>(rank) }));
}

void refreshAllRoom(EntryState& state)
{
    const auto count = static_cast<std::uint32_t>(state.requests.views.views.size());
    for (std::uint32_t index = 0; index < count; ++index)
        refreshRoom(state, index);
}

} // namespace hickory
