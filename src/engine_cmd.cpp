#include "engine_cmd.h"

#include "engine_fence_cmd.h"
#include "slot_dispatch_cmd.h"
#include "slot_func.h"
#include "slot_limit_cmd.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace hickory {

namespace {

    constexpr Milliseconds pollInterval { 500 };

    /// Time after which a poll without an answer is repeated, and after which a reported state counts as outdated.
    constexpr Milliseconds pollTimeout { 3000 };

    /// Minimum time between a poll and one that a refused request triggers: a full engine refuses many requests.
    constexpr Milliseconds refusedPollInterval { 100 };

    /// A load order without an answer counts as failed after this time. Loading takes a few minutes at most.
    constexpr Milliseconds loadTimeout { 900000 };

    /// A load order is repeated when the engine does not report its target within this time after the load ended.
    constexpr Milliseconds verifyTimeout { 5000 };

    /// Delay after the first failed load order; it doubles with each further one up to maxOrderRetryDelay.
    constexpr Milliseconds minOrderRetryDelay { 500 };
    constexpr Milliseconds maxOrderRetryDelay { 30000 };

    /// Result of firstMismatch() when the engine reports the target but is not ready yet.
    constexpr std::string_view engineNotReady = "engine-not-ready";

    constexpr const char* phaseName(EnginePhase phase)
    {
        switch (phase) {
        case EnginePhase::Idle:
            return "idle";
        case EnginePhase::Draining:
            return "draining";
        case EnginePhase::Loading:
            return "loading";
        case EnginePhase::Verifying:
            return "verifying";
        case EnginePhase::Serving:
            return "serving";
        case EnginePhase::Failed:
            return "failed";
        }
        return "";
    }

    /// Changes the phase, logs and counts the change.
    /// @param reason for the log and, unless the engine now serves, for EngineState::detail
    void enterPhase(AgentState& state, EnginePhase phase, std::string_view reason, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        engine.phase = phase;
        engine.phaseSince = state.now;
        engine.detail = phase == EnginePhase::Serving ? std::string_view {} : reason;
        const EngineTarget* target = engine.target ? &*engine.target : nullptr;
        effects.emplace_back(LogLine { .level = phase == EnginePhase::Failed ? LogLevel::Error : LogLevel::Info,
            .event = "engine-phase",
            .fields = { { "phase", phaseName(phase) }, { "host", state.settings.process.host.value },
                { "model", target ? target->model.value : "" }, { "version", target ? target->version.value : "" },
                { "reason", std::string(reason) } } });
        effects.emplace_back(MetricSample {
            .name = "engine_phases_total", .labels = std::string("phase=\"") + phaseName(phase) + "\"" });
    }

    /// @return code of the first property in which the reported state differs from the target, empty when none does
    std::string_view firstMismatch(const UpstreamState& upstream, const EngineTarget& target)
    {
        if (upstream.model != target.model)
            return "other-model";
        if (upstream.version != target.version)
            return "other-version";
        if (upstream.manifest != target.manifest)
            return "other-manifest";
        if (upstream.weightsDigest != target.weightsDigest)
            return "other-weights";
        if (upstream.role != target.role)
            return "other-role";
        auto loaded = upstream.adapters;
        auto wanted = target.adapters;
        std::sort(loaded.begin(), loaded.end());
        std::sort(wanted.begin(), wanted.end());
        if (loaded != wanted)
            return "other-adapters";
        return upstream.ready ? "" : engineNotReady;
    }

    /// Counts a load order that failed or was not verified in time, and delays the next one.
    void delayNextOrder(AgentState& state)
    {
        EngineState& engine = state.engine;
        const std::uint32_t doublings = std::min<std::uint32_t>(engine.orderFailures, 6);
        engine.nextOrderAt = state.now + std::min(minOrderRetryDelay * (1 << doublings), maxOrderRetryDelay);
        ++engine.orderFailures;
    }

    /// Orders the engine to load the target.
    /// @pre a target is set, no request runs and the fencing number is confirmed
    void sendLoadOrder(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        engine.serving.reset();
        engine.ordered = engine.target;
        engine.restartedAfterFailure = false;
        const EngineTarget& target = *engine.target;
        effects.emplace_back(OrderLoad { .order = ++engine.order,
            .model = target.model,
            .version = target.version,
            .manifest = target.manifest,
            .adapters = target.adapters,
            .role = target.role,
            .fence = engine.fence });
        effects.emplace_back(MetricSample { .name = "load_orders_total" });
        enterPhase(state, EnginePhase::Loading, "order-sent", effects);
    }

    /// @return true when a load of the target is due: it has not begun, or the last one must be repeated
    bool loadDue(const AgentState& state)
    {
        const EngineState& engine = state.engine;
        if (!engine.target)
            return false;
        switch (engine.phase) {
        case EnginePhase::Idle:
            return true;
        case EnginePhase::Serving:
            return engine.serving != engine.target;
        case EnginePhase::Failed:
            return engine.ordered != engine.target || engine.restartedAfterFailure;
        default:
            return false;
        }
    }

    /// Takes the next step towards a changed target: drains the engine, then sends the load order or goes idle.
    void advancePhase(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        if (state.leaving)
            return;
        if (!engine.target && engine.serving && engine.phase == EnginePhase::Serving)
            enterPhase(state, EnginePhase::Draining, "no-target", effects);
        else if (loadDue(state))
            enterPhase(state, EnginePhase::Draining, "target-not-serving", effects);
        if (engine.phase != EnginePhase::Draining)
            return;
        if (engine.target && engine.serving == engine.target) {
            // The target changed back to the loaded version before a load order was sent.
            enterPhase(state, EnginePhase::Serving, "already-serving", effects);
            return;
        }
        if (slotUse(state.slots).total > 0)
            return;
        if (!engine.target) {
            engine.serving.reset();
            enterPhase(state, EnginePhase::Idle, "no-target", effects);
        } else if (engine.fenceCurrent && engine.upstreamStateCurrent && engine.upstream.reachable
            && state.now >= engine.nextOrderAt) {
            sendLoadOrder(state, effects);
        }
    }

    /// Compares the reported state with the last load order.
    void verifyLoad(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        const std::string_view differs = firstMismatch(engine.upstream, *engine.ordered);
        if (differs.empty() && engine.ordered == engine.target) {
            engine.serving = engine.ordered;
            engine.failures = 0;
            engine.orderFailures = 0;
            enterPhase(state, EnginePhase::Serving, "verified", effects);
            resetLatency(state, effects);
        } else if (engine.ordered != engine.target) {
            enterPhase(state, EnginePhase::Idle, "target-changed", effects);
        } else if (differs != engineNotReady && state.now - engine.phaseSince > verifyTimeout) {
            // A newer agent of this host may have loaded another version; the fence row shows whether there is one.
            requireFenceCheck(state);
            delayNextOrder(state);
            enterPhase(state, EnginePhase::Idle, differs, effects);
        }
    }

    /// Ends service when a serving engine reports another version than the verified one.
    void verifyServing(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        const std::string_view differs = firstMismatch(engine.upstream, *engine.serving);
        if (differs.empty() || differs == engineNotReady)
            return;
        engine.serving.reset();
        requireFenceCheck(state);
        enterPhase(state, EnginePhase::Idle, differs, effects);
    }

    void pollUpstream(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        engine.pollPending = true;
        engine.pollSentAt = state.now;
        effects.emplace_back(PollUpstream {});
    }

    /// Logs when the upstream became reachable or unreachable.
    void logReachability(AgentState& state, const UpstreamState& before, AgentEffects& effects)
    {
        const UpstreamState& upstream = state.engine.upstream;
        if (before.reachable == upstream.reachable)
            return;
        effects.emplace_back(LogLine { .level = upstream.reachable ? LogLevel::Info : LogLevel::Warning,
            .event = upstream.reachable ? "upstream-reachable" : "upstream-unreachable",
            .fields = { { "host", state.settings.process.host.value }, { "reason", "poll" } } });
    }

} // namespace

void applyUpstreamState(AgentState& state, const UpstreamStateReceived& event, AgentEffects& effects)
{
    detectPause(state, effects);
    EngineState& engine = state.engine;
    const UpstreamState before = std::exchange(engine.upstream, event.state);
    engine.pollPending = false;
    engine.upstreamStateCurrent = true;
    engine.upstreamStateAt = state.now;
    logReachability(state, before, effects);
    if (state.settings.engine && engine.upstream.reachable) {
        // An engine that was unreachable, lost its model or reports a lower fencing number has restarted.
        const bool restarted = !before.reachable || (!before.model.empty() && engine.upstream.model.empty())
            || engine.upstream.fence < before.fence;
        const bool failing = engine.phase == EnginePhase::Failed || engine.phase == EnginePhase::Loading;
        engine.restartedAfterFailure = engine.restartedAfterFailure || (failing && restarted);
        if (engine.fence.value != 0 && engine.upstream.fence > engine.fence)
            requireFenceCheck(state);
        if (engine.phase == EnginePhase::Verifying)
            verifyLoad(state, effects);
        else if (engine.phase == EnginePhase::Serving)
            verifyServing(state, effects);
        advancePhase(state, effects);
    }
    scheduleWaiting(state, effects);
}

void applyLoadEnded(AgentState& state, const LoadEnded& event, AgentEffects& effects)
{
    detectPause(state, effects);
    EngineState& engine = state.engine;
    if (engine.phase != EnginePhase::Loading || event.order != engine.order)
        return;
    if (event.ok) {
        enterPhase(state, EnginePhase::Verifying, "loaded", effects);
        pollUpstream(state, effects);
        return;
    }
    if (event.staleFence) {
        handleSuperseded(state, "stale-fence-answer", effects);
        return;
    }
    delayNextOrder(state);
    enterPhase(state, EnginePhase::Failed, event.detail.empty() ? "load-failed" : event.detail, effects);
    // If the engine crashed while loading, this poll fails and a later one that succeeds shows the restart.
    if (!engine.pollPending)
        pollUpstream(state, effects);
}

void tickEngine(AgentState& state, AgentEffects& effects)
{
    detectPause(state, effects);
    EngineState& engine = state.engine;
    const Milliseconds sincePoll = state.now - engine.pollSentAt;
    if (engine.pollPending ? sincePoll >= pollTimeout : (sincePoll >= pollInterval || !engine.upstreamStateCurrent))
        pollUpstream(state, effects);
    if (!state.settings.engine)
        return;
    tickFence(state, effects);
    if (engine.phase == EnginePhase::Loading && state.now - engine.phaseSince > loadTimeout) {
        delayNextOrder(state);
        enterPhase(state, EnginePhase::Failed, "load-timeout", effects);
    }
    advancePhase(state, effects);
}

void recordUpstreamResult(AgentState& state, UpstreamResult result, AgentEffects& effects)
{
    EngineState& engine = state.engine;
    if (result == UpstreamResult::Failed || result == UpstreamResult::Crashed) {
        ++engine.failures;
        effects.emplace_back(MetricSample { .name = "upstream_failures_total" });
    }
    const bool upstreamLost = result == UpstreamResult::Crashed || result == UpstreamResult::ConnectFailed;
    if (upstreamLost) {
        engine.upstreamStateCurrent = false;
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "upstream-suspected",
            .fields = { { "host", state.settings.process.host.value },
                { "reason", result == UpstreamResult::Crashed ? "crashed" : "connect-failed" } } });
    }
    // An engine also refuses requests for a version that it no longer runs, e.g. when another agent loaded a new one.
    const bool refused = result == UpstreamResult::Refused && state.now - engine.pollSentAt >= refusedPollInterval;
    if ((upstreamLost || refused) && !engine.pollPending)
        pollUpstream(state, effects);
}

bool upstreamReady(const AgentState& state)
{
    const EngineState& engine = state.engine;
    if (!engine.upstreamStateCurrent || !engine.upstream.reachable || state.now - engine.upstreamStateAt > pollTimeout)
        return false;
    if (!state.settings.engine)
        return true;
    return engine.phase == EnginePhase::Serving && engine.upstream.ready && engine.serving.has_value()
        && engine.serving == engine.target && engine.fenceProgress.step != FenceStep::Superseded;
}

void fillEngineStatus(const AgentState& state, AgentStatus& status)
{
    const EngineState& engine = state.engine;
    status.ready = upstreamReady(state);
    status.failures = engine.failures;
    status.detail = engine.detail;
    if (!status.ready && status.detail.empty())
        status.detail = engine.upstreamStateCurrent && engine.upstream.reachable ? "" : "upstream-unreachable";
    if (!state.settings.engine) {
        status.service = state.settings.service;
        return;
    }
    const std::optional<EngineTarget>& shown = engine.serving ? engine.serving : engine.target;
    status.service = shown ? shown->service : ServiceId {};
    status.model = engine.serving ? engine.serving->model : ModelId {};
    status.version = engine.serving ? engine.serving->version : ModelVersion {};
    status.adapters = engine.serving ? engine.serving->adapters : std::vector<std::string> {};
    status.role = engine.serving ? engine.serving->role : std::string {};
}

} // namespace hickory
