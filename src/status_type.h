#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Requests of one rank at an agent.
struct RankLoad {
    std::uint32_t running { 0 }; ///< requests that hold a slot
    std::uint32_t queued { 0 }; ///< admitted requests that wait for a slot

    bool operator==(const RankLoad&) const = default;
};

/// Status that an agent reports about itself and its upstream.
struct AgentStatus {
    HostId host; ///< host of the agent
    DataCentreId dataCentre; ///< data centre of the host
    Incarnation incarnation; ///< run of the agent process
    std::uint64_t sequence { 0 }; ///< grows with each change of the status within one incarnation
    ServiceId service; ///< service of the upstream, empty when an engine has no placement
    bool ready { false }; ///< the upstream answers and, for engines, runs the verified version
    bool leaving { false }; ///< the agent accepts no new dispatches and will exit
    ModelId model; ///< model in service, empty for plain services
    ModelVersion version; ///< version in service, empty for plain services
    std::vector<std::string> adapters; ///< adapters in service
    std::string role; ///< current engine role, empty for plain services
    Generation generation; ///< configuration that the agent uses
    std::uint32_t limit { 0 }; ///< current concurrency limit, 0 when none is set yet
    std::vector<RankLoad> ranks; ///< load by rank index
    Tokens queuedTokens; ///< estimated tokens of the requests that wait for a slot
    Milliseconds latency; ///< smoothed time to the first part of an answer
    ModelVersion wantedVersion; ///< version being fetched or loaded, empty when none
    std::uint32_t chunksHave { 0 }; ///< verified chunks of wantedVersion on the host
    std::uint32_t chunksTotal { 0 }; ///< all chunks of wantedVersion
    std::uint32_t failures { 0 }; ///< requests that failed since the current version became ready
    std::string detail; ///< reason why the upstream is not ready or a rollout stopped here, else empty

    bool operator==(const AgentStatus&) const = default;
};

} // namespace hickory
