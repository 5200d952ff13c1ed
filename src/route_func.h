#pragma once

#include "entry_state_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hickory {

/// Routing parameters of a request.
struct RouteQuery {
    RankIndex rank; ///< rank in the present configuration
    std::uint64_t prefixHash { 0 }; ///< hash of the prompt's first characters for affinity, 0 when there is no prompt
    ModelVersion pinned; ///< model version that the upstream must serve, empty for any
    bool suspect { false }; ///< may have crashed an upstream; must be the only suspect on its upstream
    HostId avoidHost; ///< host of the previous attempt, excluded unless it is the only candidate of the version
};

/// A routing decision.
struct RouteChoice {
    std::uint32_t upstream { 0 }; ///< index in UpstreamViews::views
    const char* reason { "" }; ///< machine-readable name of the rule that decided, for the log
    std::string candidates; ///< compared hosts with scores or loads in hundredths, for the log: "host:score,..."
};

/// Estimates the requests at an upstream that are served before a new request of a rank: all of the same and of more
/// urgent ranks, and of less urgent ranks as many as their floors protect from preemption. The weight of the other
/// entries' load falls with the age of the report.
/// @return estimated number of requests, may be fractional
double queueDepth(const EntryState& state, const ServiceConfig& service, const UpstreamView& view, RankIndex rank);

/// @return slots of the upstream that may be used now; fewer than its concurrency limit during its slow start
double availableSlots(const EntryState& state, const ServiceConfig& service, const UpstreamView& view);

/// @return whether the upstream can start a request of the rank, can queue it, or has no room for it
Room roomOf(const EntryState& state, const ServiceConfig& service, const UpstreamView& view, RankIndex rank);

/// Chooses an upstream that has room, by the routing policy of the entry.
/// @param state entry; its random generator advances
/// @param service configuration of the service
/// @param pool upstreams of the service
/// @param query the request
/// @return the choice, or nothing when no permitted upstream with room was found
std::optional<RouteChoice> chooseUpstream(
    EntryState& state, const ServiceConfig& service, const ServicePool& pool, const RouteQuery& query);

/// Checks the rules for requests pinned to a model version and for suspect requests: a suspect does not share an
/// upstream with another suspect, nor the only ready upstream with requests of the most urgent rank.
/// @return true when the request may be dispatched to the upstream
bool permitsRequest(const ServicePool& pool, const UpstreamView& view, const RouteQuery& query);

} // namespace hickory
