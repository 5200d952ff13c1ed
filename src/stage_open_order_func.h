#pragma once

#include "stage_state_type.h"

namespace hickory {

// An order without an answer may be accepted at any later time, and the engine then loads what is staged at that
// moment. No wait proves that this will not happen. The engine's count of accepted orders does: an order is accepted
// only while the count is the one that the order names.

/// What the answer to a load order says.
enum class OrderAnswer : std::uint8_t {
    Accepted, ///< the load has begun, or the version is in service
    Refused, ///< this order will not be accepted
    Missing, ///< no answer, or one that does not say whether the order was accepted
};

/// What is known of an open order.
enum class OrderOutcome : std::uint8_t {
    Open, ///< it may still be accepted
    Accepted, ///< the process that it was sent to has accepted it or another one, and refuses it from now on
    Void, ///< it will not be accepted: refused, never sent, or its process is gone
};

/// @return what an answer says; only a status by which the protocol states a refusal counts as one
OrderAnswer readOrderAnswer(const LoadOrderAnswered& event);

/// Records that an order is about to be sent. One for the same version that is still open counts as repeated.
void openOrder(StageState& state, WeightsVersion version, const EngineReport& confirmed);

/// Settles the open order by the answer to the last one sent. A refusal of a repeated order says nothing about the
/// earlier one.
OrderOutcome settleByAnswer(StageState& state, const LoadOrderAnswered& event, Milliseconds now);

/// Settles the open order by a report of the engine: by its count of accepted orders, its weights or a restart.
/// @pre the report is the state's
OrderOutcome settleByReport(StageState& state, const EngineReportRead& event);

/// Assumes that a former process of this agent has sent an order, whose version is not known.
/// @param event the first report of the engine
void suspectFormerOrder(StageState& state, const EngineReportRead& event, Milliseconds now);

/// Applies what the staging area holds. If that is the wanted version, the order is adopted: the order for it is
/// repeated. If a piece is missing, no former process has ordered anything: it would have read all pieces back.
void applyInspection(StageState& state, const StagedPiecesInspected& event, Milliseconds now);

/// Gives up waiting for a former order whose version is not known. Nothing proves that it is not accepted later.
/// @return whether it did so
bool expireFormerOrder(StageState& state, Milliseconds now);

/// @return whether a write of another version, which was given up, may still replace a piece of this one
bool mayBeOverwritten(const StageState& state, WeightsVersion version, Milliseconds now);

/// @return whether an order for a version is open
bool isOpenFor(const StageState& state, WeightsVersion version);

/// @return whether pieces of a version may be written to the staging area: no order for another version is open
bool mayStage(const StageState& state, WeightsVersion version);

} // namespace hickory
