#pragma once

#include "stage_reduce_func.h"

namespace hickory {

using StageEffects = std::vector<StageEffect>;

/// Steps of the agent's reducer. Each appends what is to be done to `effects`.

/// @return pieces of a version that have come that far
std::size_t countStep(const StageJob& job, PieceStep step);
/// @return whether all pieces of a version lie beside the engine
bool allStaged(const StageJob& job);
/// @return the work on a version, or nullptr
StageJob* findJob(StageState& state, WeightsVersion version);

/// Asks for the digests of a version where that is this host's turn.
void requestManifest(StageState& state, StageJob& job, Milliseconds now, StageEffects& effects);
/// Asks for missing pieces of a version, as many as the link carries.
/// @param sharedOnly asks only for what is fetched on behalf of other hosts, too
void requestPieces(StageState& state, StageJob& job, bool sharedOnly, Milliseconds now, StageEffects& effects);
/// Writes pieces that are held beside the engine.
void writePieces(StageJob& job, StageEffects& effects);
void applyManifest(StageState& state, const ManifestFetched& event, Milliseconds now);
void applyPiece(StageState& state, const PieceFetched& event, Milliseconds now, StageEffects& effects);
void applyPeerPiecesReceived(StageState& state, const PeerPiecesReceived& event, Milliseconds now);
void applyStaged(StageState& state, const PieceStaged& event, Milliseconds now, StageEffects& effects);

/// Goes on to the version declared after the first one. What is written beside the engine from now on does not
/// change what an accepted order loads.
void dropFirst(StageState& state, const char* reason, StageEffects& effects);
/// @return whether the version declared after the first one will be required before the first could serve
bool firstIsTooLate(const StageState& state, Milliseconds now);
/// Brings the first version into service once all its pieces are staged: checks them, tells the entries, and orders.
void advanceOrder(StageState& state, Milliseconds now, StageEffects& effects);
void applyChecked(StageState& state, const StagedPiecesChecked& event, Milliseconds now, StageEffects& effects);
void applyOrder(StageState& state, const LoadOrderAnswered& event, Milliseconds now, StageEffects& effects);

} // namespace hickory
