#include "slot_cmd.h"

#include "call_row_cmd.h"
#include "engine_cmd.h"
#include "slot_dispatch_cmd.h"
#include "slot_func.h"
#include "slot_limit_cmd.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

namespace hickory {

namespace {

    /// Maximum time that a leaving agent waits for the store to record outcomes and to release call rows. It equals the
    /// maximum timeout of a dispatch.
    constexpr Milliseconds maxRecordingWait { 600000 };

    /// @return machine-readable reason why an arriving dispatch cannot be admitted, or an empty string
    std::string_view arrivalRefusalReason(const AgentState& state, const Dispatch& dispatch)
    {
        if (state.leaving)
            return "leaving";
        if (!state.config.config)
            return "no-config";
        if (!state.settings.engine && dispatch.call.service != state.settings.service)
            return "wrong-service";
        if (hasCallRow(dispatch) && isClosed(state.slots, dispatch.call.key))
            return "cancelled";
        const std::string_view refusalReason = startRefusalReason(state, dispatch);
        if (!refusalReason.empty())
            return refusalReason;
        return hasCallRow(dispatch) && !callRowsAvailable(state) ? "store-unavailable" : "";
    }

    /// Ends a dispatch that the upstream did not receive.
    void refuse(AgentState& state, const AttemptKey& key, std::string_view reason, AgentEffects& effects)
    {
        endDispatch(state, key, resultOf(DispatchResultKind::NotRun, std::string(reason)), effects);
    }

    /// Starts or queues an admitted dispatch. When the queue is full, refuses this dispatch or evicts another one.
    void enqueue(AgentState& state, const AttemptKey& key, AgentEffects& effects)
    {
        SlotState& slots = state.slots;
        const std::size_t waitingLimit = maxWaiting(state);
        slots.waiting.push_back(key);
        scheduleWaiting(state, effects);
        if (slots.waiting.size() <= waitingLimit)
            return;
        if (waitingLimit == 0) {
            refuse(state, key, "no-slot", effects);
            return;
        }
        slots.waiting.pop_back();
        const auto displaced = queueEvictionVictim(state, slots.dispatches.at(key));
        slots.waiting.push_back(key);
        refuse(state, displaced ? AttemptKey(slots.waiting[*displaced]) : key, "queue-full", effects);
    }

    /// Cancels an attempt that its entry cancelled or whose entry disconnected.
    void abandon(AgentState& state, const AttemptKey& key, CancelCause cause, AgentEffects& effects)
    {
        Dispatch& dispatch = state.slots.dispatches.at(key);
        dispatch.abandoned = true;
        if (dispatch.phase == DispatchPhase::Waiting)
            refuse(state, key, "cancelled", effects);
        else if (dispatch.phase == DispatchPhase::Running && !hasCallRow(dispatch))
            cancelRunning(dispatch, cause, effects);
        else
            // A non-repeatable call runs to completion, so that its outcome is recorded.
            effects.emplace_back(LogLine { .event = "cancel-deferred",
                .fields = { { "request", std::to_string(key.request.value) }, { "row", dispatch.row.key },
                    { "reason", "not-repeatable" } } });
    }

    /// Cancels running dispatches whose deadline has passed. Non-repeatable calls run to completion.
    void cancelExpired(AgentState& state, AgentEffects& effects)
    {
        for (auto& [key, dispatch] : state.slots.dispatches)
            if (dispatch.phase == DispatchPhase::Running && !hasCallRow(dispatch) && state.now >= dispatch.deadline)
                cancelRunning(dispatch, CancelCause::Deadline, effects);
    }

    /// Translates the end of an upstream request to the result of its dispatch.
    DispatchResult dispatchResultOf(const Dispatch& dispatch, const UpstreamEnded& event)
    {
        DispatchResult result = resultOf(DispatchResultKind::Unknown, "");
        switch (event.result) {
        case UpstreamResult::Completed:
            result = resultOf(DispatchResultKind::Completed, "");
            break;
        case UpstreamResult::Refused:
            result = resultOf(DispatchResultKind::NotRun, "upstream-refused");
            break;
        case UpstreamResult::ConnectFailed:
            result = resultOf(DispatchResultKind::NotRun, "upstream-unreachable");
            break;
        case UpstreamResult::Failed:
            result = resultOf(DispatchResultKind::Failed, "upstream-error");
            break;
        case UpstreamResult::Crashed:
            result = resultOf(DispatchResultKind::Crashed, "upstream-crashed");
            break;
        case UpstreamResult::Cancelled:
            result = dispatch.cancel == CancelCause::Preempted
                ? resultOf(DispatchResultKind::Preempted, "preempted")
                : resultOf(
                    DispatchResultKind::Unknown, dispatch.cancel == CancelCause::Deadline ? "deadline" : "cancelled");
            break;
        case UpstreamResult::TimedOut:
            result = resultOf(DispatchResultKind::Unknown, "deadline");
            break;
        }
        result.status = event.status;
        result.parts = event.parts;
        return result;
    }

} // namespace

void applyDispatchReceived(AgentState& state, const DispatchReceived& event, AgentEffects& effects)
{
    const AttemptKey& key = event.call.key;
    const auto known = state.slots.dispatches.find(key);
    if (known != state.slots.dispatches.end()) {
        if (std::exchange(known->second.answered, false))
            answerDispatch(state, known->second, resultOf(DispatchResultKind::RecordedRunning, "recording"), effects);
        // The first dispatch of the attempt sends the result; a duplicate must not run concurrently.
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "dispatch-dropped",
            .fields = { { "request", std::to_string(key.request.value) }, { "reason", "duplicate-attempt" } } });
        return;
    }
    const Dispatch dispatch { .call = event.call,
        .connection = event.connection,
        .arrivedAt = state.now,
        .deadline = state.now + event.call.timeout };
    state.slots.dispatches.emplace(key, dispatch);
    const std::string_view refusalReason = arrivalRefusalReason(state, dispatch);
    if (!refusalReason.empty())
        refuse(state, key, refusalReason, effects);
    else
        enqueue(state, key, effects);
}

void applyCancelReceived(AgentState& state, const CancelReceived& event, AgentEffects& effects)
{
    if (state.slots.dispatches.contains(event.key)) {
        abandon(state, event.key, CancelCause::Caller, effects);
        scheduleWaiting(state, effects);
    } else if (!isClosed(state.slots, event.key)) {
        // The cancellation overtook the dispatch, which must not start when it arrives.
        closeAttempt(state.slots, event.key);
    }
}

void applyEntryDetached(AgentState& state, const EntryDetached& event, AgentEffects& effects)
{
    std::vector<AttemptKey> lost;
    for (const auto& [key, dispatch] : state.slots.dispatches)
        // The entry may have connected again before the end of its old connection was noticed.
        if (key.entry == event.entry && dispatch.connection == event.connection)
            lost.push_back(key);
    effects.emplace_back(LogLine { .event = "entry-detached",
        .fields = { { "entry", event.entry.value }, { "attempts", std::to_string(lost.size()) } } });
    for (const AttemptKey& key : lost)
        abandon(state, key, CancelCause::EntryLost, effects);
    scheduleWaiting(state, effects);
}

void applyUpstreamFirstPart(AgentState& state, const UpstreamFirstPart& event, AgentEffects& effects)
{
    const auto found = state.slots.dispatches.find(event.key);
    if (found == state.slots.dispatches.end() || found->second.phase != DispatchPhase::Running
        || found->second.firstPart)
        return;
    found->second.firstPart = true;
    const Milliseconds latency = state.now - found->second.startedAt;
    effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Observe,
        .name = "first_part_ms",
        .labels = "rank=\"" + std::to_string(found->second.call.rank.value) + "\"",
        .value = static_cast<double>(latency.value) });
    recordLatency(state.slots, latency);
}

void applyUpstreamEnded(AgentState& state, const UpstreamEnded& event, AgentEffects& effects)
{
    const auto found = state.slots.dispatches.find(event.key);
    if (found == state.slots.dispatches.end() || found->second.phase != DispatchPhase::Running) {
        effects.emplace_back(LogLine { .level = LogLevel::Debug,
            .event = "upstream-end-dropped",
            .fields = { { "request", std::to_string(event.key.request.value) }, { "reason", "not-running" } } });
        return;
    }
    Dispatch& dispatch = found->second;
    recordUpstreamResult(state, event.result, effects);
    DispatchResult result = dispatchResultOf(dispatch, event);
    const bool outcomeKnown = result.kind == DispatchResultKind::Completed || result.kind == DispatchResultKind::Failed;
    dispatch.answerTooLong = event.answerTooLong;
    if (hasCallRow(dispatch) && outcomeKnown)
        recordOutcome(state, dispatch, std::move(result), event.answer, event.contentType, effects);
    else if (hasCallRow(dispatch) && result.kind == DispatchResultKind::NotRun)
        releaseRow(state, dispatch, std::move(result), effects);
    else if (hasCallRow(dispatch))
        recordUnknownOutcome(state, dispatch, std::move(result), effects);
    else
        endDispatch(state, event.key, std::move(result), effects);
    scheduleWaiting(state, effects);
}

void applyConfigToSlots(AgentState& state, AgentEffects& effects)
{
    refreshShares(state, effects);
    scheduleWaiting(state, effects);
}

void tickSlots(AgentState& state, AgentEffects& effects)
{
    if (state.leaving && state.slots.leavingSince.value < 0)
        state.slots.leavingSince = state.now;
    cancelExpired(state, effects);
    tickCallRows(state, effects);
    tickLimit(state, effects);
    scheduleWaiting(state, effects);
}

std::size_t dispatchesInProgress(const AgentState& state)
{
    const SlotState& slots = state.slots;
    if (slots.leavingSince.value >= 0 && state.now - slots.leavingSince > maxRecordingWait)
        return slotUse(slots).total + slots.waiting.size();
    return slots.dispatches.size() + slots.releases.size();
}

void fillSlotStatus(const AgentState& state, AgentStatus& status)
{
    const SlotState& slots = state.slots;
    const SlotUse use = slotUse(slots);
    status.limit = slotLimit(slots);
    status.ranks.resize(slots.ranks.size());
    for (std::size_t rank = 0; rank < slots.ranks.size(); ++rank)
        status.ranks[rank] = { .running = use.running[rank], .queued = use.waiting[rank] };
    status.queuedTokens = {};
    for (const AttemptKey& key : slots.waiting)
        status.queuedTokens.value += slots.dispatches.at(key).call.cost.value;
    status.latency = { std::lround(slots.limit.shortTermLatency) };
}

} // namespace hickory
