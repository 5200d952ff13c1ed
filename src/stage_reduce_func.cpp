#include "stage_reduce_func.h"

#include "digest_func.h"
#include "overloaded_type.h"
#include "stage_source_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    using Effects = std::vector<StageEffect>;

    constexpr std::int64_t percent = 100;

    std::size_t countStep(const StageWork& work, PieceStep step)
    {
        return static_cast<std::size_t>(std::count_if(
            work.pieces.begin(), work.pieces.end(), [&](const PieceState& piece) { return piece.step == step; }));
    }

    bool allStaged(const StageWork& work)
    {
        return !work.pieces.empty() && countStep(work, PieceStep::Staged) == work.pieces.size();
    }

    /// @return the work on a version, or nullptr
    StageWork* findWork(StageState& state, WeightsVersion version)
    {
        for (StageWork& work : state.works)
            if (work.version == version)
                return &work;
        return nullptr;
    }

    // Versions ------------------------------------------------------------------------------------------------------

    /// A version that was begun a while ago is finished before a newer one: its own bound runs out before the newer
    /// one can be in service.
    void wantVersion(StageState& state, WeightsVersion version, Milliseconds now, Effects& effects)
    {
        if (version <= newestWanted(state))
            return;
        const bool keepFirst = !state.works.empty() && !engineHolds(state, state.works.front().version)
            && now - state.works.front().since > finishFirstAfter;
        state.works.resize(keepFirst ? 1 : 0);
        state.works.push_back({ .version = version, .since = now, .manifestRetryAt = now });
        effects.emplace_back(LogLine { .event = "weights-wanted",
            .fields = { { "model", state.model.value }, { "version", std::to_string(version.value) },
                { "after_version", keepFirst ? std::to_string(state.works.front().version.value) : "none" } } });
    }

    /// Goes on to the version declared after the first one. What is written beside the engine from now on does not
    /// change what an accepted order loads.
    void dropFirst(StageState& state, const char* reason, Effects& effects)
    {
        effects.emplace_back(LogLine { .event = "weights-next",
            .fields = { { "version", std::to_string(state.works.back().version.value) }, { "reason", reason } } });
        state.works.erase(state.works.begin());
    }

    void applyFleet(StageState& state, const FleetLearned& event, Milliseconds now, Effects& effects)
    {
        state.originAddress = event.view.originAddress;
        state.originMbps = event.view.originMbps;
        state.model = event.view.model;
        state.peers = event.view.hosts;
        if (!state.model.empty())
            wantVersion(state, event.view.declared, now, effects);
    }

    /// Pieces that wait for a narrow link delay the engine's requests and streams: fewer are asked for at once.
    void applyLink(StageState& state, const LinkMeasured& event)
    {
        if (event.roundTrip > promptAnswer)
            state.window = std::max(minPiecesInFlight, state.window / 2);
        else
            state.window = std::min(maxPiecesInFlight, state.window + 2);
    }

    /// After a restart of the engine nothing that was written beside it is relied on.
    void restageAll(StageState& state)
    {
        for (StageWork& work : state.works) {
            for (PieceState& piece : work.pieces)
                if (piece.step == PieceStep::Staged || piece.step == PieceStep::Staging)
                    piece.step = PieceStep::Held;
            work.order = OrderStep::None;
        }
    }

    void applyReport(StageState& state, const ReportRead& event, Milliseconds now, Effects& effects)
    {
        const WeightsVersion first = state.works.empty() ? WeightsVersion {} : state.works.front().version;
        const bool held = engineHolds(state, first);
        state.report = event.report;
        state.acceptUnseen = false;
        if (!event.report)
            return;
        if (event.report->bornAt != state.bornAt) {
            if (state.bornAt != 0)
                effects.emplace_back(LogLine {
                    .event = "engine-restarted", .fields = { { "born_at", std::to_string(event.report->bornAt) } } });
            state.bornAt = event.report->bornAt;
            restageAll(state);
        }
        if (state.works.empty())
            return;
        StageWork& work = state.works.front();
        if (engineHolds(state, first)) {
            work.order = OrderStep::None;
            if (!held)
                effects.emplace_back(LogLine { .event = "weights-in-service",
                    .fields = { { "version", std::to_string(first.value) },
                        { "after_ms", std::to_string((now - work.since).value) } } });
        } else if (work.order == OrderStep::Given && !event.report->busy && now - work.orderAt > orderPatience)
            work.order = OrderStep::None;
    }

    // Pieces --------------------------------------------------------------------------------------------------------

    void askManifest(StageState& state, StageWork& work, Milliseconds now, Effects& effects)
    {
        if (work.manifestKnown || work.manifestAsked || now < work.manifestRetryAt)
            return;
        const std::optional<StageSource> source = chooseManifestSource(state, work, now);
        if (!source)
            return;
        work.manifestAsked = true;
        effects.emplace_back(AskManifest { .version = work.version, .source = *source });
    }

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

    /// @param sharedOnly asks only for what is fetched on behalf of other hosts, too
    void askPieces(StageState& state, StageWork& work, bool sharedOnly, Milliseconds now, Effects& effects)
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

    void writePieces(StageWork& work, Effects& effects)
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
        if (event.chunks == 0) {
            ++work->manifestFailures;
            work->manifestRetryAt = now + sourceRetry;
            return;
        }
        work->manifestKnown = true;
        work->chunkBytes = event.chunkBytes;
        work->pieces.assign(event.chunks, {});
    }

    void applyPiece(StageState& state, const PieceFetched& event, Milliseconds now, Effects& effects)
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

    void applyPeerPieces(StageState& state, const PeerPieces& event, Milliseconds now)
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

    void applyStaged(StageState& state, const PieceStaged& event, Milliseconds now, Effects& effects)
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

    // Orders --------------------------------------------------------------------------------------------------------

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
            = state.works.front().since + state.options.weightsWithin * skipUntilPercent / percent;
        return static_cast<std::int64_t>(held) * percent
            >= static_cast<std::int64_t>(next.pieces.size()) * skipFromPercent
            && now < latest;
    }

    /// @return whether the version declared after the first one will be required before the first could serve
    bool firstIsTooLate(const StageState& state, Milliseconds now)
    {
        const StageWork& first = state.works.front();
        const std::int64_t usedPercent = (now - state.works.back().since).value * percent
            / std::max<std::int64_t>(state.options.weightsWithin.value, 1);
        return first.order == OrderStep::None && usedPercent > (allStaged(first) ? lastOrderPercent : lastFetchPercent);
    }

    void advanceOrder(StageState& state, Milliseconds now, Effects& effects)
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

    void applyChecked(StageState& state, const StageChecked& event, Milliseconds now, Effects& effects)
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
                .fields = { { "version", std::to_string(event.version.value) },
                    { "bad", std::to_string(event.bad.size()) } } });
            return;
        }
        work->order = OrderStep::Announced;
        // Nobody sends work to an empty engine: it is ordered at once.
        work->orderAt = engineEmpty(state) ? now - announceLead * 2 : now;
        effects.emplace_back(AnnounceOrder {});
    }

    void applyOrder(StageState& state, const OrderAnswered& event, Milliseconds now, Effects& effects)
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

    /// Reads the pieces that lie beside an engine that holds a version since before this process began, so that they
    /// can be given to others.
    void readBack(StageWork& work, Effects& effects)
    {
        if (!work.manifestKnown || work.readBack || countStep(work, PieceStep::Missing) == 0)
            return;
        work.readBack = true;
        effects.emplace_back(CheckStage { .version = work.version });
    }

    void advance(StageState& state, Milliseconds now, Effects& effects)
    {
        if (state.works.empty() || !state.report)
            return;
        if (state.works.size() > 1 && engineHolds(state, state.works.front().version))
            dropFirst(state, "in-service", effects);
        if (state.works.size() > 1 && firstIsTooLate(state, now))
            dropFirst(state, "too-late", effects);
        // Also wanted by a host whose engine is current: it checks what it gives to others.
        for (StageWork& work : state.works)
            askManifest(state, work, now, effects);
        StageWork& first = state.works.front();
        if (engineHolds(state, first.version)) {
            readBack(first, effects);
            return;
        }
        askPieces(state, first, false, now, effects);
        if (state.works.size() > 1)
            askPieces(state, state.works.back(), !allStaged(first), now, effects);
        writePieces(first, effects);
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

WeightsVersion newestWanted(const StageState& state)
{
    return state.works.empty() ? WeightsVersion {} : state.works.back().version;
}

namespace {

    template <typename Wanted> std::vector<PieceSet> heldPieces(const StageState& state, const Wanted& wanted)
    {
        std::vector<PieceSet> sets;
        for (const StageWork& work : state.works) {
            if (work.pieces.empty())
                continue;
            PieceSet set { .version = work.version };
            for (const PieceState& piece : work.pieces)
                set.held.push_back(
                    piece.step != PieceStep::Missing && piece.step != PieceStep::Fetching && wanted(piece));
            sets.push_back(std::move(set));
        }
        return sets;
    }

} // namespace

std::vector<PieceSet> ownPieces(const StageState& state)
{
    return heldPieces(state, [](const PieceState&) { return true; });
}

std::vector<PieceSet> originPieces(const StageState& state)
{
    return heldPieces(state, [](const PieceState& piece) { return piece.fromOrigin; });
}

bool orderPending(const StageState& state)
{
    if (state.acceptUnseen)
        return true;
    return !state.works.empty()
        && (state.works.front().order == OrderStep::Announced || state.works.front().order == OrderStep::Given);
}

Milliseconds orderTurn(const StageState& state, WeightsVersion version)
{
    // The order of hosts differs from version to version.
    const std::string key = "turn-" + std::to_string(version.value);
    const std::uint64_t own = placementHash(key, state.options.ip);
    const auto before = std::count_if(state.peers.begin(), state.peers.end(),
        [&](const StagePeer& peer) { return placementHash(key, peer.ip) < own; });
    const std::int64_t within = state.options.weightsWithin.value;
    const auto hosts = static_cast<std::int64_t>(std::max<std::size_t>(state.peers.size(), 1));
    return { within * firstTurnPercent / percent + within * turnsPercent * before / (percent * hosts) };
}

std::vector<StageEffect> reduceStage(StageState& state, const StageEvent& event, Milliseconds now)
{
    Effects effects;
    std::visit(Overloaded {
                   [&](const StageTick&) {},
                   [&](const FleetLearned& learned) { applyFleet(state, learned, now, effects); },
                   [&](const LinkMeasured& measured) { applyLink(state, measured); },
                   [&](const ReportRead& read) { applyReport(state, read, now, effects); },
                   [&](const ManifestFetched& fetched) { applyManifest(state, fetched, now); },
                   [&](const PieceFetched& fetched) { applyPiece(state, fetched, now, effects); },
                   [&](const PeerPieces& told) { applyPeerPieces(state, told, now); },
                   [&](const PieceStaged& staged) { applyStaged(state, staged, now, effects); },
                   [&](const StageChecked& checked) { applyChecked(state, checked, now, effects); },
                   [&](const OrderAnswered& answered) { applyOrder(state, answered, now, effects); },
               },
        event);
    advance(state, now, effects);
    return effects;
}

} // namespace hickory
