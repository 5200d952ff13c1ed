#pragma once

#include "entry_state_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hickory {

/// What routing must know about a request.
struct RouteQuery {
    RankIndex rank; ///< rank of the request
    std::uint64_t prefixHash { 0 }; ///< hash of the prompt's beginning, 0 for none
    ModelVersion pinned; ///< version that the upstream must run, empty for any
    bool suspect { false }; ///< must be the only suspect on its replica
    HostId avoidHost; ///< host of the attempt before; used only when there is no other
};

/// A chosen upstream with what the decision's log line says.
struct RouteChoice {
    std::uint32_t upstream { 0 }; ///< index of the view
    const char* reason { "" }; ///< rule that decided
    std::string candidates; ///< compared hosts with their depths
};

/// Estimates the work that stands before a request of a rank at an upstream: everything of its rank and of more urgent
/// ranks, and of less urgent ranks what their floors protect from preemption. Load of other entries counts less as
/// the report of it ages.
/// @return requests
double depthFor(const EntryState& state, const ServiceConfig& service, const UpstreamView& view, RankIndex rank);

/// @return slots that the upstream may be given now; fewer than its limit while it starts slowly
double slotsOf(const EntryState& state, const ServiceConfig& service, const UpstreamView& view);

/// @return what the upstream can do with a request of the rank
Room roomOf(const EntryState& state, const ServiceConfig& service, const UpstreamView& view, RankIndex rank);

/// Chooses an upstream that has room.
/// @param state entry; its random generator advances
/// @param service configuration of the service
/// @param pool the service
/// @param query the request
/// @return the choice, or nothing when no permitted upstream with room was found
std::optional<RouteChoice> chooseUpstream(
    EntryState& state, const ServiceConfig& service, const ServicePool& pool, const RouteQuery& query);

/// @return true when the rules for pinned and suspect requests permit the upstream
bool permitsRequest(const ServicePool& pool, const UpstreamView& view, const RouteQuery& query);

} // namespace hickory
