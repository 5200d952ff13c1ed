#pragma once

#include "stage_state_type.h"

#include <vector>

namespace hickory {

/// @return an empty state
StageState makeStageState(const StageOptions& options);

/// Decides on one event: which pieces are fetched where, and when the engine is ordered to load them.
/// @return what to do, in order
std::vector<StageEffect> reduceStage(StageState& state, const StageEvent& event, Milliseconds now);

/// When this host's engine may be ordered to load, so that the engines of a service load one after the other.
/// Answers a new version under full load: an engine that loads finishes its work first and takes nothing new.
/// @return time from the declaration of the version
Milliseconds orderTurn(const StageState& state, WeightsVersion version);

/// @return whether the engine holds a version, or a newer one, whole
bool engineHolds(const StageState& state, WeightsVersion version);

/// @return the newest version to bring into service, 0 when none is known
WeightsVersion newestWanted(const StageState& state);

/// @return the pieces that this host holds and gives to others
std::vector<PieceSet> ownPieces(const StageState& state);

/// @return of these the pieces that came from the origin, which no host of another data centre may have yet
std::vector<PieceSet> originPieces(const StageState& state);

/// @return whether entries should keep new work away: an order is announced, or given and not yet in effect
bool orderPending(const StageState& state);

} // namespace hickory
