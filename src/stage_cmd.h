#pragma once

#include "stage_reduce_func.h"

namespace hickory {

using StageEffects = std::vector<StageEffect>;

/// What became of the first of two versions when its job is removed.
enum class FirstJobEnd : std::uint8_t {
    InService, ///< the engine holds it
    Ordered, ///< its load was ordered, and no report shows yet that the engine holds it
    Skipped, ///< it will not be loaded
};

// Steps of reduceStage(). Each appends the actions to take to `effects`.

/// @return number of pieces of a job that are at the given step
std::size_t countStep(const StageJob& job, PieceStep step);
/// @return whether all pieces of a job are staged; false while the manifest is unknown
bool allStaged(const StageJob& job);
/// @return the job of a version, or nullptr
StageJob* findJob(StageState& state, WeightsVersion version);

/// Requests the manifest of a version once chooseManifestSource() names a source.
void requestManifest(StageState& state, StageJob& job, Milliseconds now, StageEffects& effects);
/// Requests missing pieces of a version, up to the limits on requests in flight.
/// @param sharedOnly requests only pieces that are fetched on behalf of other hosts as well
void requestPieces(StageState& state, StageJob& job, bool sharedOnly, Milliseconds now, StageEffects& effects);
/// Writes pieces of a job that are held in memory to the engine's staging area.
void stagePieces(StageState& state, StageJob& job, StageEffects& effects);
/// Creates the pieces of a job from its manifest, or schedules a retry.
void applyManifest(StageState& state, const ManifestFetched& event, Milliseconds now);
/// Records a fetched piece, or schedules a retry from the next source.
void applyPiece(StageState& state, const PieceFetched& event, Milliseconds now, StageEffects& effects);
/// Merges an announcement into what is known of the sender's pieces.
void applyPeerPiecesReceived(StageState& state, const PeerPiecesReceived& event, Milliseconds now);
/// Records the result of writing a piece to the staging area.
void applyStaged(StageState& state, const PieceStaged& event, Milliseconds now, StageEffects& effects);

/// @return whether a load order for a job was sent, which the engine has not refused
bool isOrdered(const StageJob& job);
/// Removes the first job and continues with the version declared after it.
/// @param reason for the log
/// @param end what became of its version, which decides whether its bound passes to the next one
/// @pre there are two jobs, and no order for the first one is open
void dropFirstJob(StageState& state, const char* reason, FirstJobEnd end, StageEffects& effects);
/// @return whether the first version can no longer be in service before the second one must be
/// @pre there are two jobs
bool firstJobIsTooLate(const StageState& state, Milliseconds now);
/// Brings the first version into service once all its pieces are staged: checks them, informs the entries, lets the
/// engine drain and sends the load order.
/// @pre there is a job and the engine's report is known
void advanceOrder(StageState& state, Milliseconds now, StageEffects& effects);
/// Sends the load order once the engine has reported that it is still the process whose staged pieces were read back:
/// a restarted one may have lost them, and counts its orders anew. Repeats the read-back or the poll if it is too old
/// by now, e.g. because this process stood still.
/// @pre there is a job, and a report of another process has reset it
void confirmOrder(StageState& state, const EngineReportRead& event, Milliseconds now, StageEffects& effects);
/// Reads the staged pieces of a job back. A result of an earlier read-back is dropped from now on.
void startCheck(StageState& state, StageJob& job, CheckPurpose purpose, Milliseconds now, StageEffects& effects);
/// Gives up the load order in progress, with its read-back.
void withdrawOrder(StageJob& job);
/// Announces the load order when the read-back succeeded, or marks bad pieces for staging again.
void applyChecked(StageState& state, const StagedPiecesChecked& event, Milliseconds now, StageEffects& effects);
/// Settles the open order by a report, or repeats it while the report shows that it was not accepted. A repeated order
/// expects the same count, so the engine accepts only one of them.
/// @pre there is a job and the engine's report is known
void applyReportToOrder(StageState& state, const EngineReportRead& event, Milliseconds now, StageEffects& effects);
/// Applies the engine's response to a load order.
void applyOrder(StageState& state, const LoadOrderAnswered& event, Milliseconds now, StageEffects& effects);

} // namespace hickory
