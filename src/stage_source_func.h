#pragma once

#include "stage_state_type.h"

#include <optional>

namespace hickory {

/// Chooses where a missing piece is fetched from. Holders in the same data centre come first. A piece that only other
/// data centres hold is fetched by one designated host of this data centre; a piece that no host holds is fetched from
/// the origin by one designated host of the service. Thereby the origin sends about one copy of a version, and each
/// link between data centres carries about one. The designation moves to another host after a timeout, so that a lost
/// or slow host delays a piece without blocking it.
/// @param job version that the piece belongs to; records when another data centre was first seen to hold the piece
/// @param piece index of the piece
/// @return the source, or nothing while another host is designated, all holders have the most requests allowed from
/// this host, or the origin's turn for this piece has not come
std::optional<StageSource> chooseSource(StageState& state, StageJob& job, std::uint32_t piece, Milliseconds now);

/// Orders the hosts of the service pseudo-randomly; all agents compute the same order.
/// @param key seed of the order; different keys give unrelated orders
/// @return number of hosts that come before this one
std::int64_t hostPosition(const StageState& state, const std::string& key);

/// Chooses where the manifest of a version is fetched from. An agent that announced pieces of the version has its
/// manifest and is preferred. Without such an agent a few hosts ask the origin, and more of them as time passes: all
/// hosts learn of a version at about the same time, and the origin accepts few connections and needs its bandwidth for
/// pieces.
/// @return the source, or nothing while other hosts ask the origin
std::optional<StageSource> chooseManifestSource(StageState& state, const StageJob& job, Milliseconds now);

/// @return whether a piece from this source is fetched on behalf of other hosts as well: true for the origin and for
/// hosts of other data centres
bool isShared(const StageState& state, const StageSource& source);

} // namespace hickory
