#pragma once

#include "relay_state_type.h"

#include <cstddef>
#include <optional>

namespace hickory {

// Load that upstreams state in their answers, and the choice among upstreams on load information that is some hundred
// milliseconds old. All of it acts only for services whose upstreams state a slowdown.

/// Records the load that an upstream stated in an answer to this entry.
void recordStatedLoad(RelayState& state, RelayUpstream& view, const std::optional<StatedLoad>& load, Milliseconds now);

/// @return whether an upstream of a service stated a slowdown lately
bool statesSlowdown(const RelayState& state, const ServiceId& service, Milliseconds now);

/// @return whether an upstream of any service stated a slowdown lately
bool anyStatesSlowdown(const RelayState& state, Milliseconds now);

/// @return expected time of work at an upstream relative to the usual time, at least 1, by its last statement or its
/// agent's report, whichever is newer; 1 once that is older than slowdownDecay
double expectedSlowdown(const RelayUpstream& view, Milliseconds now);

/// @return time since the slowdown of expectedSlowdown() was stated or read, or nothing if none is known
std::optional<Milliseconds> slowdownAge(const RelayUpstream& view, Milliseconds now);

/// @return requests that other entries have at least at an upstream, as it stated; 0 once that is too old
std::uint32_t statedByOthers(const RelayUpstream& view, Milliseconds now);

/// @param tokens unread prompt tokens as reported
/// @param tokensPerMs tokens that the engine reads in 1 ms
/// @param age time since the report
/// @return those that are still unread. What was sent there since is unknown, and no less at other engines.
std::uint32_t unreadAfter(std::uint32_t tokens, double tokensPerMs, Milliseconds age);

/// Spreads the entries of a data centre over its upstreams, so that entries with the same information do not choose the
/// same one. Entries and upstreams lie on a ring, at points that are spread evenly over it. An entry prefers the
/// upstreams near its own point: it knows their load best, since much of it is its own.
/// @param entryPosition of the entry among those of its data centre, as in RingPosition
/// @param index number of the upstream among those of its service and data centre, in the order of their ids
/// @param count number of these upstreams
/// @return distance between entry and upstream, 0 to 1
double ringDistance(std::uint32_t entryPosition, std::size_t index, std::size_t count);

/// Records this entry's place among the entries of its data centre. A changed place counts after ringPositionHold, so
/// that an entry which restarts does not move those after it by name: each move opens new connections, and until all
/// have moved, two entries prefer the same upstreams. Right after the start, while entries become known, it counts at
/// once.
/// @param counted as in EntryCountUpdated::positionHere
void recordRingPosition(RingPosition& position, std::uint32_t counted, Milliseconds now);

/// Numbers the listed upstreams of each service in this data centre, for ringDistance().
void numberUpstreams(RelayState& state);

} // namespace hickory
