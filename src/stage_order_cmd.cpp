#include "stage_cmd.h"
#include "stage_open_order_func.h"
#include "stage_pace_func.h"
#include "stage_reduce_func.h"
#include "table/stage_limits.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hickory {

namespace {

    constexpr std::int64_t percent = 100;

    /// @return whether enough pieces of the second version are held to skip loading the first one. Each load takes the
    /// engine out of service for a while.
    bool nextIsAlmostComplete(const StageState& state, Milliseconds now)
    {
        if (state.jobs.size() < 2 || state.jobs.back().pieces.empty())
            return false;
        if (isPaced(state, state.jobs.front()))
            return maySkipFirst(state, now);
        const StageJob& next = state.jobs.back();
        const std::size_t held = countStep(next, PieceStep::Held) + countStep(next, PieceStep::Staged);
        const Milliseconds latest
            = state.jobs.front().declaredSince + state.options.maxWeightsDelay * skipMaxElapsedPercent / percent;
        return static_cast<std::int64_t>(held) * percent
            >= static_cast<std::int64_t>(next.pieces.size()) * skipMinHeldPercent
            && now < latest;
    }

    void startOrderCheck(StageState& state, OrderStep step, Milliseconds now, StageEffects& effects)
    {
        StageJob& job = state.jobs.front();
        job.order = step;
        job.orderAt = now;
        startCheck(state, job, CheckPurpose::Order, now, effects);
    }

    /// Asks the engine whether it is still the process whose staged pieces were read back.
    void startConfirmation(StageJob& job, Milliseconds now, StageEffects& effects)
    {
        job.order = OrderStep::Confirming;
        job.orderAt = now;
        effects.emplace_back(PollReport {});
    }

    /// @param check what is too old for an order: "staged-pieces" or "report"
    void recordRepeatedCheck(const StageJob& job, const char* check, Milliseconds age, StageEffects& effects)
    {
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "check-repeated",
            .fields = { { "version", std::to_string(job.version.value) }, { "check", check },
                { "age_ms", std::to_string(age.value) } } });
        effects.emplace_back(
            MetricSample { .name = "checks_repeated_total", .labels = "check=\"" + std::string(check) + "\"" });
    }

    /// Reads the staged pieces back again if the last check is too old for an order. The order stays announced, because
    /// draining the engine once more would take longer.
    /// @return whether it does so
    bool repeatOldCheck(StageState& state, Milliseconds now, StageEffects& effects)
    {
        const StageJob& job = state.jobs.front();
        const Milliseconds age = now - job.checkedAt;
        if (age <= maxCheckAge)
            return false;
        recordRepeatedCheck(job, "staged-pieces", age, effects);
        startOrderCheck(state, OrderStep::Rechecking, now, effects);
        return true;
    }

    /// Takes the pieces that were found in the staging area as staged. The others are fetched as soon as the engine
    /// needs them.
    void applyReadBack(StageJob& job, const StagedPiecesChecked& event, Milliseconds now, StageEffects& effects)
    {
        if (event.failed) {
            job.readBackAt = now + readBackRetryDelay;
            effects.emplace_back(LogLine { .level = LogLevel::Warning,
                .event = "read-back-failed",
                .fields = { { "version", std::to_string(event.version.value) },
                    { "age_ms", std::to_string((now - job.check.startedAt).value) } } });
            return;
        }
        job.readBackEnded = true;
        const std::set<std::uint32_t> bad(event.bad.begin(), event.bad.end());
        for (std::uint32_t index = 0; index < job.pieces.size(); ++index)
            if (job.pieces[index].step == PieceStep::Missing && !bad.contains(index))
                job.pieces[index].step = PieceStep::Staged;
    }

    /// Computes this host's turn once all pieces are staged.
    /// @return whether the engine may be ordered to load a version, as far as the order of hosts is concerned
    bool mayLoadNow(const StageState& state, StageJob& job, Milliseconds now, StageEffects& effects)
    {
        if (!isPaced(state, job))
            return now - job.declaredSince >= loadOrderDelay(state, job.version);
        if (!job.turn) {
            job.turn = makeLoadTurn(state, job, now);
            if (job.loadsAtOnce)
                job.turn->at = now;
            const auto sinceDeclared
                = [&](Milliseconds moment) { return std::to_string((moment - job.declaredSince).value); };
            effects.emplace_back(LogLine { .event = "load-turn",
                .fields = { { "version", std::to_string(job.version.value) }, { "staged_ms", sinceDeclared(now) },
                    { "turn_ms", sinceDeclared(job.turn->at) }, { "before", std::to_string(job.turn->before) },
                    { "hosts", std::to_string(job.turn->hosts) }, { "end_ms", sinceDeclared(job.turn->end) },
                    { "skipped", job.loadsAtOnce ? "true" : "false" } } });
        }
        return now >= job.turn->at || mayLoadWhileIdle(state, job, now);
    }

    /// @param shownBy "answer" or "report"
    void recordSettled(WeightsVersion version, OrderOutcome outcome, const char* shownBy, StageEffects& effects)
    {
        effects.emplace_back(LogLine { .event = "order-settled",
            .fields = { { "version", std::to_string(version.value) },
                { "outcome", outcome == OrderOutcome::Accepted ? "accepted" : "void" }, { "shown_by", shownBy } } });
    }

    /// @pre the engine has accepted the order for the first job
    void acceptOrder(StageState& state, Milliseconds now, StageEffects& effects)
    {
        StageJob& job = state.jobs.front();
        withdrawOrder(job); // with a read-back for a repeated order
        job.order = OrderStep::Accepted;
        job.orderAt = now;
        effects.emplace_back(AnnounceLoadOrder {});
        if (state.jobs.size() > 1)
            dropFirstJob(state, "order-accepted", FirstJobEnd::Ordered, effects);
    }

    /// @return whether so few streams are left at the engine that other engines can take them over
    bool fewStreamsLeft(const EngineReport& report) { return report.running + report.waiting <= maxMovedStreams; }

} // namespace

void confirmOrder(StageState& state, const EngineReportRead& event, Milliseconds now, StageEffects& effects)
{
    StageJob& job = state.jobs.front();
    if (job.order != OrderStep::Confirming || event.requestedAt < job.orderAt)
        return;
    if (!event.report) {
        withdrawOrder(job);
        return;
    }
    if (repeatOldCheck(state, now, effects))
        return;
    const Milliseconds age = now - event.requestedAt;
    if (age > maxReportAge) {
        recordRepeatedCheck(job, "report", age, effects);
        startConfirmation(job, now, effects);
        return;
    }
    job.order = OrderStep::Sent;
    job.orderAt = now;
    openOrder(state, job.version, *event.report);
    effects.emplace_back(SendLoadOrder { .version = job.version, .expectedOrders = event.report->orders });
}

bool isOrdered(const StageJob& job)
{
    return job.order == OrderStep::Sent || job.order == OrderStep::Unanswered || job.order == OrderStep::Accepted;
}

bool isClearing(const StageState& state)
{
    return state.report && (state.orderUnconfirmed || state.report->busy) && fewStreamsLeft(*state.report);
}

void dropFirstJob(StageState& state, const char* reason, FirstJobEnd end, StageEffects& effects)
{
    StageJob& next = state.jobs.back();
    if (end == FirstJobEnd::Skipped) {
        inheritBound(next, state.jobs.front());
        next.turn.reset();
    } else if (end == FirstJobEnd::Ordered)
        inheritBoundUntilHeld(next, state.jobs.front());
    effects.emplace_back(LogLine { .event = "weights-next",
        .fields = { { "version", std::to_string(state.jobs.back().version.value) }, { "reason", reason } } });
    state.jobs.erase(state.jobs.begin());
}

bool firstJobIsTooLate(const StageState& state, Milliseconds now)
{
    const StageJob& first = state.jobs.front();
    const std::int64_t usedPercent = (now - state.jobs.back().declaredSince).value * percent
        / std::max<std::int64_t>(state.options.maxWeightsDelay.value, 1);
    return first.order == OrderStep::None && !isOpenFor(state, first.version)
        && usedPercent > (allStaged(first) ? orderCutoffPercent : fetchCutoffPercent);
}

void advanceOrder(StageState& state, Milliseconds now, StageEffects& effects)
{
    StageJob& job = state.jobs.front();
    if ((job.order == OrderStep::Checking || job.order == OrderStep::Rechecking) && now - job.orderAt > checkTimeout)
        withdrawOrder(job);
    if (job.order == OrderStep::Announced && now - job.orderAt > announceLead) {
        // The engine ends what runs before it loads. Entries move the last few streams: waiting for their ends keeps
        // the engine out of service for longer.
        if (!fewStreamsLeft(*state.report) && now - job.orderAt < maxDrainTime)
            return;
        if (!repeatOldCheck(state, now, effects))
            startConfirmation(job, now, effects);
    }
    if (job.order != OrderStep::None || !allStaged(job) || state.report->busy || state.orderUnconfirmed)
        return;
    // A newer version waits for the outcome of an open order, which only another order may bring about.
    const bool keepsNewerWaiting = isOpenFor(state, job.version) && state.jobs.size() > 1;
    if (!engineHasNoWeights(state) && !keepsNewerWaiting && !mayLoadNow(state, job, now, effects))
        return;
    if (!engineHasNoWeights(state) && !isOpenFor(state, job.version) && nextIsAlmostComplete(state, now)) {
        dropFirstJob(state, "next-is-near", FirstJobEnd::Skipped, effects);
        state.jobs.front().loadsAtOnce = true;
        return;
    }
    // A write of an earlier version that is still on its way may replace a piece after it was read back.
    if (state.writesInFlight > 0 || mayBeOverwritten(state, job.version, now))
        return;
    // Two answers could not be told apart.
    if (state.openOrder && !state.openOrder->unansweredSince)
        return;
    startOrderCheck(state, OrderStep::Checking, now, effects);
}

void startCheck(StageState& state, StageJob& job, CheckPurpose purpose, Milliseconds now, StageEffects& effects)
{
    job.check = { .purpose = purpose, .round = ++state.checkRounds, .startedAt = now };
    effects.emplace_back(CheckStagedPieces { .version = job.version, .round = job.check.round });
}

void withdrawOrder(StageJob& job)
{
    job.order = OrderStep::None;
    if (job.check.purpose == CheckPurpose::Order)
        job.check.purpose = CheckPurpose::None;
}

void applyChecked(StageState& state, const StagedPiecesChecked& event, Milliseconds now, StageEffects& effects)
{
    StageJob* job = findJob(state, event.version);
    if (!job || job->check.purpose == CheckPurpose::None || job->check.round != event.round) {
        // Pieces may have been staged again, or by another process of the engine, since they were read.
        effects.emplace_back(LogLine { .event = "late-check",
            .fields = { { "version", std::to_string(event.version.value) }, { "round", std::to_string(event.round) },
                { "last_round", std::to_string(state.checkRounds) } } });
        effects.emplace_back(MetricSample { .name = "late_checks_total", .labels = {} });
        return;
    }
    const bool isForOrder = std::exchange(job->check.purpose, CheckPurpose::None) == CheckPurpose::Order;
    if (!isForOrder) {
        applyReadBack(*job, event, now, effects);
        return;
    }
    const bool isAnnounced = job->order == OrderStep::Rechecking;
    const Milliseconds startedAt = job->check.startedAt;
    job->order = OrderStep::None;
    if (event.failed)
        return;
    if (now - startedAt > checkTimeout) {
        recordRepeatedCheck(*job, "staged-pieces", now - startedAt, effects);
        return;
    }
    for (const std::uint32_t index : event.bad)
        job->pieces.at(index).step = PieceStep::Held;
    if (!event.bad.empty()) {
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "stage-repaired",
            .fields
            = { { "version", std::to_string(event.version.value) }, { "bad", std::to_string(event.bad.size()) } } });
        return;
    }
    job->checkedAt = startedAt;
    if (isAnnounced) {
        startConfirmation(*job, now, effects);
        return;
    }
    job->order = OrderStep::Announced;
    // An engine without weights receives no requests, so the order need not wait for it to drain.
    job->orderAt = engineHasNoWeights(state) ? now - announceLead * 2 : now;
    effects.emplace_back(AnnounceLoadOrder {});
}

void applyReportToOrder(StageState& state, const EngineReportRead& event, Milliseconds now, StageEffects& effects)
{
    if (!state.openOrder)
        return;
    const WeightsVersion version = state.openOrder->version;
    const OrderOutcome outcome = settleByReport(state, event);
    if (outcome != OrderOutcome::Open)
        recordSettled(version, outcome, "report", effects);
    StageJob& job = state.jobs.front();
    // While an answer is awaited, it decides how the job goes on.
    if (job.version != version || job.order == OrderStep::Sent)
        return;
    if (outcome == OrderOutcome::Accepted && !engineHolds(state, version))
        acceptOrder(state, now, effects);
    else if (outcome == OrderOutcome::Open && job.order == OrderStep::Unanswered && !event.report->busy
        && event.requestedAt > job.orderAt)
        startOrderCheck(state, OrderStep::Rechecking, now, effects);
}

void applyOrder(StageState& state, const LoadOrderAnswered& event, Milliseconds now, StageEffects& effects)
{
    StageJob* job = findJob(state, event.version);
    effects.emplace_back(LogLine { .event = "order",
        .fields = { { "version", std::to_string(event.version.value) },
            { "status", event.sent ? std::to_string(event.status) : "not-sent" },
            { "since_declared_ms", job ? std::to_string((now - job->declaredSince).value) : "dropped" } } });
    const bool wasOpen = isOpenFor(state, event.version);
    const OrderOutcome outcome = settleByAnswer(state, event, now);
    if (wasOpen && outcome != OrderOutcome::Open)
        recordSettled(event.version, outcome, "answer", effects);
    if (!job || job->order != OrderStep::Sent)
        return;
    const OrderAnswer answer = readOrderAnswer(event);
    if (answer == OrderAnswer::Refused)
        withdrawOrder(*job);
    else if (outcome == OrderOutcome::Open) {
        job->order = OrderStep::Unanswered;
        job->orderAt = now;
    } else { // accepted, as the answer or a report before it shows
        state.orderUnconfirmed = answer == OrderAnswer::Accepted;
        acceptOrder(state, now, effects);
    }
}

} // namespace hickory
