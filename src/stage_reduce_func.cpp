#include "stage_reduce_func.h"

#include "overloaded_type.h"
#include "stage_cmd.h"
#include "stage_open_order_func.h"
#include "stage_pace_func.h"
#include "stage_partner_func.h"
#include "stage_source_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    constexpr std::int64_t percent = 100;

    // Versions ------------------------------------------------------------------------------------------------------

    /// Starts a job for a newly declared version. A job that has run for longer than keepFirstJobAfter is
    /// normally finished first, because the origin has sent most of its copy by then.
    /// @param declaredSince earliest moment at which it may have been declared
    void startJob(
        StageState& state, WeightsVersion version, Milliseconds declaredSince, Milliseconds now, StageEffects& effects)
    {
        if (version <= newestWanted(state))
            return;
        const bool hasFirst = !state.jobs.empty() && !engineHolds(state, state.jobs.front().version);
        // While an order is open, pieces of another version must not replace those that the engine would load.
        const bool keepFirst = hasFirst
            && (now - state.jobs.front().knownSince > keepFirstJobAfter
                || isOpenFor(state, state.jobs.front().version));
        StageJob job { .version = version,
            .knownSince = now,
            .declaredSince = declaredSince,
            .boundFrom = declaredSince,
            .manifestRetryAt = now };
        if (!state.jobs.empty() && isPaced(state, state.jobs.back()))
            job.previousEnd = safeLoadEnd(state, state.jobs.back());
        for (std::size_t dropped = keepFirst ? 1 : 0; dropped < state.jobs.size(); ++dropped)
            if (!engineHolds(state, state.jobs[dropped].version))
                inheritBound(job, state.jobs[dropped]);
        state.jobs.resize(keepFirst ? 1 : 0);
        state.jobs.push_back(std::move(job));
        effects.emplace_back(LogLine { .event = "weights-wanted",
            .fields = { { "model", state.model.value }, { "version", std::to_string(version.value) },
                { "unseen_ms", std::to_string((now - declaredSince).value) },
                { "after_version", keepFirst ? std::to_string(state.jobs.front().version.value) : "none" } } });
    }

    void applyFleet(StageState& state, const FleetViewUpdated& event, Milliseconds now, StageEffects& effects)
    {
        state.originAddress = event.view.originAddress;
        state.originMbps = event.view.originMbps;
        state.model = event.view.model;
        state.peers = event.view.hosts;
        state.fleet = makeStageFleet(state.peers, state.options);
        if (!state.model.empty())
            startJob(state, event.view.declared, event.declaredNotBefore.value_or(now), now, effects);
    }

    /// Halves the fetch window when the link is congested and widens it otherwise: pieces queued on a congested link
    /// delay the engine's requests and streams.
    void applyLink(StageState& state, const LinkMeasured& event)
    {
        if (event.roundTrip > maxUncongestedRoundTrip)
            state.fetchWindow = std::max(minPiecesInFlight, state.fetchWindow / 2);
        else
            state.fetchWindow = std::min(maxPiecesInFlight, state.fetchWindow + 2);
    }

    /// Resets all staged pieces to held: a restarted engine may have lost its staging area.
    void requireRestaging(StageState& state)
    {
        for (StageJob& job : state.jobs) {
            for (PieceState& piece : job.pieces)
                if (piece.step == PieceStep::Staged || piece.step == PieceStep::Staging)
                    piece.step = PieceStep::Held;
            job.order = OrderStep::None;
            job.check.purpose = CheckPurpose::None;
            job.readBackEnded = false;
        }
    }

    void applyReport(StageState& state, const EngineReportRead& event, Milliseconds now, StageEffects& effects)
    {
        const WeightsVersion first = state.jobs.empty() ? WeightsVersion {} : state.jobs.front().version;
        const bool heldBefore = engineHolds(state, first);
        state.report = event.report;
        state.orderUnconfirmed = false;
        if (!event.report) {
            if (!state.jobs.empty())
                confirmOrder(state, event, now, effects);
            return;
        }
        if (event.report->processStartedAt != state.processStartedAt) {
            if (state.processStartedAt != 0)
                effects.emplace_back(LogLine { .event = "engine-restarted",
                    .fields = { { "born_at", std::to_string(event.report->processStartedAt) } } });
            state.processStartedAt = event.report->processStartedAt;
            requireRestaging(state);
        }
        suspectFormerOrder(state, event, now);
        if (state.jobs.empty())
            return;
        applyReportToOrder(state, event, now, effects);
        StageJob& job = state.jobs.front();
        if (job.ordered && engineHolds(state, job.ordered->version))
            confirmOrdered(job);
        if (engineHolds(state, first)) {
            withdrawOrder(job);
            if (!heldBefore) {
                effects.emplace_back(LogLine { .event = "weights-in-service",
                    .fields = { { "version", std::to_string(first.value) },
                        { "after_ms", std::to_string((now - job.knownSince).value) } } });
                effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Observe,
                    .name = "weights_delay_ms",
                    .labels = {},
                    .value = static_cast<double>((now - job.declaredSince).value) });
            }
        } else if (isOrdered(job) && !event.report->busy && now - job.orderAt > loadCompletionTimeout)
            job.order = OrderStep::None;
        confirmOrder(state, event, now, effects);
    }

    /// Reads back pieces that were staged before this process started, so that they can be offered to other agents.
    void startReadBack(StageState& state, Milliseconds now, StageEffects& effects)
    {
        StageJob& job = state.jobs.front();
        const bool isRunning = job.check.purpose == CheckPurpose::Offer;
        if (!job.manifestKnown || job.readBackEnded || isRunning || now < job.readBackAt
            || countStep(job, PieceStep::Missing) == 0)
            return;
        startCheck(state, job, CheckPurpose::Offer, now, effects);
    }

    void advance(StageState& state, Milliseconds now, StageEffects& effects)
    {
        if (state.jobs.empty() || !state.report)
            return;
        if (state.jobs.size() > 1 && engineHolds(state, state.jobs.front().version))
            dropFirstJob(state, "in-service", FirstJobEnd::InService, effects);
        if (state.jobs.size() > 1 && firstJobIsTooLate(state, now))
            dropFirstJob(state, "too-late", FirstJobEnd::Skipped, effects);
        if (expireFormerOrder(state, now))
            effects.emplace_back(LogLine { .level = LogLevel::Warning, .event = "former-order-expired", .fields = {} });
        // A host whose engine holds the version needs the manifest too, to verify the pieces that it offers.
        for (StageJob& job : state.jobs)
            requestManifest(state, job, now, effects);
        StageJob& first = state.jobs.front();
        if (engineHolds(state, first.version)) {
            startReadBack(state, now, effects);
            return;
        }
        requestPieces(state, first, false, now, effects);
        if (state.jobs.size() > 1)
            requestPieces(state, state.jobs.back(), !allStaged(first), now, effects);
        if (state.formerStaging == FormerStaging::ToInspect && first.manifestKnown && now >= state.inspectAt) {
            state.formerStaging = FormerStaging::Inspecting;
            effects.emplace_back(InspectStagedPieces { .version = first.version });
        }
        stagePieces(state, first, effects);
        advanceOrder(state, now, effects);
    }

} // namespace

StageState makeStageState(const StageOptions& options)
{
    StageState state;
    state.options = options;
    state.random.seed(options.seed);
    return state;
}

bool engineHolds(const StageState& state, WeightsVersion version)
{
    return state.report && version.value != 0
        && std::any_of(state.report->models.begin(), state.report->models.end(),
            [&](const HeldModel& held) { return held.model == state.model && held.version >= version && held.whole; });
}

bool engineHasNoWeights(const StageState& state)
{
    return state.report
        && std::none_of(state.report->models.begin(), state.report->models.end(),
            [&](const HeldModel& held) { return held.model == state.model && held.whole; });
}

double uploadLinkShare(const StageState& state)
{
    return engineHasNoWeights(state) ? linkShareWithoutStreams : linkShareForWeights;
}

WeightsVersion newestWanted(const StageState& state)
{
    return state.jobs.empty() ? WeightsVersion {} : state.jobs.back().version;
}

namespace {

    template <typename Predicate> std::vector<PieceSet> heldPieces(const StageState& state, const Predicate& selected)
    {
        std::vector<PieceSet> sets;
        for (const StageJob& job : state.jobs) {
            if (job.pieces.empty())
                continue;
            PieceSet set { .version = job.version };
            for (const PieceState& piece : job.pieces)
                set.held.push_back(
                    piece.step != PieceStep::Missing && piece.step != PieceStep::Fetching && selected(piece));
            sets.push_back(std::move(set));
        }
        return sets;
    }

} // namespace

std::vector<PieceSet> ownPieces(const StageState& state)
{
    return heldPieces(state, [](const PieceState&) { return true; });
}

std::vector<PieceSet> piecesFromOrigin(const StageState& state)
{
    return heldPieces(state, [](const PieceState& piece) { return piece.fromOrigin; });
}

std::vector<WeightsVersion> versionsToDrop(
    const StageState& state, const std::vector<WeightsVersion>& held, std::size_t maxHeld)
{
    std::vector<WeightsVersion> dropped;
    for (const WeightsVersion version : held) {
        const bool needed = std::any_of(
            state.jobs.begin(), state.jobs.end(), [&](const StageJob& job) { return job.version == version; });
        if (!needed && held.size() - dropped.size() > maxHeld)
            dropped.push_back(version);
    }
    return dropped;
}

bool orderPending(const StageState& state)
{
    if (state.orderUnconfirmed)
        return true;
    return !state.jobs.empty()
        && (state.jobs.front().order == OrderStep::Announced || state.jobs.front().order == OrderStep::Rechecking
            || state.jobs.front().order == OrderStep::Confirming || isOrdered(state.jobs.front()));
}

Milliseconds loadOrderDelay(const StageState& state, WeightsVersion version)
{
    // The key contains the version, so that the order of hosts differs between versions.
    const std::string key = "turn-" + std::to_string(version.value);
    const std::int64_t position = hostPosition(state, key);
    const std::int64_t allowedMs = state.options.maxWeightsDelay.value;
    const auto hosts = static_cast<std::int64_t>(std::max<std::size_t>(state.peers.size(), 1));
    return { allowedMs * firstLoadPercent / percent + allowedMs * loadSpreadPercent * position / (percent * hosts) };
}

std::vector<StageEffect> reduceStage(StageState& state, const StageEvent& event, Milliseconds now)
{
    StageEffects effects;
    std::visit(Overloaded {
                   [&](const StageTick&) {},
                   [&](const FleetViewUpdated& update) { applyFleet(state, update, now, effects); },
                   [&](const LinkMeasured& measured) { applyLink(state, measured); },
                   [&](const EngineReportRead& read) { applyReport(state, read, now, effects); },
                   [&](const ManifestFetched& fetched) { applyManifest(state, fetched, now); },
                   [&](const PieceFetched& fetched) { applyPiece(state, fetched, now, effects); },
                   [&](const PeerPiecesReceived& pieces) { applyPeerPiecesReceived(state, pieces, now); },
                   [&](const PieceStaged& staged) { applyStaged(state, staged, now, effects); },
                   [&](const StagedPiecesChecked& checked) { applyChecked(state, checked, now, effects); },
                   [&](const StagedPiecesInspected& inspected) { applyInspection(state, inspected, now); },
                   [&](const LoadOrderAnswered& answered) { applyOrder(state, answered, now, effects); },
               },
        event);
    advance(state, now, effects);
    return effects;
}

} // namespace hickory
