#include "agent_reduce_func.h"

#include "engine_cmd.h"
#include "follow_cmd.h"
#include "slot_cmd.h"
#include "weights_cmd.h"

#include <type_traits>

namespace hickory {

namespace {

    /// Minimum time from the start of a shutdown to the exit. Dispatches that entries sent before they received the
    /// leaving notice are still answered in it.
    constexpr Milliseconds minLeavingTime { 1000 };

    /// @return the status to report to entries, with the sequence number of the last published one
    AgentStatus currentStatus(const AgentState& state)
    {
        AgentStatus status;
        status.host = state.settings.process.host;
        status.dataCentre = state.settings.process.dataCentre;
        status.incarnation = state.incarnation;
        status.sequence = state.statusSequence;
        status.service = state.settings.service;
        status.leaving = state.leaving;
        status.generation = state.config.record.generation;
        fillSlotStatus(state, status);
        fillEngineStatus(state, status);
        fillWeightsStatus(state, status);
        status.ready = status.ready && !state.leaving && state.config.config;
        return status;
    }

    void handle(AgentState& state, const DispatchReceived& event, AgentEffects& effects)
    {
        applyDispatchReceived(state, event, effects);
    }

    void handle(AgentState& state, const CancelReceived& event, AgentEffects& effects)
    {
        applyCancelReceived(state, event, effects);
    }

    void handle(AgentState&, const EntryAttached& event, AgentEffects& effects)
    {
        effects.emplace_back(LogLine {
            .level = LogLevel::Debug, .event = "entry-attached", .fields = { { "entry", event.entry.value } } });
    }

    void handle(AgentState& state, const EntryDetached& event, AgentEffects& effects)
    {
        applyEntryDetached(state, event, effects);
    }

    void handle(AgentState& state, const UpstreamFirstPart& event, AgentEffects& effects)
    {
        applyUpstreamFirstPart(state, event, effects);
    }

    void handle(AgentState& state, const UpstreamEnded& event, AgentEffects& effects)
    {
        applyUpstreamEnded(state, event, effects);
    }

    void handle(AgentState& state, const UpstreamStateReceived& event, AgentEffects& effects)
    {
        applyUpstreamState(state, event, effects);
    }

    void handle(AgentState& state, const LoadEnded& event, AgentEffects& effects)
    {
        applyLoadEnded(state, event, effects);
    }

    void handle(AgentState& state, const ChunkMapReceived& event, AgentEffects& effects)
    {
        applyChunkMap(state, event, effects);
    }

    void handle(AgentState& state, const ChunkFetched& event, AgentEffects& effects)
    {
        applyChunkFetched(state, event, effects);
    }

    void handle(AgentState& state, const ManifestReceived& event, AgentEffects& effects)
    {
        applyManifestReceived(state, event, effects);
    }

    void handle(AgentState& state, const MembersUpdated& event, AgentEffects& effects)
    {
        applyMembersUpdated(state, event, effects);
        applyConfigToWeights(state, effects);
    }

    void handle(AgentState& state, const ConfigReceived& event, AgentEffects& effects)
    {
        if (!applyConfigReceived(state, event, effects))
            return;
        applyConfigToSlots(state, effects);
        applyConfigToWeights(state, effects);
    }

    void handle(AgentState& state, const HomeReportFailed& event, AgentEffects& effects)
    {
        applyHomeReportFailed(state, event, effects);
    }

    void handle(AgentState& state, const StoreAnswer& event, AgentEffects& effects)
    {
        switch (event.token.purpose) {
        case StorePurpose::CallRow:
            applyCallRowAnswer(state, event, effects);
            break;
        case StorePurpose::Fence:
            applyFenceAnswer(state, event, effects);
            break;
        default:
            applyWeightsStoreAnswer(state, event, effects);
        }
    }

    void handle(AgentState& state, const Tick&, AgentEffects& effects)
    {
        tickEngine(state, effects);
        tickWeights(state, effects);
        tickSlots(state, effects);
        tickFollow(state, currentStatus(state), effects);
        if (state.leaving && dispatchesInProgress(state) == 0 && state.now - state.leavingSince >= minLeavingTime)
            effects.emplace_back(ExitProcess {});
    }

    void handle(AgentState& state, const ShutdownRequested&, AgentEffects& effects)
    {
        if (state.leaving)
            return;
        state.leaving = true;
        state.leavingSince = state.now;
        effects.emplace_back(LogLine { .event = "leaving", .fields = { { "reason", "shutdown-requested" } } });
    }

    /// @return true when a field changed that entries route by, so that they must not wait for the next heartbeat
    bool differsForRouting(const AgentStatus& before, const AgentStatus& after)
    {
        return before.ready != after.ready || before.leaving != after.leaving || before.service != after.service
            || before.version != after.version || before.limit != after.limit || before.generation != after.generation;
    }

} // namespace

AgentEffects reduce(AgentState& state, const AgentEvent& event)
{
    AgentEffects effects;
    state.now = event.now;
    std::visit([&](const auto& body) { handle(state, body, effects); }, event.body);
    AgentStatus status = currentStatus(state);
    if (status == state.published)
        return effects;
    status.sequence = ++state.statusSequence;
    if (differsForRouting(state.published, status))
        effects.emplace_back(NotifyListeners { .status = status });
    state.published = status;
    effects.emplace_back(PublishStatus { .status = std::move(status) });
    return effects;
}

} // namespace hickory
