#pragma once

#include "error_type.h"
#include "member_state_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// Parses the platform's answer to GET /members.
/// @param json response body
/// @return the list sorted by host; Protocol when the body is malformed or lists a host twice
Result<MemberList> parseMembers(std::string_view json);

/// @return the host's row in the membership list, or nullptr when it is not listed; valid until the list changes
const Member* findMember(const MemberState& state, const HostId& host);

/// @return true when the list marks the host as leaving, when it sent a leaving notice, or when it is not listed
bool isLeaving(const MemberState& state, const HostId& host);

/// Orders hosts for a key by rendezvous hashing, so that all processes reach the same order without communication.
/// @param key identifies the task or object to assign, e.g. a chunk digest or "config-poll"
/// @param hosts candidates
/// @return candidates, best first; the relative order of two hosts does not depend on the others
std::vector<HostId> rendezvousOrder(std::string_view key, std::vector<HostId> hosts);

/// @return entry hosts that are not leaving, sorted
std::vector<HostId> liveEntries(const MemberState& state);

/// Checks whether a read of the membership list is due, and if so schedules the next one. The interval grows with the
/// number of hosts, so that the whole fleet makes at most 200 reads a second.
/// @param now time of the event being reduced
/// @return true when the caller has to read the list now
bool takeDueMembersRead(MemberState& state, Milliseconds now);

} // namespace hickory
