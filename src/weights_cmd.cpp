#include "weights_cmd.h"

#include "placement_row_func.h"
#include "rollout_cmd.h"
#include "weights_assign_cmd.h"
#include "weights_fetch_cmd.h"
#include "weights_pace_cmd.h"
#include "weights_swarm_cmd.h"

namespace hickory {

namespace {

    /// Sets the engine's target to the wanted model once its weights are complete and the rollout permits the load;
    /// removes the target when no service is wanted.
    void updateTarget(AgentState& state, AgentEffects& effects)
    {
        WeightsState& weights = state.weights;
        if (!weights.wanted) {
            // Without any placement row nothing shows that this host is unassigned, so the target is kept.
            if (state.engine.target && !weights.placements.empty()) {
                effects.emplace_back(LogLine { .event = "target-removed",
                    .fields = { { "service", state.engine.target->service.value },
                        { "generation", std::to_string(weights.generation.value) },
                        { "fence", std::to_string(state.engine.fence.value) } } });
                state.engine.target.reset();
            }
            return;
        }
        const WantedModel& wanted = *weights.wanted;
        if (state.engine.target && runsWanted(*state.engine.target, wanted))
            return;
        const auto download = weights.downloads.find(wanted.model.manifest);
        if (download == weights.downloads.end() || !download->second.whole)
            return;
        const std::string reason = loadReason(state);
        if (reason.empty())
            return;
        state.engine.target = engineTarget(wanted, download->second.manifest->totalDigest);
        effects.emplace_back(LogLine { .event = "target-set",
            .fields = { { "host", state.settings.process.host.value }, { "service", wanted.service.value },
                { "model", wanted.model.name.value }, { "version", wanted.model.version.value }, { "reason", reason },
                { "generation", std::to_string(weights.generation.value) },
                { "fence", std::to_string(state.engine.fence.value) } } });
    }

    void updateWeights(AgentState& state, AgentEffects& effects)
    {
        updateWanted(state, effects);
        updateDownloads(state, effects);
        if (state.weights.wanted) {
            const auto download = state.weights.downloads.find(state.weights.wanted->model.manifest);
            if (download != state.weights.downloads.end())
                startFetches(state, download->first, download->second, effects);
        }
        updateTarget(state, effects);
    }

    /// @return true on the agent of an engine once it has a configuration; other agents have no weights
    bool isActive(const AgentState& state) { return state.settings.engine && state.config.config; }

} // namespace

void applyManifestReceived(AgentState& state, const ManifestReceived& event, AgentEffects& effects)
{
    const auto found = state.weights.downloads.find(event.digest);
    if (found == state.weights.downloads.end() || found->second.manifest)
        return;
    Download& download = found->second;
    download.manifestRequested = false;
    if (!event.ok) {
        download.detail = "cannot use the manifest: " + event.detail;
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "manifest-failed",
            .fields = { { "manifest", event.digest.value }, { "reason", event.detail } } });
        return;
    }
    download.detail.clear();
    download.manifest = event.manifest;
    download.startedAt = state.now;
    download.chunks.resize(event.manifest.chunks.size());
    effects.emplace_back(LogLine { .event = "fetch-begins",
        .fields = { { "manifest", event.digest.value }, { "version", event.manifest.version.value },
            { "chunks", std::to_string(event.manifest.chunks.size()) } } });
    updateWeights(state, effects);
}

void applyChunkMap(AgentState& state, const ChunkMapReceived& event, AgentEffects& effects)
{
    recordChunkMap(state, event);
    if (isActive(state))
        updateWeights(state, effects);
}

void applyChunkFetched(AgentState& state, const ChunkFetched& event, AgentEffects& effects)
{
    finishFetch(state, event, effects);
    if (isActive(state))
        updateWeights(state, effects);
}

void applyWeightsStoreAnswer(AgentState& state, const StoreAnswer& answer, AgentEffects& effects)
{
    if (!isActive(state))
        return;
    if (answer.token.purpose == StorePurpose::Placement)
        applyPlacementAnswer(state, answer, effects);
    else if (answer.token.purpose == StorePurpose::Permit)
        applyPermitAnswer(state, answer, effects);
    updateWeights(state, effects);
}

void applyConfigToWeights(AgentState& state, AgentEffects& effects)
{
    if (!isActive(state))
        return;
    if (state.weights.generation != state.config.record.generation)
        applyConfigToPlacements(state, effects);
    ++state.weights.fetchingHostsVersion;
    updateWeights(state, effects);
}

void tickWeights(AgentState& state, AgentEffects& effects)
{
    if (!isActive(state))
        return;
    tickPlacementReads(state, effects);
    tickChunkRate(state, effects);
    tickRollout(state, effects);
    updateWeights(state, effects);
}

void fillWeightsStatus(const AgentState& state, AgentStatus& status)
{
    const WeightsState& weights = state.weights;
    if (!weights.wanted)
        return;
    status.wantedVersion = weights.wanted->model.version;
    const auto permit = weights.permits.find(weights.wanted->service);
    if (permit != weights.permits.end() && permit->second.row.stopped)
        status.detail
            = "rollout of " + permit->second.row.model.version.value + " stopped: " + permit->second.row.reason;
    else if (!weights.rollout.permitWaitReason.empty() && status.detail.empty())
        status.detail = "waiting for a rollout permit: " + weights.rollout.permitWaitReason;
    const auto found = weights.downloads.find(weights.wanted->model.manifest);
    if (found == weights.downloads.end())
        return;
    const Download& download = found->second;
    status.chunksHave = download.held;
    status.chunksTotal = static_cast<std::uint32_t>(download.chunks.size());
    if (!download.detail.empty())
        status.detail = download.detail;
}

} // namespace hickory
