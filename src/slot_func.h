#pragma once

#include "agent_state_type.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace hickory {

/// Slots in use, counted from the dispatches.
struct SlotUse {
    std::uint32_t total { 0 }; ///< slots taken
    std::vector<std::uint32_t> running; ///< slots taken by rank index
    std::vector<std::uint32_t> waiting; ///< waiting dispatches by rank index
    std::uint32_t suspects { 0 }; ///< suspect dispatches in a slot
    std::uint32_t claimingRows { 0 }; ///< dispatches whose call row is being moved
    std::uint32_t recording { 0 }; ///< dispatches whose outcome is being recorded
    std::uint32_t freeing { 0 }; ///< slots whose dispatch is being cancelled
};

/// A waiting dispatch that may start.
struct SlotPick {
    std::size_t index { 0 }; ///< position in SlotState::waiting
    std::string_view reason; ///< "arrival", "floor" or "spare"
};

/// @return true when the dispatch is not repeatable and has a call row
bool hasCallRow(const Dispatch& dispatch);

/// @return true when the dispatch occupies a slot
bool holdsSlot(const Dispatch& dispatch);

/// @return slots in use and waiting dispatches
SlotUse slotUse(const SlotState& slots);

/// @return slots that may be in use at once
std::uint32_t slotLimit(const SlotState& slots);

/// A burst that reaches all entries at once is dispatched several times over, because none sees the others' work yet.
/// What exceeds one round of the slots is given back at once, so that it waits at the entries, where any replica can
/// take it.
/// @return dispatches that may wait for a slot
std::size_t maxWaiting(const AgentState& state);

/// @return rank of a dispatch, limited to the ranks of the configuration
std::size_t rankOf(const SlotState& slots, const Dispatch& dispatch);

/// @return cost of a dispatch in tokens, at least 1
double costOf(const Dispatch& dispatch);

/// Chooses the next dispatch for a free slot.
/// @param state agent
/// @param use slots in use
/// @return the choice, or nothing when no waiting dispatch may start
std::optional<SlotPick> pickWaiting(const AgentState& state, const SlotUse& use);

/// Counts the start of a dispatch in the sharing between ranks and workspaces.
/// @pre the dispatch was chosen by pickWaiting with this reason
void chargeStart(SlotState& slots, const Dispatch& dispatch, std::string_view reason);

/// Chooses the stream that gives way to a waiting dispatch of a rank under its floor.
/// @param state agent
/// @param use slots in use
/// @return a running dispatch of the least urgent rank that is above its own floor, or nullptr
const Dispatch* preemptionVictim(const AgentState& state, const SlotUse& use);

/// Chooses the waiting dispatch that gives its place to an arriving one when the queue is full.
/// @param state agent
/// @param arriving the arriving dispatch
/// @return position in SlotState::waiting, or nothing when the arriving dispatch is refused
std::optional<std::size_t> displacedByArrival(const AgentState& state, const Dispatch& arriving);

} // namespace hickory
