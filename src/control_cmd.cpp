#include "control_cmd.h"

#include "config_record_func.h"
#include "control_apply_cmd.h"
#include "control_spread_cmd.h"
#include "member_func.h"
#include "operator_cmd.h"
#include "request_cmd.h"
#include "table/control_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    bool hasEntry(const MemberList& list)
    {
        return std::any_of(list.members.begin(), list.members.end(),
            [](const Member& member) { return member.role == MemberRole::Entry; });
    }

    /// Drops leaving notices of hosts that were removed, or that were replaced or restarted under the same name, as
    /// shown by another address or a change from leaving to live.
    void dropStaleNotices(MemberState& members, const MemberState& before)
    {
        std::erase_if(members.leavingNotices, [&](const auto& notice) {
            const Member* current = findMember(members, notice.first);
            const Member* previous = findMember(before, notice.first);
            return !current || !previous || current->address != previous->address
                || (previous->state == HostState::Leaving && current->state == HostState::Live);
        });
    }

    /// Drops a leaving notice because the process that sent it is gone or another process answers under its name.
    /// Relayed copies of the notice are ignored for refutedNoticeTimeToLive.
    /// @return true when there was a notice
    bool refuteNotice(EntryState& state, const HostId& host)
    {
        if (state.members.leavingNotices.erase(host) == 0)
            return false;
        state.members.refutedNotices[host] = state.now;
        return true;
    }

    void dropExpired(EntryState& state)
    {
        std::erase_if(state.members.refutedNotices,
            [&](const auto& notice) { return state.now - notice.second > refutedNoticeTimeToLive; });
        std::erase_if(state.members.leavingNotices,
            [&](const auto& notice) { return state.now - notice.second > noticeTimeToLive; });
        std::erase_if(state.control.unreachable, [&](const auto& entry) { return state.now > entry.second; });
        std::erase_if(state.control.homeAgents,
            [&](const auto& entry) { return state.now - entry.second.reported > homeAgentTimeToLive; });
    }

    void tickMembers(EntryState& state, EntryEffects& effects)
    {
        if (takeDueMembersRead(state.members, state.now))
            effects.emplace_back(ReadMembers { .since = state.members.list.version });
    }

    void tickPoll(EntryState& state, EntryEffects& effects)
    {
        if (state.now < state.control.nextPoll)
            return;
        state.control.nextPoll = state.now + configPollInterval;
        const bool noConfig = state.config.record.generation.value == 0;
        if (noConfig || isDesignatedPoller(state))
            effects.emplace_back(
                StoreRead { .token = { .purpose = StorePurpose::ConfigPoll }, .key = currentConfigKey });
    }

    void tickGossip(EntryState& state, EntryEffects& effects)
    {
        if (state.now < state.control.nextGossip)
            return;
        state.control.nextGossip = state.now + gossipInterval;
        std::vector<HostId> peers = liveEntries(state.members);
        std::erase(peers, state.settings.process.host);
        if (peers.empty())
            return;
        // Unreachable entries are included: a successful round shows that they are back.
        const HostId& peer = peers[std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(state.random)];
        const Member* member = findMember(state.members, peer);
        GossipMessage message = localGossip(state);
        effects.emplace_back(SendGossip { .peer = peer, .address = member->address, .message = std::move(message) });
        if (state.config.record.generation.value == 0)
            fetchConfigFrom(state, peer, effects);
    }

    bool applyPollAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects)
    {
        if (answer.status != StoreStatus::Ok)
            return false;
        const Result<ConfigRecord> record = recordFromJson(answer.value);
        if (record)
            return adoptAndPropagate(state, record.value(), {}, "store", effects);
        effects.emplace_back(LogLine { .level = LogLevel::Error,
            .event = "config-row-unreadable",
            .fields = { { "key", currentConfigKey }, { "reason", record.error().text() } } });
        return false;
    }

} // namespace

bool applyConfigReceived(EntryState& state, const ConfigReceived& event, EntryEffects& effects)
{
    const std::string source = event.from.empty() ? "store" : event.from.value;
    const bool adopted = adoptAndPropagate(state, event.record, event.from, source, effects);
    if (adopted)
        completeMatchingApplies(state, event.record, effects);
    return adopted;
}

bool applyConfigStoreAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects)
{
    if (answer.token.purpose == StorePurpose::ConfigPoll) {
        const bool adopted = applyPollAnswer(state, answer, effects);
        if (adopted)
            completeMatchingApplies(state, state.config.record, effects);
        return adopted;
    }
    if (applyOperatorRead(state, answer, effects))
        return false;
    return advanceApply(state, answer, effects);
}

void applyMembersUpdated(EntryState& state, const MembersUpdated& event, EntryEffects& effects)
{
    // A correct list contains at least this entry. Adopting one without entries would stop all routing.
    if (!hasEntry(event.list) && hasEntry(state.members.list)) {
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "members-ignored",
            .fields
            = { { "version", std::to_string(event.list.version) }, { "reason", "the list contains no entry" } } });
        return;
    }
    const MemberState before { .list = std::move(state.members.list) };
    state.members.list = event.list;
    dropStaleNotices(state.members, before);
    std::erase_if(
        state.control.unreachable, [&](const auto& entry) { return !findMember(state.members, entry.first); });
    effects.emplace_back(LogLine { .event = "members",
        .fields = { { "version", std::to_string(event.list.version) },
            { "previous", std::to_string(before.list.version) }, { "hosts", std::to_string(event.list.members.size()) },
            { "live_entries", std::to_string(liveEntries(state.members).size()) } } });
}

void applyLeavingNotice(EntryState& state, const HostId& host, EntryEffects& effects)
{
    // Only listed hosts, so that the list bounds the number of notices. Repeated notices do not extend the lifetime.
    if (!findMember(state.members, host) || !state.members.leavingNotices.try_emplace(host, state.now).second)
        return;
    effects.emplace_back(LogLine { .event = "host-leaving", .fields = { { "subject", host.value } } });
}

void applyGossip(EntryState& state, const GossipReceived& event, EntryEffects& effects)
{
    const GossipMessage& message = event.message;
    state.control.unreachable.erase(message.from);
    if (message.fromLeaving)
        applyLeavingNotice(state, message.from, effects);
    else
        refuteNotice(state, message.from);
    for (const HostId& host : message.leaving)
        if (host != message.from && host != state.settings.process.host && !state.members.refutedNotices.contains(host))
            applyLeavingNotice(state, host, effects);
    const Generation own = state.config.record.generation;
    if (message.generation > own && message.generation != state.config.rejected)
        fetchConfigFrom(state, message.from, effects);
    // A peer without configuration may lack the membership list as well, and then cannot fetch from anyone.
    const Member* member = findMember(state.members, message.from);
    if (message.generation.value == 0 && own.value > 0 && member)
        effects.emplace_back(
            PushConfig { .peer = message.from, .address = member->address, .record = state.config.record });
}

void applyGossipFailed(EntryState& state, const GossipFailed& event, EntryEffects& effects)
{
    if (!findMember(state.members, event.peer))
        return;
    const bool fresh = !state.control.unreachable.contains(event.peer);
    state.control.unreachable[event.peer] = state.now + unreachableTimeToLive;
    if (fresh)
        effects.emplace_back(LogLine {
            .level = LogLevel::Warning, .event = "entry-unreachable", .fields = { { "peer", event.peer.value } } });
}

void applyHomeReport(EntryState& state, const HomeReport& event, EntryEffects& effects)
{
    const AgentStatus& status = event.status;
    const auto known = state.control.homeAgents.find(status.host);
    if (known != state.control.homeAgents.end()) {
        const AgentStatus& stored = known->second.status;
        if (stored.incarnation == status.incarnation && stored.sequence > status.sequence)
            return;
        if (stored.incarnation != status.incarnation && !status.leaving)
            refuteNotice(state, status.host);
        known->second = { .status = status, .reported = state.now };
        return;
    }
    if (state.control.homeAgents.size() >= maxHomeAgents) {
        effects.emplace_back(MetricSample { .name = "home_reports_dropped_total" });
        return;
    }
    state.control.homeAgents[status.host] = { .status = status, .reported = state.now };
}

bool applyAgentProcessGone(EntryState& state, const HostId& host) { return refuteNotice(state, host); }

void pushConfigIfMissing(EntryState& state, const AgentStatus& status, EntryEffects& effects)
{
    const Member* member = findMember(state.members, status.host);
    if (status.generation.value == 0 && state.config.record.generation.value > 0 && member)
        effects.emplace_back(PushConfig {
            .peer = status.host, .address = member->address, .toEntry = false, .record = state.config.record });
}

void applyOperatorCalled(EntryState& state, const OperatorCalled& event, EntryEffects& effects)
{
    if (event.call.kind == OperatorCallKind::ApplyConfig)
        startApply(state, event.call, effects);
    else
        startOperatorCall(state, event.call, effects);
}

void applyEntryStatus(EntryState& state, const EntryStatusReceived& event, EntryEffects& effects)
{
    collectEntryStatus(state, event, effects);
}

void tickControl(EntryState& state, EntryEffects& effects)
{
    dropExpired(state);
    tickMembers(state, effects);
    tickPoll(state, effects);
    tickGossip(state, effects);
    tickApplies(state, effects);
    tickOperatorCalls(state, effects);
}

GossipMessage localGossip(const EntryState& state)
{
    GossipMessage message {
        .from = state.settings.process.host, .fromLeaving = state.leaving, .generation = state.config.record.generation
    };
    for (const auto& [host, since] : state.members.leavingNotices)
        if (state.now - since <= noticeRelayPeriod)
            message.leaving.push_back(host);
    message.suspicions = localSuspicions(state);
    return message;
}

EntryStatus localEntryStatus(const EntryState& state)
{
    EntryStatus status {
        .host = state.settings.process.host, .leaving = state.leaving, .generation = state.config.record.generation
    };
    for (const auto& [host, agent] : state.control.homeAgents)
        status.agents.push_back(agent.status);
    return status;
}

} // namespace hickory
