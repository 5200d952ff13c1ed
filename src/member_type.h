#pragma once

#include "config_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Which kind of process a host runs: an entry, or an upstream with its agent.
enum class MemberRole : std::uint8_t { Entry, Upstream };

/// State of a host in the platform's list.
enum class HostState : std::uint8_t { Live, Leaving };

/// One row of the platform's membership list.
struct Member {
    HostId host; ///< unique name in the fleet
    MemberRole role { MemberRole::Entry };
    ServiceKind kind { ServiceKind::Plain }; ///< upstream hosts: kind of upstream that the agent fronts
    ServiceId service; ///< plain upstream hosts: their service; empty for engines, which placement assigns
    DataCentreId dataCentre;
    RegionId region; ///< region of the data centre
    std::string address; ///< "ip:port" of the entry's or agent's Cap'n Proto RPC
    std::string http; ///< entries: "ip:port" of the HTTP listener for clients
    HostState state { HostState::Live };

    bool operator==(const Member&) const = default;
};

/// The platform's membership list.
struct MemberList {
    std::uint64_t version { 0 }; ///< version number set by the platform, 0 before the first read
    std::vector<Member> members; ///< sorted by host
};

} // namespace hickory
