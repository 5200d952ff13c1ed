#include "member_func.h"

#include "digest_func.h"
#include "table/control_limits.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace hickory {

namespace {

    using Json = nlohmann::json;

    Error membersError(const std::string& detail)
    {
        return { .code = make_error_code(ErrorCode::Protocol), .step = "read-members", .detail = detail };
    }

    std::string stringField(const Json& row, const char* key) { return row.value(key, std::string()); }

    /// @return the member, or nothing when the host is missing or role, kind or state has an unknown value
    std::optional<Member> parseMember(const Json& row)
    {
        Member member;
        member.host = { stringField(row, "host") };
        member.service = { stringField(row, "service") };
        member.dataCentre = { stringField(row, "place") };
        member.region = { stringField(row, "region") };
        member.address = stringField(row, "address");
        member.http = stringField(row, "http");
        const std::string role = stringField(row, "role");
        const std::string kind = stringField(row, "kind");
        const std::string state = stringField(row, "state");
        const bool validValues = (role == "entry" || role == "upstream")
            && (kind.empty() || kind == "engine" || kind == "plain") && (state == "live" || state == "leaving");
        if (member.host.empty() || !validValues)
            return std::nullopt;
        member.role = role == "entry" ? MemberRole::Entry : MemberRole::Upstream;
        member.kind = kind == "engine" ? ServiceKind::Engine : ServiceKind::Plain;
        member.state = state == "live" ? HostState::Live : HostState::Leaving;
        return member;
    }

} // namespace

Result<MemberList> parseMembers(std::string_view json)
{
    const Json body = Json::parse(json, nullptr, false);
    if (!body.is_object() || !body.contains("version") || !body["version"].is_number_unsigned()
        || !body.contains("members") || !body["members"].is_array())
        return membersError("expected an object with version and members");
    MemberList list { .version = body["version"].get<std::uint64_t>() };
    try {
        for (const Json& row : body["members"]) {
            std::optional<Member> member = row.is_object() ? parseMember(row) : std::nullopt;
            if (!member)
                return membersError("a member has no host, or an unknown role, kind or state: " + row.dump());
            list.members.push_back(std::move(*member));
        }
    } catch (const Json::exception& error) {
        return membersError(error.what());
    }
    std::sort(list.members.begin(), list.members.end(),
        [](const Member& left, const Member& right) { return left.host < right.host; });
    const auto duplicate = std::adjacent_find(list.members.begin(), list.members.end(),
        [](const Member& left, const Member& right) { return left.host == right.host; });
    if (duplicate != list.members.end())
        return membersError("host " + duplicate->host.value + " is listed twice");
    return list;
}

const Member* findMember(const MemberState& state, const HostId& host)
{
    const auto& members = state.list.members;
    const auto found = std::lower_bound(members.begin(), members.end(), host,
        [](const Member& member, const HostId& wanted) { return member.host < wanted; });
    return found != members.end() && found->host == host ? &*found : nullptr;
}

bool isLeaving(const MemberState& state, const HostId& host)
{
    const Member* member = findMember(state, host);
    return !member || member->state == HostState::Leaving || state.leavingNotices.contains(host);
}

std::vector<HostId> rendezvousOrder(std::string_view key, std::vector<HostId> hosts)
{
    std::vector<std::pair<std::uint64_t, HostId>> scored;
    scored.reserve(hosts.size());
    for (HostId& host : hosts) {
        const std::uint64_t score = stableHash(key, host.value);
        scored.emplace_back(score, std::move(host));
    }
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    std::vector<HostId> ordered;
    ordered.reserve(scored.size());
    for (auto& [score, host] : scored)
        ordered.push_back(std::move(host));
    return ordered;
}

std::vector<HostId> liveEntries(const MemberState& state)
{
    std::vector<HostId> hosts;
    for (const Member& member : state.list.members)
        if (member.role == MemberRole::Entry && !isLeaving(state, member.host))
            hosts.push_back(member.host);
    return hosts;
}

bool takeDueMembersRead(MemberState& state, Milliseconds now)
{
    if (now < state.nextRead)
        return false;
    const auto hosts = static_cast<std::int64_t>(state.list.members.size());
    state.nextRead = now + std::max(membersReadInterval, membersReadIntervalPerHost * hosts);
    return true;
}

} // namespace hickory
