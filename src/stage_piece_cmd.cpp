#include "digest_func.h"
#include "stage_cmd.h"
#include "stage_source_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    /// Questions under way. What a host owes the others has places of its own.
    struct InFlight {
        std::size_t shared { 0 }; ///< on behalf of other hosts, too
        std::size_t own { 0 }; ///< for this host alone
        std::size_t origin { 0 }; ///< of the shared ones, to the origin
    };

    InFlight countInFlight(const StageState& state)
    {
        InFlight count;
        for (const StageWork& work : state.works)
            for (const PieceState& piece : work.pieces)
                if (piece.step == PieceStep::Fetching) {
                    ++(piece.shared ? count.shared : count.own);
                    count.origin += piece.fromOrigin ? 1 : 0;
                }
        return count;
    }

} // namespace

std::size_t countStep(const StageWork& work, PieceStep step)
{
    return static_cast<std::size_t>(std::count_if(
        work.pieces.begin(), work.pieces.end(), [&](const PieceState& piece) { return piece.step == step; }));
}

bool allStaged(const StageWork& work)
{
    return !work.pieces.empty() && countStep(work, PieceStep::Staged) == work.pieces.size();
}

StageWork* findWork(StageState& state, WeightsVersion version)
{
    for (StageWork& work : state.works)
        if (work.version == version)
            return &work;
    return nullptr;
}

void askManifest(StageState& state, StageWork& work, Milliseconds now, StageEffects& effects)
{
    if (work.manifestKnown || work.manifestAsked || now < work.manifestRetryAt)
        return;
    const std::optional<StageSource> source = chooseManifestSource(state, work, now);
    if (!source)
        return;
    work.manifestAsked = true;
    effects.emplace_back(AskManifest { .version = work.version, .source = *source });
}

void askPieces(StageState& state, StageWork& work, bool sharedOnly, Milliseconds now, StageEffects& effects)
{
    InFlight inFlight = countInFlight(state);
    // Each host starts elsewhere, so that hosts that load together ask different peers at a time.
    const std::size_t count = work.pieces.size();
    const std::size_t first = count == 0 ? 0 : placementHash("first-piece", state.options.ip) % count;
    for (std::size_t step = 0; step < count; ++step) {
        const auto index = static_cast<std::uint32_t>((first + step) % count);
        PieceState& piece = work.pieces[index];
        if (piece.step != PieceStep::Missing || now < piece.retryAt)
            continue;
        if (inFlight.shared + inFlight.own >= state.window)
            return;
        const bool ownFull = sharedOnly || inFlight.own >= ownInFlight;
        if (inFlight.shared >= sharedInFlight && ownFull)
            return;
        const std::optional<StageSource> source = chooseSource(state, work, index, now);
        if (!source)
            continue;
        const bool origin = source->ip.empty();
        const bool shared = isShared(state, *source);
        if ((origin && inFlight.origin >= originInFlight) || (shared && inFlight.shared >= sharedInFlight)
            || (!shared && ownFull))
            continue;
        piece.step = PieceStep::Fetching;
        piece.shared = shared;
        piece.fromOrigin = origin;
        piece.source = source->ip;
        ++(shared ? inFlight.shared : inFlight.own);
        inFlight.origin += origin ? 1 : 0;
        effects.emplace_back(AskPiece { .version = work.version, .index = index, .source = *source });
    }
}

void writePieces(StageWork& work, StageEffects& effects)
{
    std::size_t inFlight = countStep(work, PieceStep::Staging);
    for (std::uint32_t index = 0; index < work.pieces.size() && inFlight < writesInFlight; ++index) {
        if (work.pieces[index].step != PieceStep::Held)
            continue;
        work.pieces[index].step = PieceStep::Staging;
        ++inFlight;
        effects.emplace_back(StagePiece { .version = work.version, .index = index });
    }
}

void applyManifest(StageState& state, const ManifestFetched& event, Milliseconds now)
{
    StageWork* work = findWork(state, event.version);
    if (!work)
        return;
    work->manifestAsked = false;
    if (event.pieceCount == 0) {
        ++work->manifestFailures;
        work->manifestRetryAt = now + sourceRetry;
        return;
    }
    work->manifestKnown = true;
    work->pieceBytes = event.pieceBytes;
    work->pieces.assign(event.pieceCount, {});
}

void applyPiece(StageState& state, const PieceFetched& event, Milliseconds now, StageEffects& effects)
{
    StageWork* work = findWork(state, event.version);
    if (!work || event.index >= work->pieces.size())
        return;
    PieceState& piece = work->pieces[event.index];
    if (piece.step != PieceStep::Fetching)
        return;
    piece.step = event.good ? PieceStep::Held : PieceStep::Missing;
    effects.emplace_back(MetricSample { .name = "pieces_fetched_total",
        .labels = std::string("source=\"") + (event.source.ip.empty() ? "origin" : "peer") + "\",good=\""
            + (event.good ? "true" : "false") + "\"" });
    if (event.good)
        return;
    ++piece.failures;
    const std::int64_t spread = sourceRetry.value;
    piece.retryAt = now + sourceRetry + Milliseconds { static_cast<std::int64_t>(state.random() % spread) };
    if (event.sourceBusy)
        return;
    // It may have started again without its pieces.
    const auto source = state.elsewhere.find(event.source.ip);
    if (source != state.elsewhere.end())
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
    HeldElsewhere& held = state.elsewhere[event.ip];
    held.at = now;
    // An agent of another data centre tells some of its pieces at a time.
    for (const PieceSet& told : event.sets) {
        const auto known = std::find_if(
            held.sets.begin(), held.sets.end(), [&](const PieceSet& set) { return set.version == told.version; });
        if (known == held.sets.end()) {
            held.sets.push_back(told);
            continue;
        }
        known->held.resize(std::max(known->held.size(), told.held.size()));
        for (std::size_t index = 0; index < told.held.size(); ++index)
            known->held[index] = known->held[index] || told.held[index];
    }
    constexpr std::size_t maxVersions = 3; ///< two on their way and the one in service
    if (held.sets.size() > maxVersions)
        held.sets.erase(held.sets.begin());
}

void applyStaged(StageState& state, const PieceStaged& event, Milliseconds now, StageEffects& effects)
{
    StageWork* work = findWork(state, event.version);
    if (!work || event.index >= work->pieces.size())
        return;
    PieceState& piece = work->pieces[event.index];
    if (piece.step != PieceStep::Staging)
        return;
    piece.step = event.good ? PieceStep::Staged : PieceStep::Held;
    if (allStaged(*work))
        effects.emplace_back(LogLine { .event = "weights-staged",
            .fields = { { "version", std::to_string(work->version.value) },
                { "after_ms", std::to_string((now - work->since).value) } } });
}

} // namespace hickory
