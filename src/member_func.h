#pragma once

#include "error_type.h"
#include "member_state_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// Parses the platform's answer to GET /members.
/// @param json body
/// @return the list sorted by host, or Protocol
Result<MemberList> parseMembers(std::string_view json);

/// @param state membership
/// @param host a host
/// @return the host's row, or nullptr
const Member* findMember(const MemberState& state, const HostId& host);

/// @param state membership
/// @param host a host
/// @return true when the list or the host's own notice says that it is leaving, or when it is not listed
bool isLeaving(const MemberState& state, const HostId& host);

/// Orders hosts for a key by rendezvous hashing, so that all processes agree without talking.
/// @param key what is assigned, e.g. a chunk digest or "config-poll"
/// @param hosts candidates
/// @return candidates, best first; the order of two hosts does not depend on the others
std::vector<HostId> rendezvousOrder(std::string_view key, std::vector<HostId> hosts);

/// @param state membership
/// @return live entry hosts, sorted
std::vector<HostId> liveEntries(const MemberState& state);

/// Tells whether the membership list is due to be read, and if so sets the time of the next read. The interval grows
/// with the number of hosts, so that all together read at most 200 times a second.
/// @param state membership
/// @param now time of the event being reduced
/// @return true when the list shall be read now
bool beginMembersRead(MemberState& state, Milliseconds now);

} // namespace hickory
