#include "slot_func.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace hickory {

namespace {

    /// Finish times kept for each rank. Idle workspaces are dropped first, so that names cannot fill the memory.
    constexpr std::size_t maxFairWorkspaces = 1024;

    const Dispatch& waitingAt(const SlotState& slots, std::size_t index)
    {
        return slots.dispatches.at(slots.waiting[index]);
    }

    /// @return true when the dispatch may start as far as suspects and the store are concerned
    bool eligible(const AgentState& state, const Dispatch& dispatch, const SlotUse& use)
    {
        if (dispatch.call.suspect && use.suspects > 0)
            return false;
        // While the store gives no answers one call row at a time is tried, so that such calls do not fill the slots.
        return !hasCallRow(dispatch) || state.now >= state.slots.storeDownUntil || use.claimingRows == 0;
    }

    double workspaceStart(const RankFairness& fairness, const WorkspaceId& workspace)
    {
        const auto found = fairness.finish.find(workspace);
        return found == fairness.finish.end() ? fairness.virtualTime : std::max(found->second, fairness.virtualTime);
    }

    /// @return for each rank the position of its next dispatch by fairness over workspaces
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
            const double start = workspaceStart(slots.fairness[rank], dispatch.call.workspace);
            if (!next[rank] || start < best[rank]) {
                next[rank] = index;
                best[rank] = start;
            }
        }
        return next;
    }

    bool underFloor(const SlotState& slots, const SlotUse& use, std::size_t rank)
    {
        return use.running[rank] < slots.ranks[rank].reserved;
    }

    /// The most urgent rank is entitled to all that the floors of the others leave: a request that waits for a borrowed
    /// slot to end by itself misses a target that is shorter than an answer. The others are entitled to their floors.
    /// @return slots that a rank may take from less urgent work
    std::uint32_t entitledSlots(const SlotState& slots, std::size_t rank)
    {
        if (rank > 0)
            return slots.ranks[rank].reserved;
        std::uint32_t left = slotLimit(slots);
        for (std::size_t other = 1; other < slots.ranks.size(); ++other)
            left -= std::min(left, slots.ranks[other].reserved);
        return std::max(left, slots.ranks[rank].reserved);
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
            ++use.freeing;
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
        if (underFloor(slots, use, rank))
            return SlotPick { .index = *next[rank], .reason = "floor" };
        if (rank == 0 && use.running[rank] < entitledSlots(slots, rank))
            urgent = SlotPick { .index = *next[rank], .reason = "urgent" };
        const double start = std::max(slots.ranks[rank].finish, slots.spareVirtualTime);
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
        slots.spareVirtualTime = std::max(share.finish, slots.spareVirtualTime);
        share.finish = slots.spareVirtualTime + costOf(dispatch) / share.spareShare;
    }
    RankFairness& fairness = slots.fairness[rank];
    const auto weight = slots.workspaceWeights.find(dispatch.call.workspace);
    const double share = weight == slots.workspaceWeights.end() ? 1.0 : weight->second;
    fairness.virtualTime = workspaceStart(fairness, dispatch.call.workspace);
    fairness.finish[dispatch.call.workspace] = fairness.virtualTime + costOf(dispatch) / share;
    // A finish time that is not ahead has no effect on the next start.
    std::erase_if(fairness.finish, [&](const auto& entry) { return entry.second <= fairness.virtualTime; });
    while (fairness.finish.size() > maxFairWorkspaces)
        fairness.finish.erase(fairness.finish.begin());
}

const Dispatch* preemptionVictim(const AgentState& state, const SlotUse& use)
{
    const SlotState& slots = state.slots;
    // Slots that are being freed serve the first claims; only the claims beyond them need another victim.
    std::uint32_t coming = use.freeing;
    std::optional<std::size_t> claimant;
    for (std::size_t rank = 0; rank < slots.ranks.size() && !claimant; ++rank) {
        const std::uint32_t entitled = entitledSlots(slots, rank);
        const std::uint32_t missing = entitled > use.running[rank] ? entitled - use.running[rank] : 0;
        const std::uint32_t claims = std::min(missing, use.waiting[rank]);
        if (claims > coming)
            claimant = rank;
        coming -= std::min(coming, claims);
    }
    if (!claimant)
        return nullptr;
    std::vector<std::uint32_t> staying = use.running;
    for (const auto& [key, dispatch] : slots.dispatches)
        if (holdsSlot(dispatch) && dispatch.cancel != CancelCause::None)
            --staying[rankOf(slots, dispatch)];
    const Dispatch* victim = nullptr;
    for (const auto& [key, dispatch] : slots.dispatches) {
        const std::size_t rank = rankOf(slots, dispatch);
        if (dispatch.phase != DispatchPhase::Running || dispatch.cancel != CancelCause::None || hasCallRow(dispatch)
            || rank <= *claimant || staying[rank] <= slots.ranks[rank].reserved)
            continue;
        // The youngest stream of a rank has the shortest context to compute again when it resumes.
        const std::size_t best = victim ? rankOf(slots, *victim) : 0;
        if (!victim || rank > best || (rank == best && dispatch.startedAt > victim->startedAt))
            victim = &dispatch;
    }
    return victim;
}

std::optional<std::size_t> displacedByArrival(const AgentState& state, const Dispatch& arriving)
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
    const auto waitingShare = [&](std::size_t rank) {
        return static_cast<std::uint32_t>(slots.ranks[rank].floor * static_cast<double>(maxWaiting(state)));
    };
    const std::size_t own = rankOf(slots, arriving);
    std::optional<std::size_t> victimRank;
    for (std::size_t rank = slots.ranks.size(); rank-- > 0 && !victimRank;)
        if (rank != own && count[rank] > waitingShare(rank) && (rank > own || count[own] < waitingShare(own)))
            victimRank = rank;
    const std::size_t rank = victimRank.value_or(own);
    const WorkspaceId* largest = nullptr;
    std::uint32_t most = 0;
    for (const auto& [key, number] : byWorkspace)
        if (key.first == rank && number > most) {
            most = number;
            largest = &key.second;
        }
    // Within its own rank a workspace gains a place only from one that stays larger than it.
    const auto mine = byWorkspace.find({ own, arriving.call.workspace });
    if (!largest || (!victimRank && most < (mine == byWorkspace.end() ? 0 : mine->second) + 2))
        return std::nullopt;
    for (std::size_t index = slots.waiting.size(); index-- > 0;) {
        const Dispatch& dispatch = waitingAt(slots, index);
        if (rankOf(slots, dispatch) == rank && dispatch.call.workspace == *largest)
            return index;
    }
    return std::nullopt;
}

} // namespace hickory
