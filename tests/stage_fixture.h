#pragma once

#include "stage_reduce_func.h"

#include <optional>
#include <string>
#include <vector>

namespace hickory {

constexpr std::uint32_t pieceCount = 64;

/// An agent that stages weights for its engine. Delivers events to its reducer, one at a time.
struct StageFixture {
    StageState state;
    Milliseconds now { 100000 }; ///< time of the next event
    std::uint64_t orders { 0 }; ///< orders that the engine has accepted, as it reports
    std::uint64_t formerVersion { 0 }; ///< staged wholly before this agent started, 0 for none
    std::int64_t processStartedAt { 1 }; ///< start of the engine, as it reports

    explicit StageFixture(const std::string& ip = "10.1.0.1")
        : state(makeStageState({ .host = { "agent" }, .ip = ip, .dataCentre = { "a" }, .service = { "engine" } }))
    {
    }

    std::vector<StageEffect> event(const StageEvent& event) { return reduceStage(this->state, event, this->now); }

    /// Declares a version. The service has four hosts, two in each of the data centres "a" and "b".
    /// @param notBefore earliest moment of the declaration, as an entry tells it
    std::vector<StageEffect> declare(std::uint64_t version, std::optional<Milliseconds> notBefore = std::nullopt)
    {
        FleetView view { .model = { "model" }, .originAddress = "10.9.0.1:1", .declared = { version } };
        for (int host = 1; host <= 4; ++host)
            view.hosts.push_back({ .ip = "10.1.0." + std::to_string(host), .dataCentre = { host <= 2 ? "a" : "b" } });
        return this->event(FleetViewUpdated { .view = view, .declaredNotBefore = notBefore });
    }

    /// Delivers a report of the engine.
    /// @param version held by the engine, 0 for none
    std::vector<StageEffect> report(std::uint64_t version, bool busy = false)
    {
        EngineReport report { .busy = busy, .orders = this->orders, .processStartedAt = this->processStartedAt };
        if (version > 0)
            report.models.push_back({ .model = { "model" }, .version = { version } });
        return this->event(EngineReportRead { report });
    }

    /// Completes manifest requests, piece requests, staging and polls of an unchanged engine successfully, until no
    /// more follow. Other effects are added to `unhandled`.
    void completeRequests(std::vector<StageEffect> effects)
    {
        while (!effects.empty()) {
            std::vector<StageEffect> next;
            const auto add = [&](std::vector<StageEffect> more) { next.insert(next.end(), more.begin(), more.end()); };
            for (const StageEffect& effect : effects) {
                if (const auto* manifest = std::get_if<RequestManifest>(&effect))
                    add(this->event(ManifestFetched { .version = manifest->version, .pieceCount = pieceCount }));
                else if (const auto* piece = std::get_if<RequestPiece>(&effect))
                    add(this->event(PieceFetched {
                        .version = piece->version, .index = piece->index, .source = piece->source, .ok = true }));
                else if (const auto* stage = std::get_if<StagePiece>(&effect))
                    add(this->event(PieceStaged { .version = stage->version, .index = stage->index, .ok = true }));
                else if (const auto* inspect = std::get_if<InspectStagedPieces>(&effect))
                    add(this->event(StagedPiecesInspected { .version = inspect->version,
                        .whole = this->formerVersion > 0,
                        .matches = this->formerVersion == inspect->version.value }));
                else if (std::holds_alternative<PollReport>(effect))
                    add(this->event(EngineReportRead { .report = this->state.report, .requestedAt = this->now }));
                else
                    this->unhandled.push_back(effect);
            }
            effects = std::move(next);
        }
    }

    /// Ends the read-back that was asked for last.
    std::vector<StageEffect> checked(std::uint64_t version, const std::vector<std::uint32_t>& bad = {})
    {
        return this->event(
            StagedPiecesChecked { .version = { version }, .round = this->state.checkRounds, .bad = bad });
    }

    /// Delivers an announcement of another agent that holds all pieces of a version.
    std::vector<StageEffect> peerHolds(const std::string& ip, std::uint64_t version)
    {
        return this->event(PeerPiecesReceived {
            .ip = ip, .sets = { { .version = { version }, .held = std::vector<bool>(pieceCount, true) } } });
    }

    /// @return whether an effect of this type is among the unhandled ones
    template <typename Effect> bool emitted() const
    {
        for (const StageEffect& effect : this->unhandled)
            if (std::holds_alternative<Effect>(effect))
                return true;
        return false;
    }

    std::vector<StageEffect> unhandled; ///< effects that completeRequests() does not handle
};

} // namespace hickory
