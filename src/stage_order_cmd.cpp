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
        if (state.jobs.size() < 2 || state.jobs.back().pieces.empty())
            return false;
        const StageJob& next = state.jobs.back();
        const std::size_t held = countStep(next, PieceStep::Held) + countStep(next, PieceStep::Staged);
        const Milliseconds latest
            = state.jobs.front().since + state.options.maxWeightsDelay * skipUntilPercent / percent;
        return static_cast<std::int64_t>(held) * percent
            >= static_cast<std::int64_t>(next.pieces.size()) * skipFromPercent
            && now < latest;
    }

} // namespace

void dropFirst(StageState& state, const char* reason, StageEffects& effects)
{
    effects.emplace_back(LogLine { .event = "weights-next",
        .fields = { { "version", std::to_string(state.jobs.back().version.value) }, { "reason", reason } } });
    state.jobs.erase(state.jobs.begin());
}

bool firstIsTooLate(const StageState& state, Milliseconds now)
{
    const StageJob& first = state.jobs.front();
    const std::int64_t usedPercent = (now - state.jobs.back().since).value * percent
        / std::max<std::int64_t>(state.options.maxWeightsDelay.value, 1);
    return first.order == OrderStep::None && usedPercent > (allStaged(first) ? lastOrderPercent : lastFetchPercent);
}

void advanceOrder(StageState& state, Milliseconds now, StageEffects& effects)
{
    StageJob& job = state.jobs.front();
    if (job.order == OrderStep::Checking && now - job.orderAt > checkTimeout)
        job.order = OrderStep::None;
    if (job.order == OrderStep::Announced && now - job.orderAt > announceLead) {
        // The last streams of an engine keep it out of service for longer than resuming them elsewhere takes.
        const bool fewLeft = state.report->running + state.report->waiting <= cutAtMost;
        if (!fewLeft && now - job.orderAt < drainAtMost)
            return;
        job.order = OrderStep::Sent;
        job.orderAt = now;
        effects.emplace_back(
            SendLoadOrder { .version = job.version, .expectedOrders = state.report->orders, .abortRunning = fewLeft });
    }
    if (job.order != OrderStep::None || !allStaged(job) || state.report->busy || state.orderUnconfirmed)
        return;
    if (!engineEmpty(state) && now - job.since < orderTurn(state, job.version))
        return;
    if (!engineEmpty(state) && nextIsNear(state, now)) {
        dropFirst(state, "next-is-near", effects);
        return;
    }
    job.order = OrderStep::Checking;
    job.orderAt = now;
    effects.emplace_back(CheckStagedPieces { .version = job.version });
}

void applyChecked(StageState& state, const StagedPiecesChecked& event, Milliseconds now, StageEffects& effects)
{
    StageJob* job = findJob(state, event.version);
    if (!job)
        return;
    if (job->order != OrderStep::Checking) {
        // Pieces of a version that the engine had before this process began.
        for (PieceState& piece : job->pieces)
            piece.step = PieceStep::Staged;
        for (const std::uint32_t index : event.bad)
            job->pieces.at(index).step = PieceStep::Missing;
        return;
    }
    job->order = OrderStep::None;
    if (event.failed)
        return;
    for (const std::uint32_t index : event.bad)
        job->pieces.at(index).step = PieceStep::Held;
    if (!event.bad.empty()) {
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "stage-repaired",
            .fields
            = { { "version", std::to_string(event.version.value) }, { "bad", std::to_string(event.bad.size()) } } });
        return;
    }
    job->order = OrderStep::Announced;
    // Nobody sends work to an empty engine: it is ordered at once.
    job->orderAt = engineEmpty(state) ? now - announceLead * 2 : now;
    effects.emplace_back(AnnounceLoadOrder {});
}

void applyOrder(StageState& state, const LoadOrderAnswered& event, Milliseconds now, StageEffects& effects)
{
    constexpr std::uint16_t accepted = 202;
    constexpr std::uint16_t inEffect = 200;
    StageJob* job = findJob(state, event.version);
    effects.emplace_back(LogLine { .event = "order",
        .fields = { { "version", std::to_string(event.version.value) }, { "status", std::to_string(event.status) },
            { "since_declared_ms", job ? std::to_string((now - job->since).value) : "dropped" } } });
    if (!job || job->order != OrderStep::Sent)
        return;
    if (event.status == accepted || event.status == inEffect) {
        state.orderUnconfirmed = true;
        if (state.jobs.size() > 1)
            dropFirst(state, "order-accepted", effects);
        return;
    }
    // Without an answer the order may have been accepted: the next reports tell.
    if (event.status != 0)
        job->order = OrderStep::None;
}

} // namespace hickory
