#pragma once

#include "stage_state_type.h"

#include <vector>

namespace hickory {

/// @return an empty state
StageState makeStageState(const StageOptions& options);

/// Decides on one event: which pieces are fetched where, and when the engine is ordered to load them.
/// @return what to do, in order
std::vector<StageEffect> reduceStage(StageState& state, const StageEvent& event, Milliseconds now);

/// Chooses where a piece is fetched. While no engine holds the version, each piece comes from the origin to one host,
/// from there to one host of each other place, and from that to the rest of the place, so that the origin sends about
/// one copy and each link between places carries about one.
/// @param failures sources that did not give the piece so far
StageSource chooseSource(const StageState& state, std::uint32_t piece, std::uint32_t failures, std::uint64_t draw);

/// When this host's engine may be ordered to load, so that the engines of a service load one after the other.
/// Answers a new version under full load: an engine that loads finishes its work first and takes nothing new.
/// @return time from the declaration of the version
Milliseconds orderTurn(const StageState& state);

/// @return whether the engine holds the wanted version whole
bool engineCurrent(const StageState& state);

/// @return whether entries should keep new work away: an order is announced, or given and not yet in effect
bool orderPending(const StageState& state);

} // namespace hickory
