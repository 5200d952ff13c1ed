#pragma once

#include "clock_type.h"
#include "member_type.h"

#include <map>

namespace hickory {

/// Live and leaving hosts as known to a process.
struct MemberState {
    MemberList list; ///< platform's list as last read
    std::map<HostId, Milliseconds> leavingNotices; ///< hosts that said themselves that they leave, and when
    std::map<HostId, Milliseconds> refutedNotices; ///< hosts whose notice ended with its process, and when
    Milliseconds nextRead { 0 }; ///< when to read the list again
};

} // namespace hickory
