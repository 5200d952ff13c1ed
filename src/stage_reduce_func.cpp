#include "stage_reduce_func.h"

#include "digest_func.h"
#include "table/stage_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    using Effects = std::vector<StageEffect>;

    template <typename... Handlers> struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

    std::string ipOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

    bool holdsVersion(const StagePeer& peer, const ModelId& model, WeightsVersion version)
    {
        return std::any_of(peer.models.begin(), peer.models.end(),
            [&](const HeldModel& held) { return held.model == model && held.version == version && held.whole; });
    }

    /// Deals pieces to peers in turn, so that each has the same share of uploads.
    /// @return the peer for a piece among those that pass the filter, or nullptr
    template <typename Filter>
    const StagePeer* dealtPeer(const StageState& state, std::uint64_t turn, const Filter& filter)
    {
        std::vector<const StagePeer*> passing;
        for (const StagePeer& peer : state.peers)
            if (filter(peer))
                passing.push_back(&peer);
        return passing.empty() ? nullptr : passing[turn % passing.size()];
    }

    void beginVersion(StageState& state, WeightsVersion version, Milliseconds since, Effects& effects)
    {
        state.wanted = version;
        state.wantedSince = since;
        state.next = {};
        state.manifestKnown = false;
        state.manifestAsked = false;
        state.manifestFailures = 0;
        state.manifestRetryAt = since;
        state.pieces.clear();
        state.order = OrderStep::None;
        state.orderAccepted = false;
        effects.emplace_back(LogLine { .event = "weights-wanted",
            .fields = { { "model", state.model.value }, { "version", std::to_string(version.value) } } });
    }

    /// A version that is nearly here is finished before a newer one is begun: its own bound runs out before the newer
    /// one can be in service.
    void wantVersion(StageState& state, WeightsVersion version, Milliseconds now, Effects& effects)
    {
        if (version <= std::max(state.wanted, state.next))
            return;
        const bool underWay = state.wanted.value != 0 && !engineCurrent(state) && state.order != OrderStep::Given;
        if (underWay && now - state.wantedSince > finishFirstAfter) {
            state.next = version;
            state.nextSince = now;
        } else
            beginVersion(state, version, now, effects);
    }

    void beginNext(StageState& state, Effects& effects)
    {
        // Pieces that are written from now on do not change what an accepted order loads.
        if (state.next.value != 0 && (engineCurrent(state) || state.orderAccepted))
            beginVersion(state, state.next, state.nextSince, effects);
    }

    void applyFleet(StageState& state, const FleetLearned& event, Milliseconds now, Effects& effects)
    {
        if (!event.config)
            return;
        for (const auto& [name, service] : event.config->services) {
            if (!service.originAddress.empty())
                state.originAddress = service.originAddress;
            if (name == state.options.service && service.engine && !service.engine->models.empty())
                state.model = service.engine->models.front();
        }
        state.peers.clear();
        for (const UpstreamEntry& entry : event.upstreams)
            if (entry.service == state.options.service)
                state.peers.push_back(
                    { .ip = ipOf(entry.address), .place = entry.place, .models = entry.models });
        std::sort(state.peers.begin(), state.peers.end(),
            [](const StagePeer& left, const StagePeer& right) { return left.ip < right.ip; });
        if (state.model.empty())
            return;
        constexpr WeightsVersion firstVersion { 1 };
        const auto declared = event.declared.find(state.model);
        wantVersion(state, declared == event.declared.end() ? firstVersion : declared->second, now, effects);
    }

    /// After a restart of the engine nothing that was written beside it is relied on.
    void restageAll(StageState& state)
    {
        for (PieceState& piece : state.pieces)
            if (piece.step == PieceStep::Staged || piece.step == PieceStep::Staging)
                piece.step = PieceStep::Held;
        state.order = OrderStep::None;
    }

    void applyReport(StageState& state, const ReportRead& event, Milliseconds now, Effects& effects)
    {
        const bool wasCurrent = engineCurrent(state);
        state.report = event.report;
        if (!event.report)
            return;
        if (event.report->bornAt != state.bornAt) {
            if (state.bornAt != 0)
                effects.emplace_back(LogLine { .event = "engine-restarted",
                    .fields = { { "born_at", std::to_string(event.report->bornAt) } } });
            state.bornAt = event.report->bornAt;
            restageAll(state);
        }
        if (engineCurrent(state)) {
            state.order = OrderStep::None;
            if (!wasCurrent)
                effects.emplace_back(LogLine { .event = "weights-in-service",
                    .fields = { { "version", std::to_string(state.wanted.value) },
                        { "after_ms", std::to_string((now - state.wantedSince).value) } } });
        } else if (state.order == OrderStep::Given && !event.report->busy && now - state.orderAt > orderPatience)
            state.order = OrderStep::None;
    }

    void askManifest(StageState& state, Milliseconds now, Effects& effects)
    {
        if (state.manifestKnown || state.manifestAsked || now < state.manifestRetryAt)
            return;
        state.manifestAsked = true;
        // A manifest is small: all ask the origin, and any peer when the origin fails.
        const bool peer = state.manifestFailures % 2 == 1 && !state.peers.empty();
        effects.emplace_back(AskManifest { .version = state.wanted,
            .source = { peer ? state.peers[state.random() % state.peers.size()].ip : std::string {} } });
    }

    /// What a host owes the others comes first: pieces that it fetches for all, then those for its place. Questions
    /// to hosts that do not have their piece yet wait there, so those for itself have places of their own.
    enum class PieceDuty : std::uint8_t { Own, Shared };

    PieceDuty dutyOf(const StageState& state, const StageSource& source)
    {
        const bool near = std::any_of(state.peers.begin(), state.peers.end(), [&](const StagePeer& peer) {
            return peer.ip == source.ip && peer.place == state.options.place;
        });
        return near ? PieceDuty::Own : PieceDuty::Shared;
    }

    void askPieces(StageState& state, Milliseconds now, Effects& effects)
    {
        std::size_t shared = 0;
        std::size_t own = 0;
        std::size_t fromOrigin = 0;
        for (const PieceState& piece : state.pieces) {
            if (piece.step != PieceStep::Fetching)
                continue;
            ++(piece.shared ? shared : own);
            fromOrigin += piece.fromOrigin ? 1 : 0;
        }
        // Each host starts elsewhere, so that hosts that load together ask different peers at a time.
        const std::size_t count = state.pieces.size();
        const std::size_t first = count == 0 ? 0 : placementHash("first-piece", state.options.ip) % count;
        for (std::size_t step = 0; step < count; ++step) {
            const auto index = static_cast<std::uint32_t>((first + step) % count);
            PieceState& piece = state.pieces[index];
            if (piece.step != PieceStep::Missing || now < piece.retryAt)
                continue;
            if (shared >= sharedInFlight && own >= ownInFlight)
                return;
            const StageSource source = chooseSource(state, index, piece.failures, state.random());
            if (source.ip.empty() && fromOrigin >= originInFlight)
                continue;
            piece.fromOrigin = source.ip.empty();
            piece.shared = dutyOf(state, source) == PieceDuty::Shared;
            std::size_t& inFlight = piece.shared ? shared : own;
            if (inFlight >= (piece.shared ? sharedInFlight : ownInFlight))
                continue;
            piece.step = PieceStep::Fetching;
            ++inFlight;
            fromOrigin += piece.fromOrigin ? 1 : 0;
            effects.emplace_back(AskPiece { .version = state.wanted, .index = index, .source = source });
        }
    }

    void writePieces(StageState& state, Effects& effects)
    {
        auto inFlight = static_cast<std::size_t>(std::count_if(state.pieces.begin(), state.pieces.end(),
            [](const PieceState& piece) { return piece.step == PieceStep::Staging; }));
        for (std::uint32_t index = 0; index < state.pieces.size() && inFlight < writesInFlight; ++index) {
            if (state.pieces[index].step != PieceStep::Held)
                continue;
            state.pieces[index].step = PieceStep::Staging;
            ++inFlight;
            effects.emplace_back(StagePiece { .version = state.wanted, .index = index });
        }
    }

    bool engineEmpty(const StageState& state)
    {
        return std::none_of(state.report->models.begin(), state.report->models.end(),
            [&](const HeldModel& held) { return held.model == state.model && held.whole; });
    }

    void advanceOrder(StageState& state, Milliseconds now, Effects& effects)
    {
        if (state.order == OrderStep::Checking && now - state.orderAt > checkPatience)
            state.order = OrderStep::None;
        if (state.order == OrderStep::Announced && now - state.orderAt > announceLead) {
            state.order = OrderStep::Given;
            state.orderAt = now;
            effects.emplace_back(GiveOrder { .version = state.wanted, .expectedOrders = state.report->orders });
        }
        const bool allStaged = !state.pieces.empty()
            && std::all_of(state.pieces.begin(), state.pieces.end(),
                [](const PieceState& piece) { return piece.step == PieceStep::Staged; });
        if (state.order != OrderStep::None || !allStaged || state.report->busy)
            return;
        if (!engineEmpty(state) && now - state.wantedSince < orderTurn(state))
            return;
        state.order = OrderStep::Checking;
        state.orderAt = now;
        effects.emplace_back(CheckStage { .version = state.wanted });
    }

    void advance(StageState& state, Milliseconds now, Effects& effects)
    {
        beginNext(state, effects);
        if (state.wanted.value == 0 || !state.report)
            return;
        // Also wanted by a host whose engine is current: it checks what it gives to others.
        askManifest(state, now, effects);
        if (!state.manifestKnown || engineCurrent(state))
            return;
        askPieces(state, now, effects);
        writePieces(state, effects);
        advanceOrder(state, now, effects);
    }

    void applyManifest(StageState& state, const ManifestFetched& event, Milliseconds now)
    {
        if (event.version != state.wanted)
            return;
        state.manifestAsked = false;
        if (event.chunks == 0) {
            ++state.manifestFailures;
            state.manifestRetryAt = now + sourceRetry;
            return;
        }
        state.manifestKnown = true;
        state.pieces.assign(event.chunks, {});
    }

    void applyPiece(StageState& state, const PieceFetched& event, Milliseconds now, Effects& effects)
    {
        if (event.version != state.wanted || event.index >= state.pieces.size())
            return;
        PieceState& piece = state.pieces[event.index];
        if (piece.step != PieceStep::Fetching)
            return;
        piece.step = event.good ? PieceStep::Held : PieceStep::Missing;
        effects.emplace_back(MetricSample { .name = "pieces_fetched_total",
            .labels = std::string("source=\"") + (event.source.ip.empty() ? "origin" : "peer") + "\",good=\""
                + (event.good ? "true" : "false") + "\"" });
        if (event.good)
            return;
        ++piece.failures;
        piece.retryAt = now + sourceRetry + Milliseconds { static_cast<std::int64_t>(state.random() % sourceRetry.value) };
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "piece-failed",
            .fields = { { "version", std::to_string(event.version.value) },
                { "piece", std::to_string(event.index) },
                { "source", event.source.ip.empty() ? "origin" : event.source.ip },
                { "failures", std::to_string(piece.failures) } } });
    }

    void applyStaged(StageState& state, const PieceStaged& event, Milliseconds now, Effects& effects)
    {
        if (event.version != state.wanted || event.index >= state.pieces.size())
            return;
        PieceState& piece = state.pieces[event.index];
        if (piece.step != PieceStep::Staging)
            return;
        piece.step = event.good ? PieceStep::Staged : PieceStep::Held;
        if (std::all_of(state.pieces.begin(), state.pieces.end(),
                [](const PieceState& each) { return each.step == PieceStep::Staged; }))
            effects.emplace_back(LogLine { .event = "weights-staged",
                .fields = { { "version", std::to_string(state.wanted.value) },
                    { "after_ms", std::to_string((now - state.wantedSince).value) } } });
    }

    void applyChecked(StageState& state, const StageChecked& event, Milliseconds now, Effects& effects)
    {
        if (event.version != state.wanted || state.order != OrderStep::Checking)
            return;
        state.order = OrderStep::None;
        if (event.failed)
            return;
        for (const std::uint32_t index : event.bad)
            state.pieces.at(index).step = PieceStep::Held;
        if (!event.bad.empty()) {
            effects.emplace_back(LogLine { .level = LogLevel::Warning,
                .event = "stage-repaired",
                .fields = { { "version", std::to_string(event.version.value) },
                    { "bad", std::to_string(event.bad.size()) } } });
            return;
        }
        state.order = OrderStep::Announced;
        state.orderAt = now;
        effects.emplace_back(AnnounceOrder {});
    }

    void applyOrder(StageState& state, const OrderAnswered& event, Milliseconds now, Effects& effects)
    {
        constexpr std::uint16_t accepted = 202;
        constexpr std::uint16_t inEffect = 200;
        effects.emplace_back(LogLine { .event = "order",
            .fields = { { "version", std::to_string(event.version.value) },
                { "status", std::to_string(event.status) },
                { "since_declared_ms", std::to_string((now - state.wantedSince).value) } } });
        if (event.version != state.wanted || state.order != OrderStep::Given)
            return;
        state.orderAccepted = event.status == accepted || event.status == inEffect;
        // Without an answer the order may have been accepted: the next reports tell.
        if (event.status != accepted && event.status != inEffect && event.status != 0)
            state.order = OrderStep::None;
    }

} // namespace

StageState makeStageState(const StageOptions& options)
{
    StageState state;
    state.options = options;
    state.random.seed(options.seed);
    return state;
}

bool engineCurrent(const StageState& state)
{
    return state.report && state.wanted.value != 0
        && std::any_of(state.report->models.begin(), state.report->models.end(), [&](const HeldModel& held) {
               return held.model == state.model && held.version >= state.wanted && held.whole;
           });
}

bool orderPending(const StageState& state)
{
    return state.order == OrderStep::Announced || state.order == OrderStep::Given;
}

Milliseconds orderTurn(const StageState& state)
{
    constexpr std::int64_t percent = 100;
    // The order of hosts differs from version to version.
    const std::string key = "turn-" + std::to_string(state.wanted.value);
    const std::uint64_t own = placementHash(key, state.options.ip);
    const auto before = std::count_if(state.peers.begin(), state.peers.end(),
        [&](const StagePeer& peer) { return placementHash(key, peer.ip) < own; });
    const std::int64_t within = state.options.weightsWithin.value;
    const auto hosts = static_cast<std::int64_t>(std::max<std::size_t>(state.peers.size(), 1));
    return { within * firstTurnPercent / percent + within * turnsPercent * before / (percent * hosts) };
}

StageSource chooseSource(
    const StageState& state, std::uint32_t piece, std::uint32_t failures, std::uint64_t draw)
{
    const auto anyone = [](const StagePeer&) { return true; };
    const auto here = [&](const StagePeer& peer) { return peer.place == state.options.place; };
    const auto holder = [&](const StagePeer& peer) {
        return peer.ip != state.options.ip && holdsVersion(peer, state.model, state.wanted);
    };
    // Hosts that load together ask different holders for the same piece.
    const std::uint64_t ownTurn = piece + failures + placementHash("first-holder", state.options.ip);
    if (const StagePeer* near
        = dealtPeer(state, ownTurn, [&](const StagePeer& peer) { return holder(peer) && here(peer); }))
        return { near->ip };
    if (const StagePeer* far = dealtPeer(state, ownTurn, holder))
        return { far->ip };
    const StagePeer* home = dealtPeer(state, piece + state.wanted.value, anyone);
    const StagePeer* local = dealtPeer(state, piece, here);
    if (!home || home->ip == state.options.ip)
        return {};
    if (failures > 0) {
        // After its first source a host asks the one that fetches for all, then any, and at last the origin.
        constexpr std::uint32_t originEvery = 4;
        if (failures % originEvery == originEvery - 1)
            return {};
        const StagePeer& any = failures == 1 ? *home : state.peers[draw % state.peers.size()];
        return { any.ip == state.options.ip ? home->ip : any.ip };
    }
    return { !local || local->ip == state.options.ip ? home->ip : local->ip };
}

std::vector<StageEffect> reduceStage(StageState& state, const StageEvent& event, Milliseconds now)
{
    Effects effects;
    std::visit(Overloaded {
                   [&](const StageTick&) {},
                   [&](const FleetLearned& learned) { applyFleet(state, learned, now, effects); },
                   [&](const ReportRead& read) { applyReport(state, read, now, effects); },
                   [&](const ManifestFetched& fetched) { applyManifest(state, fetched, now); },
                   [&](const PieceFetched& fetched) { applyPiece(state, fetched, now, effects); },
                   [&](const PieceStaged& staged) { applyStaged(state, staged, now, effects); },
                   [&](const StageChecked& checked) { applyChecked(state, checked, now, effects); },
                   [&](const OrderAnswered& answered) { applyOrder(state, answered, now, effects); },
               },
        event);
    advance(state, now, effects);
    return effects;
}

} // namespace hickory
