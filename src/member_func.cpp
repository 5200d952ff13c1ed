#include "member_func.h"

#include "digest_func.h"

#include <algorithm>

namespace hickory {

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
        const std::uint64_t score = placementHash(key, host.value);
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

} // namespace hickory
