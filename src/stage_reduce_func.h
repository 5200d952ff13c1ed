#pragma once

#include "stage_state_type.h"

#include <vector>

namespace hickory {

/// @return a state without jobs, seeded from the options
StageState makeStageState(const StageOptions& options);

/// Applies one event: decides which pieces are fetched from where, and when the engine is ordered to load them.
/// @return actions to take, in order
std::vector<StageEffect> reduceStage(StageState& state, const StageEvent& event, Milliseconds now);

/// How long this host waits before its engine may be ordered to load a version, so that the engines of a service load
/// one after the other. An engine that loads finishes its running requests first and accepts no new ones; under full
/// load, too many engines loading at once would leave too little capacity.
/// @return delay after the version became known
Milliseconds loadOrderDelay(const StageState& state, WeightsVersion version);

/// @return whether the engine has no complete version of the model, and so can serve nothing
bool engineHasNoWeights(const StageState& state);

/// Load pattern: the whole fleet is back after a loss of power, and its engines hold nothing.
/// @return share of the host's link that uploads of pieces may use
double uploadLinkShare(const StageState& state);

/// @return whether the engine holds all layers of a version or of a newer one
bool engineHolds(const StageState& state, WeightsVersion version);

/// @return the newest version to bring into service, 0 when none is known
WeightsVersion newestWanted(const StageState& state);

/// @return pieces that this host holds and offers to other agents
std::vector<PieceSet> ownPieces(const StageState& state);

/// @return the subset of ownPieces() that came from the origin; other data centres may not have these yet
std::vector<PieceSet> piecesFromOrigin(const StageState& state);

/// @param held versions whose pieces are in memory, ascending
/// @param maxHeld number of versions to keep
/// @return those to drop: the oldest that are not being brought into service
std::vector<WeightsVersion> versionsToDrop(
    const StageState& state, const std::vector<WeightsVersion>& held, std::size_t maxHeld);

/// @return whether entries should send no new work: a load order is announced, or sent and not yet in effect
bool orderPending(const StageState& state);

/// @return whether the load of an accepted order waits only for the last few requests at the engine, so that entries
/// should move them
bool isClearing(const StageState& state);

} // namespace hickory
