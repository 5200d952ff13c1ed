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

/// Room of an upstream for one more request of a given rank.
enum class Room : std::uint8_t {
    Free, ///< a slot is free for it
    Waiting, ///< all slots are in use, but it may wait in the agent's queue
    None, ///< the agent's queue is full as well; the request waits at the entry
};

/// Position of an upstream in one of the lists of UpstreamPool::withRoom.
struct RoomIndex {
    Room room { Room::None }; ///< selects the list; None when it is in no list
    std::uint32_t index { 0 }; ///< index in the list
};

/// State of one agent and its upstream as known to an entry. The load figures are estimates; the agent decides whether
/// it accepts an attempt.
struct UpstreamView {
    HostId host; ///< host of the agent, empty when this element of UpstreamViews::views is unused
    std::string address; ///< "ip:port"
    DataCentreId dataCentre; ///< data centre of the host
    RegionId region; ///< region of the host
    std::uint8_t tier { 2 }; ///< distance from the entry: 0 same data centre, 1 same region, 2 elsewhere
    bool inSubset { false }; ///< it belongs to the subset that this entry connects to
    bool connected { false }; ///< the connection is open
    bool unreachable { false }; ///< the last attempt to connect failed, as when the process has ended
    bool slowStart { false }; ///< it was out of service before, so its share of requests grows slowly
    std::uint32_t missed { 0 }; ///< heartbeats missed in a row
    std::uint32_t connectFailures { 0 }; ///< lost or refused connections in a row
    Milliseconds reconnectAt { 0 }; ///< time of the next attempt to connect, 0 when none is scheduled
    AgentStatus status; ///< newest status
    Milliseconds statusAt { 0 }; ///< time at which the newest status arrived
    std::vector<double> others; ///< requests of other entries by rank, as of statusAt
    std::vector<std::uint32_t> own; ///< attempts of this entry in flight, by rank
    std::uint32_t ownTotal { 0 }; ///< attempts of this entry in flight, over all ranks
    std::uint32_t suspects { 0 }; ///< attempts of this entry in flight whose request is suspected to crash upstreams
    std::unordered_set<RequestId> requests; ///< requests of this entry in flight at the upstream
    bool candidate { false }; ///< it is in UpstreamPool::tiers of its service
    std::vector<RoomIndex> rooms; ///< position in UpstreamPool::withRoom, by rank
    Milliseconds eligibleSince { 0 }; ///< time at which it last became a candidate, 0 when it is none
    Milliseconds ejectedUntil { 0 }; ///< end of the ejection, 0 when it is not ejected
    std::uint32_t ejections { 0 }; ///< ejections since it was last healthy for long; sets the next duration
    double errorRate { 0 }; ///< smoothed share of failed attempts, 0 to 1
    double latencyMs { 0 }; ///< smoothed time to the first part, ms
    std::uint32_t endedAttempts { 0 }; ///< attempts that ended since it was last connected or ejected
    std::uint32_t latencySamples { 0 }; ///< samples in latencyMs since it was last connected or ejected
    std::deque<std::pair<Milliseconds, std::pair<ServiceId, RequestDigest>>>
        unknowns; ///< time and request of recent Unknown results; crash suspects if the connection is lost within 1 s
};

/// All agents known to an entry.
struct UpstreamViews {
    std::vector<UpstreamView> views; ///< unused elements have an empty host and are reused
    std::vector<std::uint32_t> free; ///< indexes of unused elements
    std::unordered_map<HostId, std::uint32_t> byHost; ///< index in `views` of each host
    std::unordered_map<HostId, ServiceId> lastServices; ///< last reported service of each listed engine host
    std::uint32_t connections { 0 }; ///< number of connected views
    Milliseconds heartbeatInterval { 0 }; ///< interval that was last set, 0 before the first
    Milliseconds nextOutlierCheck { 0 }; ///< time of the next search for latency outliers
    bool subsetStale { false }; ///< the subset must be chosen again at the next tick
};

/// A point on the hash ring of a tier.
struct RingPoint {
    std::uint64_t hash { 0 }; ///< position on the ring
    std::uint32_t upstream { 0 }; ///< index in UpstreamViews::views

    auto operator<=>(const RingPoint&) const = default;
};

/// Number of distances that routing distinguishes, see UpstreamView::tier.
constexpr std::size_t tierCount = 3;

/// Routing candidates of one service. Upstreams are given by their index in UpstreamViews::views.
struct UpstreamPool {
    bool stale { true }; ///< must be rebuilt before it is used
    bool panic { false }; ///< missed heartbeats and ejections are ignored, as fewer than half of the subset is healthy
    std::array<std::vector<std::uint32_t>, tierCount> tiers; ///< candidates by tier
    std::vector<std::array<std::array<std::vector<std::uint32_t>, tierCount>, 2>>
        withRoom; ///< candidates by rank, Room (Free or Waiting) and tier
    std::array<std::vector<RingPoint>, tierCount> rings; ///< hash rings for prefix affinity, by tier
    std::array<std::uint32_t, tierCount> inFlight {}; ///< attempts of this entry in flight, by tier
    std::uint32_t ready { 0 }; ///< connected upstreams that report to be ready and are not leaving
    std::uint32_t candidates { 0 }; ///< number of candidates over all tiers
};

} // namespace hickory
