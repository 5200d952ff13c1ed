#pragma once

#include "clock_type.h"
#include "gossip_type.h"
#include "id_type.h"
#include "placement_row_type.h"
#include "status_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hickory {

/// Growth and shrinkage of one service by demand.
struct GrowthState {
    std::uint32_t count { 0 }; ///< replicas that demand asks for, 0 before the first decision
    std::uint32_t step { 1 }; ///< replicas that the doubling ramp adds next
    Milliseconds backlogSince { 0 }; ///< start of the present backlog, 0 when there is none
    Milliseconds idleSince { 0 }; ///< since when fewer replicas would do, 0 when they would not
    double tokensPerRequest { 0 }; ///< learned mean of what one slot's request adds to demand, 0 before
};

/// One engine service as seen by an entry.
struct ServicePlacement {
    bool known { false }; ///< the row was read at least once, even when absent
    RowVersion version; ///< version of the row, 0 when absent
    PlacementRow row; ///< its content
    bool permitKnown { false }; ///< the permit row was read at least once, even when absent
    RowVersion permitVersion; ///< version of the permit row
    PermitRow permit; ///< its content
    Milliseconds nextRead { 0 }; ///< when to read both rows again
    Milliseconds changeSince { 0 }; ///< since when another row is wanted than the one in force, 0 when none is
    bool writing { false }; ///< a StoreWrite is out
    Milliseconds nextWrite { 0 }; ///< earliest time of the next proposal
    GrowthState growth; ///< by demand
};

/// Status of an agent with the time of its arrival.
struct HostView {
    AgentStatus status; ///< newest status
    Milliseconds receivedAt { 0 }; ///< when it came
};

/// Demand as told by an entry.
struct EntryDemand {
    std::vector<Demand> demand; ///< by service and rank
    Milliseconds receivedAt { 0 }; ///< when it came
};

/// Placement rows, demand and rollout progress as seen by an entry.
struct PlacementState {
    std::map<ServiceId, ServicePlacement> services; ///< engine services of the configuration
    std::map<HostId, HostView> hosts; ///< bounded by the membership list
    std::map<HostId, EntryDemand> demand; ///< bounded by the entries of the membership list
    Milliseconds nextDemand { 0 }; ///< when to send demand to the proposers
    bool demandSent { false }; ///< the last demand sent was not zero
    Milliseconds nextGrowth { 0 }; ///< when growth is next considered
    Milliseconds nextStatus { 0 }; ///< when to ask other entries for the status of their home agents
};

} // namespace hickory
