#include "stage_cmd.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr std::int64_t percent = 100;

    bool engineEmpty(const StageState& state)
    {
        return std::none_of(state.report->models.begin(), state.report->models.end(),
            [&](const HeldModel& held) { return held.model == state.model && held.whole; });
    }

    /// @return whether the version declared after the first one will be here so soon that the first is not loaded:
    /// each load takes an engine out of service for a while
    bool nextIsNear(const StageState& state, Milliseconds now)
    {
        if (state.works.size() < 2 || state.works.back().pieces.empty())
            return false;
        const StageWork& next = state.works.back();
        const std::size_t held = countStep(next, PieceStep::Held) + countStep(next, PieceStep::Staged);
        const Milliseconds latest
            = state.works.front().since + state.options.maxWeightsDelay * skipUntilPercent / percent;
        return static_cast<std::int64_t>(held) * percent
            >= static_cast<std::int64_t>(next.pieces.size()) * skipFromPercent
            && now < latest;
    }

} // namespace

void dropFirst(StageState& state, const char* reason, StageEffects& effects)
{
    effects.emplace_back(LogLine { .event = "weights-next",
        .fields = { { "version", std::to_string(state.works.back().version.value) }, { "reason", reason } } });
    state.works.erase(state.works.begin());
}

bool firstIsTooLate(const StageState& state, Milliseconds now)
{
    const StageWork& first = state.works.front();
    const std::int64_t usedPercent = (now - state.works.back().since).value * percent
        / std::max<std::int64_t>(state.options.maxWeightsDelay.value, 1);
    return first.order == OrderStep::None && usedPercent > (allStaged(first) ? lastOrderPercent : lastFetchPercent);
}

void advanceOrder(StageState& state, Milliseconds now, StageEffects& effects)
{
    StageWork& work = state.works.front();
    if (work.order == OrderStep::Checking && now - work.orderAt > checkPatience)
        work.order = OrderStep::None;
    if (work.order == OrderStep::Announced && now - work.orderAt > announceLead) {
        // The last streams of an engine keep it out of service for longer than resuming them elsewhere takes.
        const bool fewLeft = state.report->running + state.report->waiting <= cutAtMost;
        if (!fewLeft && now - work.orderAt < drainAtMost)
            return;
        work.order = OrderStep::Given;
        work.orderAt = now;
        effects.emplace_back(
            GiveOrder { .version = work.version, .expectedOrders = state.report->orders, .cutWork = fewLeft });
    }
    if (work.order != OrderStep::None || !allStaged(work) || state.report->busy || state.acceptUnseen)
        return;
    if (!engineEmpty(state) && now - work.since < orderTurn(state, work.version))
        return;
    if (!engineEmpty(state) && nextIsNear(state, now)) {
        dropFirst(state, "next-is-near", effects);
        return;
    }
    work.order = OrderStep::Checking;
    work.orderAt = now;
    effects.emplace_back(CheckStage { .version = work.version });
}

void applyChecked(StageState& state, const StageChecked& event, Milliseconds now, StageEffects& effects)
{
    StageWork* work = findWork(state, event.version);
    if (!work)
        return;
    if (work->order != OrderStep::Checking) {
        // Pieces of a version that the engine had before this process began.
        for (PieceState& piece : work->pieces)
            piece.step = PieceStep::Staged;
        for (const std::uint32_t index : event.bad)
            work->pieces.at(index).step = PieceStep::Missing;
        return;
    }
    work->order = OrderStep::None;
    if (event.failed)
        return;
    for (const std::uint32_t index : event.bad)
        work->pieces.at(index).step = PieceStep::Held;
    if (!event.bad.empty()) {
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "stage-repaired",
            .fields
            = { { "version", std::to_string(event.version.value) }, { "bad", std::to_string(event.bad.size()) } } });
        return;
    }
    work->order = OrderStep::Announced;
    // Nobody sends work to an empty engine: it is ordered at once.
    work->orderAt = engineEmpty(state) ? now - announceLead * 2 : now;
    effects.emplace_back(AnnounceOrder {});
}

void applyOrder(StageState& state, const OrderAnswered& event, Milliseconds now, StageEffects& effects)
{
    constexpr std::uint16_t accepted = 202;
    constexpr std::uint16_t inEffect = 200;
    StageWork* work = findWork(state, event.version);
    effects.emplace_back(LogLine { .event = "order",
        .fields = { { "version", std::to_string(event.version.value) }, { "status", std::to_string(event.status) },
            { "since_declared_ms", work ? std::to_string((now - work->since).value) : "dropped" } } });
    if (!work || work->order != OrderStep::Given)
        return;
    if (event.status == accepted || event.status == inEffect) {
        state.acceptUnseen = true;
        if (state.works.size() > 1)
            dropFirst(state, "order-accepted", effects);
        return;
    }
    // Without an answer the order may have been accepted: the next reports tell.
    if (event.status != 0)
        work->order = OrderStep::None;
}

} // namespace hickory
