#pragma once

#include "config_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// What a host runs for us.
enum class MemberRole : std::uint8_t { Entry, Upstream };

/// State of a host in the platform's list.
enum class HostState : std::uint8_t { Live, Leaving };

/// One row of the platform's membership list.
struct Member {
    HostId host; ///< unique name
    MemberRole role { MemberRole::Entry }; ///< entry host or upstream host
    ServiceKind kind { ServiceKind::Plain }; ///< upstream hosts: what stands behind the agent
    ServiceId service; ///< plain upstream hosts: the service; empty for engines, which follow placement
    DataCentreId dataCentre; ///< data centre
    RegionId region; ///< region of the place
    std::string address; ///< "ip:port" of our Cap'n Proto RPC
    std::string http; ///< entries: "ip:port" of the HTTP listener for callers
    HostState state { HostState::Live }; ///< live or leaving

    bool operator==(const Member&) const = default;
};

/// The platform's list as last read.
struct MemberList {
    std::uint64_t version { 0 }; ///< version of the list, 0 before the first read
    std::vector<Member> members; ///< sorted by host
};

} // namespace hickory
