#pragma once

#include "agent_state_type.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace hickory {

/// Slots in use and waiting dispatches, counted from SlotState::dispatches.
struct SlotUse {
    std::uint32_t total { 0 }; ///< slots in use
    std::vector<std::uint32_t> running; ///< slots in use, by rank index
    std::vector<std::uint32_t> waiting; ///< waiting dispatches, by rank index
    std::uint32_t suspects { 0 }; ///< slots in use by suspect dispatches
    std::uint32_t claimingRows { 0 }; ///< slots in use by dispatches that are claiming their call row
    std::uint32_t recording { 0 }; ///< dispatches without a slot whose outcome is being recorded
    std::uint32_t cancelling { 0 }; ///< slots in use by dispatches that are being cancelled
};

/// The waiting dispatch that gets the next free slot.
struct SlotPick {
    std::size_t index { 0 }; ///< index in SlotState::waiting
    std::string_view reason; ///< rule that chose it: "arrival", "floor", "urgent" or "spare"
};

/// @return true when the dispatch is a non-repeatable call, whose outcome is recorded in a call row
bool hasCallRow(const Dispatch& dispatch);

/// @return true when the dispatch occupies a slot
bool holdsSlot(const Dispatch& dispatch);

/// @return slots in use and waiting dispatches
SlotUse slotUse(const SlotState& slots);

/// @return concurrency limit in force: slots that may be in use at once
std::uint32_t slotLimit(const SlotState& slots);

/// Limits the queue to the number of slots. When a burst reaches all entries at once, each of them fills the upstream,
/// because none knows the others' load yet. The excess is refused at once, so that it waits at the entries, from where
/// it can go to any upstream.
/// @return maximum number of dispatches that wait for a slot
std::size_t maxWaiting(const AgentState& state);

/// @return rank index of a dispatch; a rank that the configuration does not have counts as the least urgent one
std::size_t rankOf(const SlotState& slots, const Dispatch& dispatch);

/// @return cost of a dispatch in tokens, at least 1
double costOf(const Dispatch& dispatch);

/// Chooses the next dispatch for a free slot.
/// @param use result of slotUse() for the present state
/// @return the choice, or nothing when no waiting dispatch may start now
std::optional<SlotPick> pickWaiting(const AgentState& state, const SlotUse& use);

/// Charges the cost of a started dispatch to its workspace and, on a spare slot, to its rank.
/// @param reason SlotPick::reason of the choice
void chargeStart(SlotState& slots, const Dispatch& dispatch, std::string_view reason);

/// Chooses the running dispatch to preempt for a waiting one of a more urgent rank that is below its entitlement: its
/// floor or, for the most urgent rank, all slots that the floors of the others leave.
/// @param use result of slotUse() for the present state
/// @return the youngest dispatch of the least urgent rank above its own floor, or nullptr when none must be preempted
const Dispatch* preemptionVictim(const AgentState& state, const SlotUse& use);

/// Chooses the waiting dispatch to evict in favour of an arriving one when the queue is full.
/// @param state agent
/// @param arriving the arriving dispatch, not in the queue
/// @return index in SlotState::waiting, or nothing when the arriving dispatch is to be refused
std::optional<std::size_t> queueEvictionVictim(const AgentState& state, const Dispatch& arriving);

} // namespace hickory
