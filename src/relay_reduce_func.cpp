#include "relay_reduce_func.h"

#include "cold_start_cmd.h"
#include "evacuation_cmd.h"
#include "home_region_cmd.h"
#include "home_region_func.h"
#include "overloaded_type.h"
#include "relay_cmd.h"
#include "relay_place_func.h"
#include "upstream_notice_cmd.h"

#include <algorithm>

namespace hickory {

namespace {

    /// A peer's better knowledge of a known version is logged from this gain on.
    constexpr Milliseconds minLoggedWeightsGain { 100 };

    void applyConfig(RelayState& state, const ConfigUpdated& event, Milliseconds now, RelayEffects& effects)
    {
        if (state.config
            && !isWrittenLater(
                event.writtenIn, event.config->version.value, state.configWrittenIn, state.config->version.value)) {
            // The same one, written again or read by a process that knows better when it was written.
            if (event.config->version == state.config->version && event.writtenIn.isExact
                && event.writtenIn.era >= state.configWrittenIn.era)
                state.configWrittenIn = event.writtenIn;
            if (event.config->version < state.config->version)
                effects.emplace_back(LogLine { .event = "config-older",
                    .fields = { { "version", std::to_string(event.config->version.value) },
                        { "era", std::to_string(event.writtenIn.era) },
                        { "in_force", std::to_string(state.config->version.value) },
                        { "in_force_era", std::to_string(state.configWrittenIn.era) } } });
            return;
        }
        state.config = event.config;
        state.configWrittenIn = event.writtenIn;
        updateAllowedRegions(state);
        effects.emplace_back(LogLine { .event = "config-in-force",
            .fields = { { "version", std::to_string(event.config->version.value) },
                { "era", std::to_string(event.writtenIn.era) },
                { "routes", std::to_string(event.config->routes.size()) },
                { "keys", std::to_string(event.config->keys.size()) } } });
        refuseShutOut(state, now, effects);
        dispatchAllWaiting(state, now, effects);
    }

    void applyConfirmed(RelayState& state, const ConfigConfirmed& event, Milliseconds now, RelayEffects& effects)
    {
        state.configConfirmedAt = std::max(state.configConfirmedAt, event.asOf);
        if (!state.tableUnconfirmed || event.asOf < *state.resumedAt)
            return;
        const bool wasHeld = awaitsOperatorsTable(state, now);
        state.tableUnconfirmed = false;
        if (wasHeld)
            dispatchAllWaiting(state, now, effects);
    }

    LogLine weightsLogLine(const ModelId& model, WeightsVersion version, const std::string& source,
        std::optional<Milliseconds> notBefore, Milliseconds now)
    {
        return { .event = "weights-declared",
            .fields = { { "model", model.value }, { "version", std::to_string(version.value) }, { "source", source },
                { "unseen_ms", notBefore ? std::to_string((now - *notBefore).value) : "unknown" } } };
    }

    void applyWeights(RelayState& state, const WeightsDeclared& event, Milliseconds now, RelayEffects& effects)
    {
        DeclaredWeights& declared = state.declared[event.model];
        // A known version may be read again from a copy that was confirmed after its declaration.
        if (!declared.empty() && event.version <= declared.rbegin()->first)
            return;
        declared[event.version] = { .notBefore = event.notBefore, .read = true, .readNotBefore = event.notBefore };
        effects.emplace_back(weightsLogLine(event.model, event.version, event.source, event.notBefore, now));
    }

    /// @return latest moment at which this entry itself knows that a version which it did not read was not declared yet
    std::optional<Milliseconds> ownNotBefore(const DeclaredWeights& declared, WeightsVersion version)
    {
        const auto next = std::find_if(
            declared.upper_bound(version), declared.end(), [](const auto& newer) { return newer.second.read; });
        return next == declared.end() ? std::nullopt : next->second.readNotBefore;
    }

    void applyPeerWeights(RelayState& state, const PeerWeightsReceived& event, Milliseconds now, RelayEffects& effects)
    {
        for (const PeerWeights& told : event.declared) {
            DeclaredWeights& declared = state.declared[told.model];
            const auto [found, isNew] = declared.try_emplace(told.version);
            DeclaredVersion& known = found->second;
            if (isNew)
                known.notBefore = ownNotBefore(declared, told.version);
            const std::optional<Milliseconds> before = known.notBefore;
            known.notBefore = std::max(before, told.notBefore);
            const bool isBetter = known.notBefore && (!before || *known.notBefore - *before >= minLoggedWeightsGain);
            if (isNew || isBetter)
                effects.emplace_back(weightsLogLine(told.model, told.version, event.peer.value, known.notBefore, now));
        }
    }

    void applyDrain(RelayState& state, const DrainStarted& event, Milliseconds now, RelayEffects& effects)
    {
        state.drainBeganAt = now;
        state.drainEndsAt = event.endsAt;
        for (auto& [call, request] : state.requests)
            request.deadlineAt = std::min(request.deadlineAt, event.endsAt);
        expireRequests(state, now, effects);
    }

    void replaceLoads(ReportedLoads& target, const std::vector<PeerLoad>& loads, Milliseconds now)
    {
        target.receivedAt = now;
        target.loads.clear();
        for (const PeerLoad& load : loads)
            target.loads[load.upstream] = load;
    }

    void applyTick(RelayState& state, Milliseconds now, RelayEffects& effects)
    {
        expireRequests(state, now, effects);
        updateCrashes(state, now, effects);
        cancelSilentSends(state, now, effects);
        probeStillUpstreams(state, now, effects);
        cancelOutdatedSends(state, now, effects);
        leaveEvacuated(state, now, effects);
        updateColdStarts(state, now, effects);
        dispatchAllWaiting(state, now, effects);
    }

} // namespace

RelayState makeRelayState(const RelayOptions& options)
{
    RelayState state;
    state.options = options;
    state.random.seed(options.seed);
    return state;
}

std::vector<RelayEffect> reduceRelay(RelayState& state, const RelayEvent& event, Milliseconds now)
{
    RelayEffects effects;
    if (noteEventTime(state, now)) {
        state.resumedAt = now;
        state.tableUnconfirmed = true;
    }
    std::visit(Overloaded {
                   [&](const CallArrived& arrived) { admitRequest(state, arrived, now, effects); },
                   [&](const RelayCallerDisconnected& disconnected) {
                       handleCallerDisconnected(state, disconnected, now, effects);
                   },
                   [&](const ResponseStarted& started) { applyResponseStarted(state, started, now, effects); },
                   [&](const StreamProgressed& progress) { applyStreamProgressed(state, progress, now, effects); },
                   [&](const ResponseEnded& ended) { applyResponseEnded(state, ended, now, effects); },
                   [&](const RelayTick&) { applyTick(state, now, effects); },
                   [&](const ConfigUpdated& update) { applyConfig(state, update, now, effects); },
                   [&](const UpstreamsUpdated& update) { applyUpstreams(state, update, now, effects); },
                   [&](const EngineReportsReceived& received) { applyEngineReports(state, received, now, effects); },
                   [&](const PeerLoadsReceived& update) { replaceLoads(state.peers[update.peer], update.loads, now); },
                   [&](const DataCentreLoadsReceived& update) {
                       replaceLoads(state.dataCentres[update.dataCentre], update.totals, now);
                   },
                   [&](const EntryCountUpdated& counted) {
                       applyEntryCount(state, counted, now);
                       forgetStandings(state, now);
                   },
                   [&](const UpstreamNoticesReceived& received) { applyNotices(state, received, now, effects); },
                   [&](const ConfigConfirmed& confirmed) { applyConfirmed(state, confirmed, now, effects); },
                   [&](const WeightsDeclared& declared) { applyWeights(state, declared, now, effects); },
                   [&](const PeerWeightsReceived& told) { applyPeerWeights(state, told, now, effects); },
                   [&](const DrainStarted& drain) { applyDrain(state, drain, now, effects); },
                   [&](const UpstreamProbed& probed) {
                       confirmAnswers(state, probed, now, effects);
                       applyProbe(state, probed);
                       applyColdProbe(state, probed, now, effects);
                       applyStillProbe(state, probed, now, effects);
                   },
                   [&](const EvacuationsUpdated& update) { applyEvacuations(state, update, now, effects); },
                   [&](const SettingsReloaded&) {
                       // A data centre may have moved to another region.
                       if (!state.homesInUse)
                           return;
                       refuseShutOut(state, now, effects);
                       dispatchAllWaiting(state, now, effects);
                   },
                   [&](const CrashNewsReceived& received) { applyCrashNews(state, received, now, effects); },
               },
        event);
    return effects;
}

std::vector<PeerLoad> ownLoads(const RelayState& state)
{
    std::vector<PeerLoad> loads;
    for (const auto& [id, view] : state.upstreams)
        if (view.sent > 0)
            loads.push_back({ .upstream = view.key, .sent = view.sent, .prefillTokens = view.prefillTokens });
    return loads;
}

std::map<DataCentreId, std::vector<PeerLoad>> advertiseRemoteLoads(RelayState& state)
{
    std::map<DataCentreId, std::vector<PeerLoad>> loads;
    for (auto& [id, view] : state.upstreams) {
        if (view.entry.dataCentre == state.options.dataCentre)
            continue;
        view.previousAdvertised = view.advertised;
        view.advertised = { .upstream = view.key, .sent = view.sent, .prefillTokens = view.prefillTokens };
        if (view.sent > 0)
            loads[view.entry.dataCentre].push_back(view.advertised);
    }
    return loads;
}

std::vector<PeerLoad> dataCentreTotals(const RelayState& state, Milliseconds now)
{
    std::vector<PeerLoad> totals;
    for (const auto& [id, view] : state.upstreams) {
        if (!view.listed || view.entry.dataCentre != state.options.dataCentre)
            continue;
        const EngineLoad load = upstreamLoad(state, view, now);
        if (load.requests > 0)
            totals.push_back({ .upstream = view.key, .sent = load.requests, .prefillTokens = load.prefillTokens });
    }
    return totals;
}

} // namespace hickory
