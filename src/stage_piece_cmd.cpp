#include "digest_func.h"
#include "stage_cmd.h"
#include "stage_open_order_func.h"
#include "stage_pace_func.h"
#include "stage_partner_func.h"
#include "stage_source_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Piece requests in flight. Shared and own requests have separate limits, so that pieces for this host alone do
    /// not delay pieces that other hosts wait for.
    struct InFlight {
        std::size_t shared { 0 }; ///< on behalf of other hosts as well
        std::size_t own { 0 }; ///< for this host alone
        std::size_t origin { 0 }; ///< shared requests that went to the origin
    };

    InFlight countInFlight(const StageState& state)
    {
        InFlight count;
        for (const StageJob& job : state.jobs)
            for (const PieceState& piece : job.pieces)
                if (piece.step == PieceStep::Fetching) {
                    ++(piece.shared ? count.shared : count.own);
                    count.origin += piece.fromOrigin ? 1 : 0;
                }
        return count;
    }

} // namespace

std::size_t countStep(const StageJob& job, PieceStep step)
{
    return static_cast<std::size_t>(std::count_if(
        job.pieces.begin(), job.pieces.end(), [&](const PieceState& piece) { return piece.step == step; }));
}

bool allStaged(const StageJob& job)
{
    return !job.pieces.empty() && countStep(job, PieceStep::Staged) == job.pieces.size();
}

StageJob* findJob(StageState& state, WeightsVersion version)
{
    for (StageJob& job : state.jobs)
        if (job.version == version)
            return &job;
    return nullptr;
}

void requestManifest(StageState& state, StageJob& job, Milliseconds now, StageEffects& effects)
{
    if (job.manifestKnown || job.manifestRequested || now < job.manifestRetryAt)
        return;
    const std::optional<StageSource> source = chooseManifestSource(state, job, now);
    if (!source)
        return;
    job.manifestRequested = true;
    effects.emplace_back(RequestManifest { .version = job.version, .source = *source });
}

void requestPieces(StageState& state, StageJob& job, bool sharedOnly, Milliseconds now, StageEffects& effects)
{
    InFlight inFlight = countInFlight(state);
    // Each host starts at a different piece, so that hosts that fetch at the same time use different sources.
    const std::size_t count = job.pieces.size();
    const std::size_t first = count == 0 ? 0 : stableHash("first-piece", state.options.ip) % count;
    for (std::size_t step = 0; step < count; ++step) {
        const auto index = static_cast<std::uint32_t>((first + step) % count);
        PieceState& piece = job.pieces[index];
        if (piece.step != PieceStep::Missing || now < piece.retryAt)
            continue;
        if (inFlight.shared + inFlight.own >= state.fetchWindow)
            return;
        const bool ownFull = sharedOnly || inFlight.own >= maxOwnInFlight;
        if (inFlight.shared >= maxSharedInFlight && ownFull)
            return;
        const std::optional<StageSource> source = chooseSource(state, job, index, now);
        if (!source)
            continue;
        const bool origin = source->ip.empty();
        const bool shared = isShared(state, *source);
        if ((origin && inFlight.origin >= maxOriginInFlight) || (shared && inFlight.shared >= maxSharedInFlight)
            || (!shared && ownFull))
            continue;
        piece.step = PieceStep::Fetching;
        piece.shared = shared;
        piece.fromOrigin = origin;
        piece.source = source->ip;
        ++(shared ? inFlight.shared : inFlight.own);
        inFlight.origin += origin ? 1 : 0;
        effects.emplace_back(RequestPiece { .version = job.version, .index = index, .source = *source });
    }
}

void stagePieces(StageState& state, StageJob& job, StageEffects& effects)
{
    if (!mayStage(state, job.version))
        return;
    std::size_t inFlight = countStep(job, PieceStep::Staging);
    for (std::uint32_t index = 0; index < job.pieces.size() && inFlight < maxWritesInFlight; ++index) {
        if (job.pieces[index].step != PieceStep::Held)
            continue;
        job.pieces[index].step = PieceStep::Staging;
        ++inFlight;
        ++state.writesInFlight;
        effects.emplace_back(StagePiece { .version = job.version, .index = index });
    }
}

void applyManifest(StageState& state, const ManifestFetched& event, Milliseconds now)
{
    StageJob* job = findJob(state, event.version);
    if (!job)
        return;
    job->manifestRequested = false;
    if (event.pieceCount == 0) {
        ++job->manifestFailures;
        job->manifestRetryAt = now + sourceRetryDelay;
        return;
    }
    job->manifestKnown = true;
    job->pieceBytes = event.pieceBytes;
    job->pieces.assign(event.pieceCount, {});
    if (!job->paced)
        job->paced = isPaced(state, *job);
}

void applyPiece(StageState& state, const PieceFetched& event, Milliseconds now, StageEffects& effects)
{
    StageJob* job = findJob(state, event.version);
    if (!job || event.index >= job->pieces.size())
        return;
    PieceState& piece = job->pieces[event.index];
    if (piece.step != PieceStep::Fetching)
        return;
    piece.step = event.ok ? PieceStep::Held : PieceStep::Missing;
    effects.emplace_back(MetricSample { .name = "pieces_fetched_total",
        .labels = std::string("source=\"") + (event.source.ip.empty() ? "origin" : "peer") + "\",good=\""
            + (event.ok ? "true" : "false") + "\"" });
    if (event.ok)
        return;
    ++piece.failures;
    const std::int64_t spread = sourceRetryDelay.value;
    piece.retryAt = now + sourceRetryDelay + Milliseconds { static_cast<std::int64_t>(state.random() % spread) };
    if (event.sourceBusy)
        return;
    // The source may have restarted without its pieces.
    const auto source = state.peerHoldings.find(event.source.ip);
    if (source != state.peerHoldings.end())
        for (PieceSet& set : source->second.sets)
            if (set.version == event.version && event.index < set.held.size())
                set.held[event.index] = false;
    effects.emplace_back(LogLine { .level = LogLevel::Warning,
        .event = "piece-failed",
        .fields = { { "version", std::to_string(event.version.value) }, { "piece", std::to_string(event.index) },
            { "source", event.source.ip.empty() ? "origin" : event.source.ip }, { "problem", event.problem },
            { "failures", std::to_string(piece.failures) } } });
}

void applyPeerPiecesReceived(StageState& state, const PeerPiecesReceived& event, Milliseconds now)
{
    PeerHoldings& held = state.peerHoldings[event.ip];
    held.receivedAt = now;
    if (event.wantsPieces)
        recordPieceRequest(state, event.ip);
    // Agents of other data centres announce only part of their pieces at a time, so announcements are merged.
    for (const PieceSet& reported : event.sets) {
        const auto known = std::find_if(
            held.sets.begin(), held.sets.end(), [&](const PieceSet& set) { return set.version == reported.version; });
        if (known == held.sets.end()) {
            held.sets.push_back(reported);
            continue;
        }
        known->held.resize(std::max(known->held.size(), reported.held.size()));
        for (std::size_t index = 0; index < reported.held.size(); ++index)
            known->held[index] = known->held[index] || reported.held[index];
    }
    constexpr std::size_t maxVersions = 3; ///< two being brought into service and the one in service
    if (held.sets.size() > maxVersions)
        held.sets.erase(held.sets.begin());
}

void applyStaged(StageState& state, const PieceStaged& event, Milliseconds now, StageEffects& effects)
{
    if (state.writesInFlight > 0)
        --state.writesInFlight;
    if (!event.ok && event.inMemory)
        state.lateWrites[event.version] = now;
    std::erase_if(state.lateWrites, [&](const auto& write) { return now - write.second >= lateWriteTime; });
    StageJob* job = findJob(state, event.version);
    if (!job || event.index >= job->pieces.size())
        return;
    PieceState& piece = job->pieces[event.index];
    if (piece.step != PieceStep::Staging)
        return;
    piece.step = event.ok ? PieceStep::Staged : event.inMemory ? PieceStep::Held : PieceStep::Missing;
    if (allStaged(*job))
        effects.emplace_back(LogLine { .event = "weights-staged",
            .fields = { { "version", std::to_string(job->version.value) },
                { "after_ms", std::to_string((now - job->knownSince).value) } } });
}

} // namespace hickory
