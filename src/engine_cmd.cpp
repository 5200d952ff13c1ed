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

    /// A poll without an answer is repeated after this.
    constexpr Milliseconds pollTimeout { 3000 };

    /// Least time between polls that are caused by refusals, since a full engine refuses often.
    constexpr Milliseconds refusedPollInterval { 100 };

    /// An order without an answer counts as failed after this. Loading takes minutes at most.
    constexpr Milliseconds loadTimeout { 900000 };

    /// Time in which an engine must report what it was ordered to load before it is ordered again.
    constexpr Milliseconds verifyTimeout { 5000 };

    constexpr Milliseconds firstOrderRetry { 500 };
    constexpr Milliseconds longestOrderRetry { 30000 };

    /// The engine reports the target but cannot serve yet.
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

    /// @return the first property in which the reported state differs from the target, or an empty text
    std::string_view difference(const UpstreamState& upstream, const EngineTarget& target)
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

    void scheduleOrder(AgentState& state)
    {
        EngineState& engine = state.engine;
        const std::uint32_t doublings = std::min<std::uint32_t>(engine.orderFailures, 6);
        engine.orderAt = state.now + std::min(firstOrderRetry * (1 << doublings), longestOrderRetry);
        ++engine.orderFailures;
    }

    void orderLoad(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        engine.serving.reset();
        engine.ordered = engine.target;
        engine.retryFailed = false;
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

    /// @return true when the target must be brought into service and that has not begun or has to begin again
    bool orderDue(const AgentState& state)
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
            return engine.ordered != engine.target || engine.retryFailed;
        default:
            return false;
        }
    }

    void advanceOrder(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        if (state.leaving)
            return;
        if (!engine.target && engine.serving && engine.phase == EnginePhase::Serving)
            enterPhase(state, EnginePhase::Draining, "no-target", effects);
        else if (orderDue(state))
            enterPhase(state, EnginePhase::Draining, "target-not-serving", effects);
        if (engine.phase != EnginePhase::Draining)
            return;
        if (engine.target && engine.serving == engine.target) {
            // The target returned to what is loaded before an order was given.
            enterPhase(state, EnginePhase::Serving, "already-serving", effects);
            return;
        }
        if (slotUse(state.slots).total > 0)
            return;
        if (!engine.target) {
            engine.serving.reset();
            enterPhase(state, EnginePhase::Idle, "no-target", effects);
        } else if (engine.fenceCurrent && engine.upstreamKnown && engine.upstream.reachable
            && state.now >= engine.orderAt) {
            orderLoad(state, effects);
        }
    }

    void verify(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        const std::string_view differs = difference(engine.upstream, *engine.ordered);
        if (differs.empty() && engine.ordered == engine.target) {
            engine.serving = engine.ordered;
            engine.failures = 0;
            engine.orderFailures = 0;
            enterPhase(state, EnginePhase::Serving, "verified", effects);
            resetLatency(state, effects);
        } else if (engine.ordered != engine.target) {
            enterPhase(state, EnginePhase::Idle, "target-changed", effects);
        } else if (differs != engineNotReady && state.now - engine.phaseSince > verifyTimeout) {
            // Another agent's order may have taken effect after this one's; the row tells whether it has the right.
            requireFenceCheck(state);
            scheduleOrder(state);
            enterPhase(state, EnginePhase::Idle, differs, effects);
        }
    }

    /// Compares what a serving engine reports with what it shall serve.
    void checkServing(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        const std::string_view differs = difference(engine.upstream, *engine.serving);
        if (differs.empty() || differs == engineNotReady)
            return;
        engine.serving.reset();
        requireFenceCheck(state);
        enterPhase(state, EnginePhase::Idle, differs, effects);
    }

    void poll(AgentState& state, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        engine.pollPending = true;
        engine.pollSentAt = state.now;
        effects.emplace_back(PollUpstream {});
    }

    void setReachable(AgentState& state, const UpstreamState& before, AgentEffects& effects)
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
    notePause(state, effects);
    EngineState& engine = state.engine;
    const UpstreamState before = std::exchange(engine.upstream, event.state);
    engine.pollPending = false;
    engine.upstreamKnown = true;
    engine.stateAt = state.now;
    setReachable(state, before, effects);
    if (state.settings.engine && engine.upstream.reachable) {
        // An engine that was away, lost its model or forgot the fencing number has restarted.
        const bool restarted = !before.reachable || (!before.model.empty() && engine.upstream.model.empty())
            || engine.upstream.fence < before.fence;
        const bool failing = engine.phase == EnginePhase::Failed || engine.phase == EnginePhase::Loading;
        engine.retryFailed = engine.retryFailed || (failing && restarted);
        if (engine.fence.value != 0 && engine.upstream.fence > engine.fence)
            requireFenceCheck(state);
        if (engine.phase == EnginePhase::Verifying)
            verify(state, effects);
        else if (engine.phase == EnginePhase::Serving)
            checkServing(state, effects);
        advanceOrder(state, effects);
    }
    scheduleWaiting(state, effects);
}

void applyLoadEnded(AgentState& state, const LoadEnded& event, AgentEffects& effects)
{
    notePause(state, effects);
    EngineState& engine = state.engine;
    if (engine.phase != EnginePhase::Loading || event.order != engine.order)
        return;
    if (event.ok) {
        enterPhase(state, EnginePhase::Verifying, "loaded", effects);
        poll(state, effects);
        return;
    }
    if (event.staleFence) {
        supersede(state, "stale-fence-answer", effects);
        return;
    }
    scheduleOrder(state);
    enterPhase(state, EnginePhase::Failed, event.detail.empty() ? "load-failed" : event.detail, effects);
    // An engine that died while loading is seen as unreachable now, and as restarted by a later poll.
    if (!engine.pollPending)
        poll(state, effects);
}

void tickEngine(AgentState& state, AgentEffects& effects)
{
    notePause(state, effects);
    EngineState& engine = state.engine;
    const Milliseconds sincePoll = state.now - engine.pollSentAt;
    if (engine.pollPending ? sincePoll >= pollTimeout : (sincePoll >= pollInterval || !engine.upstreamKnown))
        poll(state, effects);
    if (!state.settings.engine)
        return;
    tickFence(state, effects);
    if (engine.phase == EnginePhase::Loading && state.now - engine.phaseSince > loadTimeout) {
        scheduleOrder(state);
        enterPhase(state, EnginePhase::Failed, "load-timeout", effects);
    }
    advanceOrder(state, effects);
}

void noteUpstreamResult(AgentState& state, UpstreamResult result, AgentEffects& effects)
{
    EngineState& engine = state.engine;
    if (result == UpstreamResult::Failed || result == UpstreamResult::Crashed) {
        ++engine.failures;
        effects.emplace_back(MetricSample { .name = "upstream_failures_total" });
    }
    const bool gone = result == UpstreamResult::Crashed || result == UpstreamResult::ConnectFailed;
    if (gone) {
        engine.upstreamKnown = false;
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "upstream-suspected",
            .fields = { { "host", state.settings.process.host.value },
                { "reason", result == UpstreamResult::Crashed ? "crashed" : "connect-failed" } } });
    }
    // An engine refuses what it does not run any more: another agent may have changed it.
    const bool refused = result == UpstreamResult::Refused && state.now - engine.pollSentAt >= refusedPollInterval;
    if ((gone || refused) && !engine.pollPending)
        poll(state, effects);
}

bool upstreamReady(const AgentState& state)
{
    const EngineState& engine = state.engine;
    if (!engine.upstreamKnown || !engine.upstream.reachable || state.now - engine.stateAt > pollTimeout)
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
        status.detail = engine.upstreamKnown && engine.upstream.reachable ? "" : "upstream-unreachable";
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
