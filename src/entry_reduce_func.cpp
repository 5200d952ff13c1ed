#include "entry_reduce_func.h"

#include "control_cmd.h"
#include "member_func.h"
#include "placement_cmd.h"
#include "request_cmd.h"

#include <type_traits>

namespace hickory {

namespace {

    /// A leaving entry exits no earlier than this many times the time to live of the /v1/entries answer after it began
    /// to leave, because callers still send requests to it while they hold a cached list that names it.
    constexpr int acceptAfterLeavingFactor = 2;

    void applyConfigChange(EntryState& state, EntryEffects& effects)
    {
        applyConfigToRequests(state, effects);
        applyConfigToPlacement(state, effects);
    }

    void handle(EntryState& state, const RequestArrived& event, EntryEffects& effects)
    {
        applyRequestArrived(state, event, effects);
    }

    void handle(EntryState& state, const CallerDisconnected& event, EntryEffects& effects)
    {
        applyCallerDisconnected(state, event, effects);
    }

    void handle(EntryState& state, const FirstPart& event, EntryEffects& effects)
    {
        applyFirstPart(state, event, effects);
    }

    void handle(EntryState& state, const AttemptEnded& event, EntryEffects& effects)
    {
        applyAttemptEnded(state, event, effects);
    }

    void handle(EntryState& state, const AgentConnected& event, EntryEffects& effects)
    {
        pushConfigIfMissing(state, event.status, effects);
        updateHostStatus(state, event.status);
        if (event.status.leaving)
            applyLeavingNotice(state, event.status.host, effects);
        else
            applyAgentProcessGone(state, event.status.host);
        applyAgentConnected(state, event, effects);
    }

    void handle(EntryState& state, const AgentDisconnected& event, EntryEffects& effects)
    {
        applyAgentDisconnected(state, event, effects);
        // Without its leaving notice the host is in the subset again, so a restarted agent is reconnected at once.
        if (applyAgentProcessGone(state, event.host))
            applyMembersToRequests(state, effects);
    }

    void handle(EntryState& state, const AgentStatusReceived& event, EntryEffects& effects)
    {
        if (event.status.leaving)
            applyLeavingNotice(state, event.status.host, effects);
        applyAgentStatus(state, event.status, effects);
        updateHostStatus(state, event.status);
    }

    void handle(EntryState& state, const HeartbeatMissed& event, EntryEffects& effects)
    {
        applyHeartbeatMissed(state, event, effects);
    }

    void handle(EntryState& state, const HomeReport& event, EntryEffects& effects)
    {
        if (event.status.leaving)
            applyLeavingNotice(state, event.status.host, effects);
        applyHomeReport(state, event, effects);
        updateHostStatus(state, event.status);
    }

    void handle(EntryState& state, const MembersUpdated& event, EntryEffects& effects)
    {
        applyMembersUpdated(state, event, effects);
        applyMembersToRequests(state, effects);
        applyConfigToPlacement(state, effects);
    }

    void handle(EntryState& state, const ConfigReceived& event, EntryEffects& effects)
    {
        if (applyConfigReceived(state, event, effects))
            applyConfigChange(state, effects);
    }

    void handle(EntryState& state, const GossipReceived& event, EntryEffects& effects)
    {
        applyGossip(state, event, effects);
        applySuspicions(state, event.message.suspicions, effects);
        applyDemand(state, event.message.from, event.message.demand, effects);
    }

    void handle(EntryState& state, const GossipFailed& event, EntryEffects& effects)
    {
        applyGossipFailed(state, event, effects);
    }

    void handle(EntryState& state, const OperatorCalled& event, EntryEffects& effects)
    {
        applyOperatorCalled(state, event, effects);
    }

    void handle(EntryState& state, const EntryStatusReceived& event, EntryEffects& effects)
    {
        applyEntryStatus(state, event, effects);
        for (const AgentStatus& status : event.status.agents)
            updateHostStatus(state, status);
    }

    void handle(EntryState& state, const StoreAnswer& event, EntryEffects& effects)
    {
        switch (event.token.purpose) {
        case StorePurpose::CallRow:
            applyCallRowAnswer(state, event, effects);
            break;
        case StorePurpose::Placement:
            applyPlacementStoreAnswer(state, event, effects);
            break;
        default:
            if (applyConfigStoreAnswer(state, event, effects))
                applyConfigChange(state, effects);
        }
    }

    void handle(EntryState& state, const Tick&, EntryEffects& effects)
    {
        tickControl(state, effects);
        tickRequests(state, effects);
        tickPlacement(state, effects);
        if (!state.leaving || requestsInProgress(state) > 0)
            return;
        if (state.now - state.leavingSince >= state.settings.entriesTimeToLive * acceptAfterLeavingFactor)
            effects.emplace_back(ExitProcess {});
    }

    void handle(EntryState& state, const ShutdownRequested&, EntryEffects& effects)
    {
        if (state.leaving)
            return;
        state.leaving = true;
        state.leavingSince = state.now;
        effects.emplace_back(LogLine { .event = "leaving", .fields = { { "reason", "shutdown-requested" } } });
        for (const HostId& peer : liveEntries(state.members)) {
            const Member* member = findMember(state.members, peer);
            if (peer != state.settings.process.host && member)
                effects.emplace_back(
                    SendGossip { .peer = peer, .address = member->address, .message = localGossip(state) });
        }
    }

} // namespace

EntryEffects reduce(EntryState& state, const EntryEvent& event)
{
    EntryEffects effects;
    state.now = event.now;
    std::visit([&](const auto& body) { handle(state, body, effects); }, event.body);
    return effects;
}

} // namespace hickory
