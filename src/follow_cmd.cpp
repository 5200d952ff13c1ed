#include "follow_cmd.h"

#include "config_record_func.h"
#include "member_func.h"
#include "table/control_limits.h"

#include <algorithm>

namespace hickory {

namespace {

    /// @return live entries in rendezvous order, those with a recent failed report last; the first one is the home
    std::vector<HostId> homeCandidates(const AgentState& state)
    {
        std::vector<HostId> ordered = rendezvousOrder(state.settings.process.host.value, liveEntries(state.members));
        std::stable_partition(ordered.begin(), ordered.end(),
            [&](const HostId& entry) { return !state.follow.failedEntries.contains(entry); });
        return ordered;
    }

    void readMembersIfDue(AgentState& state, AgentEffects& effects)
    {
        if (takeDueMembersRead(state.members, state.now))
            effects.emplace_back(ReadMembers { .since = state.members.list.version });
    }

    /// While the agent has no configuration, asks one entry per interval in turn, starting with the home.
    void fetchConfigIfDue(AgentState& state, const std::vector<HostId>& entries, AgentEffects& effects)
    {
        if (state.config.record.generation.value > 0 || state.now < state.follow.nextFetch || entries.empty())
            return;
        state.follow.nextFetch = state.now + fetchInterval;
        const HostId& entry = entries[state.follow.fetchCount++ % entries.size()];
        effects.emplace_back(FetchConfig { .peer = entry, .address = findMember(state.members, entry)->address });
    }

} // namespace

bool applyConfigReceived(AgentState& state, const ConfigReceived& event, AgentEffects& effects)
{
    std::vector<LogLine> log;
    const bool adopted = adoptConfig(state.config, event.record, event.from.value, log);
    for (LogLine& line : log)
        effects.emplace_back(std::move(line));
    if (!adopted)
        return false;
    effects.emplace_back(MetricSample { .kind = MetricSample::Kind::Gauge,
        .name = "config_generation",
        .value = static_cast<double>(event.record.generation.value) });
    // Operators learn from the home which hosts run a generation: an immediate report saves up to one interval.
    state.follow.nextReport = state.now;
    return true;
}

void applyMembersUpdated(AgentState& state, const MembersUpdated& event, AgentEffects& effects)
{
    const auto isEntry = [](const Member& member) { return member.role == MemberRole::Entry; };
    const auto hasEntry
        = [&](const MemberList& list) { return std::any_of(list.members.begin(), list.members.end(), isEntry); };
    // A list without any entry is faulty: adopting it would leave the agent without a home.
    if (!hasEntry(event.list) && hasEntry(state.members.list)) {
        effects.emplace_back(LogLine { .level = LogLevel::Warning,
            .event = "members-ignored",
            .fields
            = { { "version", std::to_string(event.list.version) }, { "reason", "the list names no entry host" } } });
        return;
    }
    effects.emplace_back(LogLine { .event = "members",
        .fields = { { "version", std::to_string(event.list.version) },
            { "previous", std::to_string(state.members.list.version) },
            { "hosts", std::to_string(event.list.members.size()) } } });
    state.members.list = event.list;
    std::erase_if(
        state.follow.failedEntries, [&](const auto& failed) { return !findMember(state.members, failed.first); });
}

void applyHomeReportFailed(AgentState& state, const HomeReportFailed& event, AgentEffects& effects)
{
    if (!findMember(state.members, event.entry))
        return;
    const bool firstFailure = !state.follow.failedEntries.contains(event.entry);
    state.follow.failedEntries[event.entry] = state.now + unreachableTimeToLive;
    if (!firstFailure)
        return;
    // The next entry in order gets a report at once; repeated failures of the same entry wait for the interval.
    state.follow.nextReport = state.now;
    effects.emplace_back(LogLine {
        .level = LogLevel::Warning, .event = "home-unreachable", .fields = { { "entry", event.entry.value } } });
}

void tickFollow(AgentState& state, const AgentStatus& status, AgentEffects& effects)
{
    std::erase_if(state.follow.failedEntries, [&](const auto& failed) { return state.now > failed.second; });
    readMembersIfDue(state, effects);
    const bool fetchDue = state.config.record.generation.value == 0 && state.now >= state.follow.nextFetch;
    const bool reportDue = state.now >= state.follow.nextReport;
    if (!fetchDue && !reportDue)
        return;
    const std::vector<HostId> entries = homeCandidates(state);
    fetchConfigIfDue(state, entries, effects);
    if (!reportDue || entries.empty())
        return;
    state.follow.nextReport = state.now + reportInterval;
    effects.emplace_back(ReportHome {
        .entry = entries.front(), .address = findMember(state.members, entries.front())->address, .status = status });
}

} // namespace hickory
