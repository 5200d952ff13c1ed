#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "status_type.h"

#include <array>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace hickory {

/// What an upstream can do with one more request of a rank.
enum class Room : std::uint8_t {
    Free, ///< a slot is free for it
    Waiting, ///< it may wait at the agent until a slot is free
    None, ///< it should wait at the entry
};

/// Index of an upstream in the list of those with the same room.
struct RoomIndex {
    Room room { Room::None }; ///< which list
    std::uint32_t index { 0 }; ///< index in it
};

/// What an entry knows about one agent. Load figures are hints; the agent decides.
struct UpstreamView {
    HostId host; ///< the agent's host, empty when the slot of the view is free
    std::string address; ///< "ip:port"
    DataCentreId dataCentre; ///< data centre of the host
    RegionId region; ///< region of the host
    std::uint8_t tier { 2 }; ///< 0 own place, 1 own region, 2 elsewhere
    bool inSubset { false }; ///< belongs to this entry's subset
    bool connected { false }; ///< the connection stands
    bool slowStart { false }; ///< it was out of service before; it starts slowly
    std::uint32_t missed { 0 }; ///< heartbeats missed in a row
    std::uint32_t connectFailures { 0 }; ///< lost or refused connections in a row
    Milliseconds connectAt { 0 }; ///< when to ask for the connection again
    AgentStatus status; ///< newest status
    Milliseconds statusAt { 0 }; ///< when it arrived
    std::vector<double> others; ///< load of other entries by rank, as of statusAt
    std::vector<std::uint32_t> own; ///< attempts of this entry by rank
    std::uint32_t ownTotal { 0 }; ///< sum of own
    std::uint32_t suspects { 0 }; ///< attempts of this entry that are suspect
    std::unordered_set<RequestId> requests; ///< requests of this entry in flight there
    bool candidate { false }; ///< it is in the tiers of its service
    std::vector<RoomIndex> rooms; ///< by rank: its index in UpstreamPool::roomy
    Milliseconds eligibleSince { 0 }; ///< when it last became a candidate
    Milliseconds ejectedUntil { 0 }; ///< no new work until then
    std::uint32_t ejections { 0 }; ///< ejections in a row
    double errorRate { 0 }; ///< smoothed share of failed attempts
    double latencyMs { 0 }; ///< smoothed time to the first part
    std::uint32_t outcomes { 0 }; ///< attempts that ended since it became a candidate
    std::uint32_t latencies { 0 }; ///< samples in latencyMs
    std::deque<std::pair<Milliseconds, std::pair<ServiceId, BodyDigest>>> unknowns; ///< unknown ends of the last second
};

/// All agents known to an entry.
struct UpstreamViews {
    std::vector<UpstreamView> views; ///< by index; slots are reused
    std::vector<std::uint32_t> free; ///< indexes of free slots
    std::unordered_map<HostId, std::uint32_t> byHost; ///< index of each host
    std::unordered_map<HostId, ServiceId> lastServices; ///< service last seen at each listed engine host
    std::uint32_t connections { 0 }; ///< views that are connected
    Milliseconds heartbeatInterval { 0 }; ///< last interval that was set
    Milliseconds nextOutlierCheck { 0 }; ///< when latencies are next compared
    bool subsetStale { false }; ///< the subset must be chosen again at the next tick
};

/// A point on the hash ring of a tier.
struct RingPoint {
    std::uint64_t hash { 0 }; ///< position
    std::uint32_t upstream { 0 }; ///< index of the view

    auto operator<=>(const RingPoint&) const = default;
};

/// Number of distances that routing tells apart: own place, own region, elsewhere.
constexpr std::size_t tierCount = 3;

/// Candidates of one service.
struct UpstreamPool {
    bool stale { true }; ///< must be built again
    bool panic { false }; ///< ejections are ignored because most upstreams look dead
    std::array<std::vector<std::uint32_t>, tierCount> tiers; ///< candidates by distance
    std::vector<std::array<std::array<std::vector<std::uint32_t>, tierCount>, 2>> withRoom; ///< by rank, room, distance
    std::array<std::vector<RingPoint>, tierCount> rings; ///< hash rings for prefix affinity
    std::array<std::uint32_t, tierCount> inFlight {}; ///< attempts of this entry by distance
    std::uint32_t ready { 0 }; ///< connected upstreams that say they are ready
    std::uint32_t candidates { 0 }; ///< size of all tiers
};

} // namespace hickory
