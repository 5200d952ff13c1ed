#pragma once

#include "clock_type.h"
#include "member_type.h"

#include <map>

namespace hickory {

/// A process's view of the membership.
struct MemberState {
    MemberList list; ///< the platform's list as last read
    std::map<HostId, Milliseconds> leavingNotices; ///< hosts that sent a leaving notice, and when it arrived
    /// Hosts whose leaving notice ended with its process, and when. Gossip that still passes the notice on is ignored.
    std::map<HostId, Milliseconds> refutedNotices;
    Milliseconds nextRead { 0 }; ///< when the next read of the list is due
};

} // namespace hickory
