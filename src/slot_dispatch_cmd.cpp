#include "slot_dispatch_cmd.h"

#include "call_row_cmd.h"
#include "engine_cmd.h"
#include "slot_cmd.h"
#include "slot_func.h"

#include <algorithm>
#include <array>
#include <utility>

namespace hickory {

namespace {

    /// Maximum number of closed attempts that are remembered. A duplicate or late dispatch arrives on the same
    /// connection, hence among the last few hundred.
    constexpr std::size_t maxClosedAttempts = 1024;

    /// Time for which dispatches stay queued while the upstream is not ready. A single failed poll must not refuse
    /// them.
    constexpr Milliseconds notReadyGrace { 1000 };

    /// Names of the results in logs and metric labels, in the order of DispatchResultKind.
    constexpr std::array<const char*, 10> resultNames { "completed", "not-run", "failed", "unknown", "crashed",
        "preempted", "recorded-done", "recorded-running", "recorded-unknown", "key-conflict" };

    const char* resultName(DispatchResultKind kind) { return resultNames.at(static_cast<std::size_t>(kind)); }

    /// @return the agent's status with its present load and a new sequence number
    AgentStatus currentStatus(AgentState& state)
    {
        AgentStatus status = state.published;
        status.sequence = ++state.statusSequence;
        status.leaving = state.leaving;
        fillSlotStatus(state, status);
        fillEngineStatus(state, status);
        status.ready = status.ready && !state.leaving && state.config.config;
        return status;
    }

    void removeWaiting(SlotState& slots, const AttemptKey& key)
    {
        const auto found = std::find(slots.waiting.begin(), slots.waiting.end(), key);
        if (found != slots.waiting.end())
            slots.waiting.erase(found);
    }

    /// @return true when an engine must be loaded before it can serve again, so that waiting for it is pointless
    bool engineUnavailable(const AgentState& state)
    {
        const EngineState& engine = state.engine;
        if (!state.settings.engine)
            return false;
        return engine.phase != EnginePhase::Serving || engine.serving != engine.target
            || (engine.upstreamStateCurrent && !engine.upstream.reachable);
    }

    /// Refuses waiting dispatches that cannot be started any more, e.g. because their deadline has passed.
    void refuseUnstartable(AgentState& state, AgentEffects& effects)
    {
        SlotState& slots = state.slots;
        const bool ready = upstreamReady(state);
        if (ready)
            slots.notReadySince = { -1 };
        else if (slots.notReadySince.value < 0)
            slots.notReadySince = state.now;
        const bool refuseAll = !ready && (engineUnavailable(state) || state.now - slots.notReadySince > notReadyGrace);
        std::vector<std::pair<AttemptKey, std::string>> refused;
        for (const AttemptKey& key : slots.waiting) {
            const Dispatch& dispatch = slots.dispatches.at(key);
            const std::string_view refusalReason = startRefusalReason(state, dispatch);
            if (!refusalReason.empty() && (refusalReason != "not-ready" || refuseAll))
                refused.emplace_back(key, refusalReason);
        }
        for (auto& [key, reason] : refused)
            endDispatch(state, key, resultOf(DispatchResultKind::NotRun, std::move(reason)), effects);
    }

    /// Gives a free slot to a waiting dispatch.
    /// @param reason rule of pickWaiting() that chose it
    void startDispatch(AgentState& state, Dispatch& dispatch, std::string_view reason, AgentEffects& effects)
    {
        removeWaiting(state.slots, dispatch.call.key);
        chargeStart(state.slots, dispatch, reason);
        auto fields = attemptFields(dispatch.call);
        fields.emplace_back("reason", reason);
        fields.emplace_back("waiting", std::to_string(state.slots.waiting.size()));
        effects.emplace_back(
            LogLine { .level = LogLevel::Debug, .event = "slot-granted", .fields = std::move(fields) });
        effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Observe,
            .name = "slot_wait_ms",
            .labels = "rank=\"" + std::to_string(dispatch.call.rank.value) + "\"",
            .value = static_cast<double>((state.now - dispatch.arrivedAt).value) });
        if (hasCallRow(dispatch))
            claimRow(state, dispatch, effects);
        else
            startUpstream(state, dispatch, effects);
    }

    /// A stream goes on only at an engine of its version, and there may soon be none.
    /// @return whether the configuration names another version than the engine serves
    bool isVersionReplaced(const AgentState& state)
    {
        const ServiceConfig* service = state.config.config->findService(state.engine.serving->service);
        return service && service->model && service->model->version != state.engine.serving->version;
    }

    /// Cancels running streams when all slots are in use and a waiting rank is below its entitlement.
    void preemptForWaiting(AgentState& state, AgentEffects& effects)
    {
        SlotUse use = slotUse(state.slots);
        if (use.total < slotLimit(state.slots))
            return;
        while (const Dispatch* victim = preemptionVictim(state, use)) {
            auto fields = attemptFields(victim->call);
            fields.emplace_back("reason", "rank-under-floor");
            effects.emplace_back(LogLine { .event = "preempt", .fields = std::move(fields) });
            effects.emplace_back(MetricSample { .name = "preemptions_total" });
            cancelRunning(state.slots.dispatches.at(victim->call.key), CancelCause::Preempted, effects);
            use = slotUse(state.slots);
        }
    }

} // namespace

DispatchResult resultOf(DispatchResultKind kind, std::string reason)
{
    DispatchResult result;
    result.kind = kind;
    result.reason = std::move(reason);
    return result;
}

std::vector<std::pair<std::string, std::string>> attemptFields(const DispatchCall& call)
{
    return { { "request", std::to_string(call.key.request.value) },
        { "attempt", std::to_string(call.key.attempt.value) }, { "entry", call.key.entry.value },
        { "rank", std::to_string(call.rank.value) }, { "workspace", call.workspace.value } };
}

void answerDispatch(AgentState& state, Dispatch& dispatch, DispatchResult result, AgentEffects& effects,
    std::string storedAnswer, std::string contentType)
{
    if (dispatch.answered)
        return;
    dispatch.answered = true;
    auto fields = attemptFields(dispatch.call);
    fields.emplace_back("result", resultName(result.kind));
    fields.emplace_back("reason", result.reason);
    fields.emplace_back("parts", std::to_string(result.parts));
    const bool refused = result.kind == DispatchResultKind::NotRun;
    effects.emplace_back(LogLine { .level = refused ? LogLevel::Info : LogLevel::Debug,
        .event = refused ? "dispatch-refused" : "dispatch-ended",
        .fields = std::move(fields) });
    effects.emplace_back(MetricSample { .name = "dispatches_total",
        .labels = std::string("result=\"") + resultName(result.kind) + "\",reason=\"" + result.reason + "\"" });
    result.load = currentStatus(state);
    effects.emplace_back(AnswerDispatch { .key = dispatch.call.key,
        .result = std::move(result),
        .storedAnswer = std::move(storedAnswer),
        .contentType = std::move(contentType) });
}

void endDispatch(AgentState& state, const AttemptKey& key, DispatchResult result, AgentEffects& effects,
    std::string storedAnswer, std::string contentType)
{
    const auto found = state.slots.dispatches.find(key);
    Dispatch dispatch = std::move(found->second);
    // `key` may refer to a member of the erased dispatch; from here on only the moved copy is used.
    state.slots.dispatches.erase(found);
    if (dispatch.phase == DispatchPhase::Waiting)
        removeWaiting(state.slots, dispatch.call.key);
    if (hasCallRow(dispatch) && result.kind == DispatchResultKind::NotRun)
        closeAttempt(state.slots, dispatch.call.key);
    answerDispatch(state, dispatch, std::move(result), effects, std::move(storedAnswer), std::move(contentType));
}

void closeAttempt(SlotState& slots, const AttemptKey& key)
{
    slots.closedAttempts.push_back(key);
    if (slots.closedAttempts.size() > maxClosedAttempts)
        slots.closedAttempts.pop_front();
}

bool isClosed(const SlotState& slots, const AttemptKey& key)
{
    return std::find(slots.closedAttempts.begin(), slots.closedAttempts.end(), key) != slots.closedAttempts.end();
}

std::string_view startRefusalReason(const AgentState& state, const Dispatch& dispatch)
{
    if (state.now >= dispatch.deadline)
        return "deadline";
    const std::optional<EngineTarget>& serving = state.engine.serving;
    if (state.settings.engine) {
        if (!serving)
            return "not-ready";
        if (dispatch.call.service != serving->service)
            return "wrong-service";
        if (!dispatch.call.version.empty() && dispatch.call.version != serving->version)
            return "version-mismatch";
    }
    if (state.slots.concurrency == 0)
        return "no-config";
    return upstreamReady(state) ? "" : "not-ready";
}

void startUpstream(AgentState& state, Dispatch& dispatch, AgentEffects& effects)
{
    dispatch.phase = DispatchPhase::Running;
    dispatch.startedAt = state.now;
    effects.emplace_back(StartUpstream { .key = dispatch.call.key,
        .resumeFrom = dispatch.call.resumeFrom,
        .rank = dispatch.call.rank,
        .version = dispatch.call.version,
        .timeout = dispatch.deadline - state.now,
        .recordAnswer = hasCallRow(dispatch) });
}

void cancelRunning(Dispatch& dispatch, CancelCause cause, AgentEffects& effects)
{
    if (dispatch.cancel != CancelCause::None)
        return;
    dispatch.cancel = cause;
    effects.emplace_back(CancelUpstream { .key = dispatch.call.key });
}

void scheduleWaiting(AgentState& state, AgentEffects& effects)
{
    refuseUnstartable(state, effects);
    if (state.slots.waiting.empty() || !upstreamReady(state))
        return;
    SlotUse use = slotUse(state.slots);
    while (use.total < slotLimit(state.slots)) {
        const auto pick = pickWaiting(state, use);
        if (!pick)
            return;
        startDispatch(state, state.slots.dispatches.at(state.slots.waiting[pick->index]), pick->reason, effects);
        use = slotUse(state.slots);
    }
    if (state.settings.engine && state.settings.slotPolicy == SlotPolicy::Floors && !state.slots.waiting.empty()
        && !isVersionReplaced(state))
        preemptForWaiting(state, effects);
}

} // namespace hickory
