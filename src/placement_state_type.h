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

/// Scaling of one service by demand.
struct GrowthState {
    std::uint32_t count { 0 }; ///< wanted replicas, 0 before the first decision
    std::uint32_t step { 1 }; ///< replicas that GrowthPolicy::Doubling adds next
    Milliseconds backlogSince { 0 }; ///< start of the backlog or of the last step taken against it, 0 for no backlog
    Milliseconds idleSince { 0 }; ///< since when fewer replicas would suffice, 0 when they would not
    double tokensPerRequest { 0 }; ///< moving average of demand tokens per request, 0 before the first sample
};

/// An entry's view of the placement and rollout of one engine service.
struct ServicePlacement {
    bool known { false }; ///< the placement row was read at least once, even if it is absent
    RowVersion version; ///< version of the placement row, 0 when it is absent
    PlacementRow row; ///< content of the placement row, default when it is absent
    bool permitKnown { false }; ///< the permit row was read at least once, even if it is absent
    RowVersion permitVersion; ///< version of the permit row, 0 when it is absent
    PermitRow permit; ///< content of the permit row, default when it is absent
    Milliseconds nextRead { 0 }; ///< when the next read of both rows is due
    Milliseconds changeSince { 0 }; ///< since when the plan differs from the row, 0 when it does not
    bool writing { false }; ///< a write of the placement row is in progress
    Milliseconds nextWrite { 0 }; ///< earliest time of the next proposal
    GrowthState growth; ///< default while this entry receives no demand for the service
};

/// The newest status received from or about an agent.
struct HostView {
    AgentStatus status;
    Milliseconds receivedAt { 0 }; ///< time of arrival at this entry
};

/// The newest demand received from an entry.
struct EntryDemand {
    std::vector<Demand> demand; ///< one item per service and rank
    Milliseconds receivedAt { 0 }; ///< time of arrival at this entry
};

/// An entry's view of placement rows, demand and rollout progress.
struct PlacementState {
    std::map<ServiceId, ServicePlacement> services; ///< all engine services of the configuration
    std::map<HostId, HostView> hosts; ///< engine hosts on the membership list with a known status
    std::map<HostId, EntryDemand> demand; ///< of the entries on the membership list, this one included
    Milliseconds nextDemand { 0 }; ///< when this entry's demand is next sent to the proposers
    bool demandSent { false }; ///< the last demand sent was not zero, so that a zero has to follow it
    Milliseconds nextGrowth { 0 }; ///< when the number of replicas is next decided
    Milliseconds nextStatus { 0 }; ///< when the other entries are next queried for the status of their home agents
};

} // namespace hickory
