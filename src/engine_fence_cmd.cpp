#include "engine_fence_cmd.h"

#include "engine_cmd.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace hickory {

namespace {

    /// An operation without an answer counts as unavailable after this. The platform client's own limit is 2 s.
    constexpr Milliseconds operationTimeout { 5000 };

    constexpr Milliseconds firstRetry { 200 };
    constexpr Milliseconds longestRetry { 5000 };

    /// Content of row `fence/{host}`.
    struct FenceRow {
        FencingNumber number; ///< last number taken
        Incarnation incarnation; ///< agent that took it
    };

    std::string rowKey(const AgentState& state) { return "fence/" + state.settings.process.host.value; }

    std::string encodeFence(const FenceRow& row)
    {
        return nlohmann::json { { "number", row.number.value }, { "incarnation", row.incarnation.value } }.dump();
    }

    /// @return the row; a row that cannot be decoded counts as a number of nobody not below its version, since each
    /// write raises both by one
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

    StoreToken nextOperation(AgentState& state)
    {
        FenceProgress& progress = state.engine.fenceProgress;
        progress.sentAt = state.now;
        return { .purpose = StorePurpose::Fence, .subject = rowKey(state), .number = ++progress.operation };
    }

    void read(AgentState& state, AgentEffects& effects)
    {
        state.engine.fenceProgress.step = FenceStep::Reading;
        effects.emplace_back(StoreRead { .token = nextOperation(state), .key = rowKey(state) });
    }

    void take(AgentState& state, FencingNumber last, RowVersion version, AgentEffects& effects)
    {
        FenceProgress& progress = state.engine.fenceProgress;
        progress.step = FenceStep::Writing;
        progress.wanted = { std::max(last, state.engine.fence).value + 1 };
        effects.emplace_back(StoreWrite { .token = nextOperation(state),
            .key = rowKey(state),
            .ifVersion = version,
            .value = encodeFence({ .number = progress.wanted, .incarnation = state.incarnation }) });
    }

    void hold(AgentState& state, FencingNumber number, const char* reason, AgentEffects& effects)
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

    void retryLater(AgentState& state, AgentEffects& effects)
    {
        FenceProgress& progress = state.engine.fenceProgress;
        progress.step = FenceStep::Needed;
        const Milliseconds wait
            = std::min(firstRetry * (1 << std::min<std::uint32_t>(progress.failures, 6)), longestRetry);
        ++progress.failures;
        progress.retryAt = state.now + wait;
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "fence-retry",
            .fields = { { "host", state.settings.process.host.value }, { "reason", "store-unavailable" },
                { "wait_ms", std::to_string(wait.value) } } });
    }

    /// Goes on from the content of the row.
    void settle(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
    {
        const FenceRow row = decodeFence(answer);
        if (row.incarnation == state.incarnation && row.number.value > 0)
            hold(state, row.number, state.engine.fence.value == 0 ? "taken" : "checked", effects);
        else if (state.engine.fence.value != 0)
            supersede(state, "newer-fence-row", effects);
        else
            take(state, row.number, answer.version, effects);
    }

} // namespace

void notePause(AgentState& state, AgentEffects& effects)
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
    // What the upstream reported and what the store answered before the pause says nothing about the present.
    engine.upstreamKnown = false;
    requireFenceCheck(state);
}

void requireFenceCheck(AgentState& state)
{
    FenceProgress& progress = state.engine.fenceProgress;
    state.engine.fenceCurrent = false;
    if (progress.step == FenceStep::Superseded)
        return;
    // An answer that is on its way may be older than the reason for this check; it is no longer awaited.
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
            read(state, effects);
    } else if (state.now - progress.sentAt > operationTimeout) {
        ++progress.operation;
        retryLater(state, effects);
    }
}

void supersede(AgentState& state, const char* reason, AgentEffects& effects)
{
    EngineState& engine = state.engine;
    if (engine.fenceProgress.step == FenceStep::Superseded)
        return;
    engine.fenceProgress.step = FenceStep::Superseded;
    engine.fenceCurrent = false;
    engine.detail = "another agent took over this host";
    effects.emplace_back(LogLine { .level = LogLevel::Error,
        .event = "superseded",
        .fields = { { "host", state.settings.process.host.value }, { "number", std::to_string(engine.fence.value) },
            { "reason", reason } } });
    effects.emplace_back(MetricSample { .name = "superseded_total" });
    // The process exits through ExitProcess once the running requests have ended.
    state.leaving = true;
}

void applyFenceAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
{
    notePause(state, effects);
    FenceProgress& progress = state.engine.fenceProgress;
    const bool awaited = progress.step == FenceStep::Reading || progress.step == FenceStep::Writing;
    if (!awaited || answer.token.number != progress.operation)
        return;
    if (answer.status == StoreStatus::Unavailable)
        // A write may have taken effect; the next read tells by the incarnation.
        retryLater(state, effects);
    else if (progress.step == FenceStep::Writing && answer.status == StoreStatus::Ok)
        hold(state, progress.wanted, "taken", effects);
    else if (answer.version.value == 0)
        take(state, {}, {}, effects);
    else
        settle(state, answer, effects);
}

} // namespace hickory
