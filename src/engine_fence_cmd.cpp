#include "engine_fence_cmd.h"

#include "engine_cmd.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace hickory {

namespace {

    /// A store operation without an answer counts as failed after this time. It is above the 2 s after which the
    /// platform client itself gives up.
    constexpr Milliseconds operationTimeout { 5000 };

    /// Delay of the first retry of a failed store operation; it doubles with each further one up to maxRetryDelay.
    constexpr Milliseconds minRetryDelay { 200 };
    constexpr Milliseconds maxRetryDelay { 5000 };

    /// Value of the row `fence/{host}`.
    struct FenceRow {
        FencingNumber number; ///< last fencing number issued for the host
        Incarnation incarnation; ///< agent process that holds the number, 0 when unknown
    };

    std::string fenceKey(const AgentState& state) { return "fence/" + state.settings.process.host.value; }

    std::string encodeFence(const FenceRow& row)
    {
        return nlohmann::json { { "number", row.number.value }, { "incarnation", row.incarnation.value } }.dump();
    }

    /// @return the decoded row. Where the number is unreadable, the row version replaces it: each write raises both by
    /// one, so it is not below the last number. An unreadable incarnation is 0, which no agent has.
    FenceRow decodeFence(const StoreAnswer& answer)
    {
        const nlohmann::json json = nlohmann::json::parse(answer.value, nullptr, false);
        FenceRow row { .number = { answer.version.value }, .incarnation = {} };
        if (!json.is_object())
            return row;
        const auto number = json.find("number");
        const auto incarnation = json.find("incarnation");
        if (number != json.end() && number->is_number_unsigned())
            row.number.value = number->get<std::uint64_t>();
        if (incarnation != json.end() && incarnation->is_number_unsigned())
            row.incarnation.value = incarnation->get<std::uint64_t>();
        return row;
    }

    /// Numbers the next store operation; answers to earlier ones are ignored from now on.
    StoreToken nextOperation(AgentState& state)
    {
        FenceProgress& progress = state.engine.fenceProgress;
        progress.sentAt = state.now;
        return { .purpose = StorePurpose::Fence, .subject = fenceKey(state), .number = ++progress.operation };
    }

    void readFenceRow(AgentState& state, AgentEffects& effects)
    {
        state.engine.fenceProgress.step = FenceStep::Reading;
        effects.emplace_back(StoreRead { .token = nextOperation(state), .key = fenceKey(state) });
    }

    /// Takes the next fencing number by compare-and-set.
    /// @param last number in the row, 0 when the row is absent
    /// @param version version that the row must still have, 0 when it must be absent
    void writeFenceRow(AgentState& state, FencingNumber last, RowVersion version, AgentEffects& effects)
    {
        FenceProgress& progress = state.engine.fenceProgress;
        progress.step = FenceStep::Writing;
        progress.pendingNumber = { std::max(last, state.engine.fence).value + 1 };
        effects.emplace_back(StoreWrite { .token = nextOperation(state),
            .key = fenceKey(state),
            .ifVersion = version,
            .value = encodeFence({ .number = progress.pendingNumber, .incarnation = state.incarnation }) });
    }

    /// Records that the row names this incarnation with `number`.
    void confirmFence(AgentState& state, FencingNumber number, const char* reason, AgentEffects& effects)
    {
        EngineState& engine = state.engine;
        engine.fence = number;
        engine.fenceCurrent = true;
        engine.fenceProgress.step = FenceStep::Held;
        engine.fenceProgress.failures = 0;
        effects.emplace_back(LogLine { .event = "fence-held",
            .fields = { { "host", state.settings.process.host.value }, { "number", std::to_string(number.value) },
                { "reason", reason } } });
    }

    /// Schedules a read of the row after a store operation without an answer.
    void scheduleRetry(AgentState& state, AgentEffects& effects)
    {
        FenceProgress& progress = state.engine.fenceProgress;
        progress.step = FenceStep::Needed;
        const Milliseconds wait
            = std::min(minRetryDelay * (1 << std::min<std::uint32_t>(progress.failures, 6)), maxRetryDelay);
        ++progress.failures;
        progress.retryAt = state.now + wait;
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "fence-retry",
            .fields = { { "host", state.settings.process.host.value }, { "reason", "store-unavailable" },
                { "wait_ms", std::to_string(wait.value) } } });
    }

    /// Decides by the content of an existing row: this agent holds the number, is superseded, or takes the next number.
    void resolveFence(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
    {
        const FenceRow row = decodeFence(answer);
        if (row.incarnation == state.incarnation && row.number.value > 0)
            confirmFence(state, row.number, state.engine.fence.value == 0 ? "taken" : "checked", effects);
        else if (state.engine.fence.value != 0)
            handleSuperseded(state, "newer-fence-row", effects);
        else
            writeFenceRow(state, row.number, answer.version, effects);
    }

} // namespace

void detectPause(AgentState& state, AgentEffects& effects)
{
    EngineState& engine = state.engine;
    const Milliseconds gap = state.now - engine.lastEventAt;
    const bool first = engine.lastEventAt.value < 0;
    engine.lastEventAt = state.now;
    if (first || gap <= state.settings.lease)
        return;
    effects.emplace_back(LogLine { .level = LogLevel::Warning,
        .event = "paused",
        .fields = { { "gap_ms", std::to_string(gap.value) }, { "reason", "no-event-within-lease" } } });
    // The upstream's state and the fence row may have changed during the pause.
    engine.upstreamStateCurrent = false;
    requireFenceCheck(state);
}

void requireFenceCheck(AgentState& state)
{
    FenceProgress& progress = state.engine.fenceProgress;
    state.engine.fenceCurrent = false;
    if (progress.step == FenceStep::Superseded)
        return;
    // An answer in flight may have been read before the event that requires this check, so it is ignored.
    progress.step = FenceStep::Needed;
    progress.retryAt = state.now;
    ++progress.operation;
}

void tickFence(AgentState& state, AgentEffects& effects)
{
    FenceProgress& progress = state.engine.fenceProgress;
    if (!state.settings.engine || progress.step == FenceStep::Held || progress.step == FenceStep::Superseded)
        return;
    if (progress.step == FenceStep::Needed) {
        if (state.now >= progress.retryAt)
            readFenceRow(state, effects);
    } else if (state.now - progress.sentAt > operationTimeout) {
        ++progress.operation;
        scheduleRetry(state, effects);
    }
}

void handleSuperseded(AgentState& state, const char* reason, AgentEffects& effects)
{
    EngineState& engine = state.engine;
    if (engine.fenceProgress.step == FenceStep::Superseded)
        return;
    engine.fenceProgress.step = FenceStep::Superseded;
    engine.fenceCurrent = false;
    engine.detail = "superseded by another agent of this host";
    effects.emplace_back(LogLine { .level = LogLevel::Error,
        .event = "superseded",
        .fields = { { "host", state.settings.process.host.value }, { "number", std::to_string(engine.fence.value) },
            { "reason", reason } } });
    effects.emplace_back(MetricSample { .name = "superseded_total" });
    // The process exits by ExitProcess once its running requests have ended.
    state.leaving = true;
}

void applyFenceAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
{
    detectPause(state, effects);
    FenceProgress& progress = state.engine.fenceProgress;
    const bool awaited = progress.step == FenceStep::Reading || progress.step == FenceStep::Writing;
    if (!awaited || answer.token.number != progress.operation)
        return;
    if (answer.status == StoreStatus::Unavailable)
        // A write may have taken effect; the incarnation in the next read shows whether it did.
        scheduleRetry(state, effects);
    else if (progress.step == FenceStep::Writing && answer.status == StoreStatus::Ok)
        confirmFence(state, progress.pendingNumber, "taken", effects);
    else if (answer.version.value == 0)
        writeFenceRow(state, {}, {}, effects);
    else
        resolveFence(state, answer, effects);
}

} // namespace hickory
