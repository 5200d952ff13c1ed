#include "slot_func.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace hickory {

namespace {

    /// Maximum number of workspace finish times kept per rank, so that arbitrary workspace names cannot exhaust memory.
    /// Those of idle workspaces are dropped first.
    constexpr std::size_t maxFinishTimes = 1024;

    const Dispatch& waitingAt(const SlotState& slots, std::size_t index)
    {
        return slots.dispatches.at(slots.waiting[index]);
    }

    /// @return true when the rules for suspects and for call rows permit the dispatch to start
    bool eligible(const AgentState& state, const Dispatch& dispatch, const SlotUse& use)
    {
        if (dispatch.call.suspect && use.suspects > 0)
            return false;
        // While the store is unavailable only one call row is claimed at a time, so that non-repeatable calls do not
        // occupy all slots.
        return !hasCallRow(dispatch) || state.now >= state.slots.storeDownUntil || use.claimingRows == 0;
    }

    /// @return virtual start time of the next dispatch of a workspace
    double virtualStartTime(const RankFairness& fairness, const WorkspaceId& workspace)
    {
        const auto found = fairness.finishTime.find(workspace);
        return found == fairness.finishTime.end() ? fairness.virtualTime
                                                  : std::max(found->second, fairness.virtualTime);
    }

    /// @return for each rank the index in SlotState::waiting of its next dispatch by fair queueing over workspaces
    std::vector<std::optional<std::size_t>> nextByRank(const AgentState& state, const SlotUse& use)
    {
        const SlotState& slots = state.slots;
        std::vector<std::optional<std::size_t>> next(slots.ranks.size());
        std::vector<double> best(slots.ranks.size(), 0.0);
        for (std::size_t index = 0; index < slots.waiting.size(); ++index) {
            const Dispatch& dispatch = waitingAt(slots, index);
            if (!eligible(state, dispatch, use))
                continue;
            const std::size_t rank = rankOf(slots, dispatch);
            const double start = virtualStartTime(slots.fairness[rank], dispatch.call.workspace);
            if (!next[rank] || start < best[rank]) {
                next[rank] = index;
                best[rank] = start;
            }
        }
        return next;
    }

    bool belowFloor(const SlotState& slots, const SlotUse& use, std::size_t rank)
    {
        return use.running[rank] < slots.ranks[rank].reservedSlots;
    }

    /// The most urgent rank is entitled to all slots that the floors of the others leave, since its latency target is
    /// shorter than a response: a request that waits for a borrowed slot to become free misses it. The other ranks are
    /// entitled to their floors.
    /// @return slots up to which a rank may preempt less urgent ranks
    std::uint32_t entitledSlots(const SlotState& slots, std::size_t rank)
    {
        if (rank > 0)
            return slots.ranks[rank].reservedSlots;
        std::uint32_t left = slotLimit(slots);
        for (std::size_t other = 1; other < slots.ranks.size(); ++other)
            left -= std::min(left, slots.ranks[other].reservedSlots);
        return std::max(left, slots.ranks[rank].reservedSlots);
    }

} // namespace

bool hasCallRow(const Dispatch& dispatch) { return !dispatch.call.idempotencyKey.empty(); }

bool holdsSlot(const Dispatch& dispatch)
{
    return dispatch.phase == DispatchPhase::ClaimingRow || dispatch.phase == DispatchPhase::Running;
}

SlotUse slotUse(const SlotState& slots)
{
    SlotUse use;
    use.running.resize(slots.ranks.size());
    use.waiting.resize(slots.ranks.size());
    for (const auto& [key, dispatch] : slots.dispatches) {
        const std::size_t rank = rankOf(slots, dispatch);
        if (dispatch.phase == DispatchPhase::Recording)
            ++use.recording;
        if (dispatch.phase == DispatchPhase::Waiting && rank < use.waiting.size())
            ++use.waiting[rank];
        if (!holdsSlot(dispatch))
            continue;
        ++use.total;
        if (rank < use.running.size())
            ++use.running[rank];
        if (dispatch.call.suspect)
            ++use.suspects;
        if (dispatch.phase == DispatchPhase::ClaimingRow)
            ++use.claimingRows;
        if (dispatch.cancel != CancelCause::None)
            ++use.cancelling;
    }
    return use;
}

std::uint32_t slotLimit(const SlotState& slots)
{
    return std::min(slots.concurrency, static_cast<std::uint32_t>(std::lround(slots.limit.value)));
}

std::size_t maxWaiting(const AgentState& state)
{
    return std::min<std::size_t>(state.settings.maxQueued, std::max(1U, slotLimit(state.slots)));
}

std::size_t rankOf(const SlotState& slots, const Dispatch& dispatch)
{
    const std::size_t last = slots.ranks.empty() ? 0 : slots.ranks.size() - 1;
    return std::min<std::size_t>(dispatch.call.rank.value, last);
}

double costOf(const Dispatch& dispatch)
{
    return static_cast<double>(std::max<std::uint64_t>(dispatch.call.cost.value, 1));
}

std::optional<SlotPick> pickWaiting(const AgentState& state, const SlotUse& use)
{
    const SlotState& slots = state.slots;
    if (state.settings.slotPolicy == SlotPolicy::Fifo) {
        for (std::size_t index = 0; index < slots.waiting.size(); ++index)
            if (eligible(state, waitingAt(slots, index), use))
                return SlotPick { .index = index, .reason = "arrival" };
        return std::nullopt;
    }
    const auto next = nextByRank(state, use);
    std::optional<SlotPick> pick;
    std::optional<SlotPick> urgent;
    double best = 0.0;
    for (std::size_t rank = 0; rank < next.size(); ++rank) {
        if (!next[rank])
            continue;
        if (belowFloor(slots, use, rank))
            return SlotPick { .index = *next[rank], .reason = "floor" };
        if (rank == 0 && use.running[rank] < entitledSlots(slots, rank))
            urgent = SlotPick { .index = *next[rank], .reason = "urgent" };
        const double start = std::max(slots.ranks[rank].finishTime, slots.spareVirtualTime);
        if (!pick || start < best) {
            pick = SlotPick { .index = *next[rank], .reason = "spare" };
            best = start;
        }
    }
    return urgent ? urgent : pick;
}

void chargeStart(SlotState& slots, const Dispatch& dispatch, std::string_view reason)
{
    const std::size_t rank = rankOf(slots, dispatch);
    if (reason == "spare") {
        RankShare& share = slots.ranks[rank];
        slots.spareVirtualTime = std::max(share.finishTime, slots.spareVirtualTime);
        share.finishTime = slots.spareVirtualTime + costOf(dispatch) / share.spareWeight;
    }
    RankFairness& fairness = slots.fairness[rank];
    const auto weight = slots.workspaceWeights.find(dispatch.call.workspace);
    const double share = weight == slots.workspaceWeights.end() ? 1.0 : weight->second;
    fairness.virtualTime = virtualStartTime(fairness, dispatch.call.workspace);
    fairness.finishTime[dispatch.call.workspace] = fairness.virtualTime + costOf(dispatch) / share;
    // A finish time that is not ahead of virtual time doesn't affect the next start.
    std::erase_if(fairness.finishTime, [&](const auto& entry) { return entry.second <= fairness.virtualTime; });
    while (fairness.finishTime.size() > maxFinishTimes)
        fairness.finishTime.erase(fairness.finishTime.begin());
}

const Dispatch* preemptionVictim(const AgentState& state, const SlotUse& use)
{
    const SlotState& slots = state.slots;
    // Slots of dispatches that are already being cancelled satisfy the most urgent claims first.
    std::uint32_t slotsBeingFreed = use.cancelling;
    std::optional<std::size_t> claimingRank;
    for (std::size_t rank = 0; rank < slots.ranks.size() && !claimingRank; ++rank) {
        const std::uint32_t entitled = entitledSlots(slots, rank);
        const std::uint32_t missing = entitled > use.running[rank] ? entitled - use.running[rank] : 0;
        const std::uint32_t claims = std::min(missing, use.waiting[rank]);
        if (claims > slotsBeingFreed)
            claimingRank = rank;
        slotsBeingFreed -= std::min(slotsBeingFreed, claims);
    }
    if (!claimingRank)
        return nullptr;
    std::vector<std::uint32_t> remaining = use.running;
    for (const auto& [key, dispatch] : slots.dispatches)
        if (holdsSlot(dispatch) && dispatch.cancel != CancelCause::None)
            --remaining[rankOf(slots, dispatch)];
    const Dispatch* victim = nullptr;
    for (const auto& [key, dispatch] : slots.dispatches) {
        const std::size_t rank = rankOf(slots, dispatch);
        if (dispatch.phase != DispatchPhase::Running || dispatch.cancel != CancelCause::None || hasCallRow(dispatch)
            || rank <= *claimingRank || remaining[rank] <= slots.ranks[rank].reservedSlots)
            continue;
        // The youngest stream of a rank has the shortest context to recompute when it resumes.
        const std::size_t best = victim ? rankOf(slots, *victim) : 0;
        if (!victim || rank > best || (rank == best && dispatch.startedAt > victim->startedAt))
            victim = &dispatch;
    }
    return victim;
}

std::optional<std::size_t> queueEvictionVictim(const AgentState& state, const Dispatch& arriving)
{
    const SlotState& slots = state.slots;
    if (state.settings.slotPolicy == SlotPolicy::Fifo || slots.ranks.empty())
        return std::nullopt;
    std::vector<std::uint32_t> count(slots.ranks.size());
    std::map<std::pair<std::size_t, WorkspaceId>, std::uint32_t> byWorkspace;
    for (const AttemptKey& key : slots.waiting) {
        const Dispatch& dispatch = slots.dispatches.at(key);
        ++count[rankOf(slots, dispatch)];
        ++byWorkspace[{ rankOf(slots, dispatch), dispatch.call.workspace }];
    }
    const auto guaranteedPlaces = [&](std::size_t rank) {
        return static_cast<std::uint32_t>(slots.ranks[rank].floor * static_cast<double>(maxWaiting(state)));
    };
    const std::size_t ownRank = rankOf(slots, arriving);
    std::optional<std::size_t> victimRank;
    for (std::size_t rank = slots.ranks.size(); rank-- > 0 && !victimRank;)
        if (rank != ownRank && count[rank] > guaranteedPlaces(rank)
            && (rank > ownRank || count[ownRank] < guaranteedPlaces(ownRank)))
            victimRank = rank;
    const std::size_t rank = victimRank.value_or(ownRank);
    const WorkspaceId* largestWorkspace = nullptr;
    std::uint32_t largestCount = 0;
    for (const auto& [key, number] : byWorkspace)
        if (key.first == rank && number > largestCount) {
            largestCount = number;
            largestWorkspace = &key.second;
        }
    // Within its own rank a workspace may evict only from one that still has more waiting dispatches afterwards.
    const auto ownCount = byWorkspace.find({ ownRank, arriving.call.workspace });
    if (!largestWorkspace || (!victimRank && largestCount < (ownCount == byWorkspace.end() ? 0 : ownCount->second) + 2))
        return std::nullopt;
    for (std::size_t index = slots.waiting.size(); index-- > 0;) {
        const Dispatch& dispatch = waitingAt(slots, index);
        if (rankOf(slots, dispatch) == rank && dispatch.call.workspace == *largestWorkspace)
            return index;
    }
    return std::nullopt;
}

} // namespace hickory
