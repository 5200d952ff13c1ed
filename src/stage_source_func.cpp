#include "stage_source_func.h"

#include "digest_func.h"

#include <algorithm>

namespace hickory {

namespace {

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

} // namespace

StageSource chooseSource(
    const StageState& state, WeightsVersion version, std::uint32_t piece, std::uint32_t failures, PieceDemand demand)
{
    const auto here = [&](const StagePeer& peer) { return peer.place == state.options.place; };
    const auto holder = [&](const StagePeer& peer) {
        return peer.ip != state.options.ip && holdsVersion(peer, state.model, version);
    };
    // Hosts that load together ask different holders for the same piece.
    const std::uint64_t ownTurn = piece + failures + placementHash("first-holder", state.options.ip);
    if (const StagePeer* near
        = dealtPeer(state, ownTurn, [&](const StagePeer& peer) { return holder(peer) && here(peer); }))
        return { near->ip };
    if (const StagePeer* far = dealtPeer(state, ownTurn, holder))
        return { far->ip };
    // Two failures make a round: one of the host of the place, one of the host that fetches for all.
    constexpr std::uint32_t failuresPerRound = 2;
    constexpr std::uint64_t roundStep = 5;
    const std::uint64_t turn = piece + roundStep * (failures / failuresPerRound);
    const StagePeer* home = dealtPeer(state, turn + version.value, [](const StagePeer&) { return true; });
    const StagePeer* local = dealtPeer(state, turn, here);
    if (!home || home->ip == state.options.ip || demand == PieceDemand::Elsewhere)
        return {};
    const bool askHome = failures % failuresPerRound != 0 || !local || local->ip == state.options.ip
        || demand == PieceDemand::Here;
    return { askHome ? home->ip : local->ip };
}

bool isShared(const StageState& state, const StageSource& source)
{
    return std::none_of(state.peers.begin(), state.peers.end(), [&](const StagePeer& peer) {
        return peer.ip == source.ip && peer.place == state.options.place;
    });
}

} // namespace hickory
