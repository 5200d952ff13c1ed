#pragma once

#include "stage_state_type.h"

#include <optional>

namespace hickory {

/// Chooses where a missing piece is fetched now. Hosts of the same place that hold it come first. A piece that only
/// other places hold is fetched by one host of this place, a piece that nobody holds by one host of the fleet, from
/// the origin; so the origin sends about one copy and each link between places carries about one. After a while the
/// duty passes on to another host, so that a lost or slow host delays a piece and does not stop it.
/// @param job version that the piece belongs to; notes when the piece was first seen elsewhere
/// @return the source, or nothing while another host has the duty
std::optional<StageSource> chooseSource(StageState& state, StageJob& job, std::uint32_t piece, Milliseconds now);

/// @param key differs from one question of order to the next
/// @return how many hosts of the service come before this one in an order that follows from the key
std::int64_t hostPosition(const StageState& state, const std::string& key);

/// Chooses where the digests of a version are fetched now: from an agent that told of its pieces, which it knows by
/// their digests; otherwise a few hosts ask the origin, and more of them as time passes.
/// Answers a declaration that all hosts learn of at once: the origin takes few connections, and its link carries
/// pieces.
/// @return the source, or nothing while other hosts ask the origin
std::optional<StageSource> chooseManifestSource(StageState& state, const StageJob& job, Milliseconds now);

/// @return whether a source is used on behalf of other hosts, too: the origin, or a host of another place
bool isShared(const StageState& state, const StageSource& source);

} // namespace hickory
