#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Work of one rank at an agent.
struct RankLoad {
    std::uint32_t running { 0 }; ///< streams or calls in a slot
    std::uint32_t queued { 0 }; ///< admitted and waiting for a slot

    bool operator==(const RankLoad&) const = default;
};

/// What an agent says about itself and its upstream.
struct AgentStatus {
    HostId host; ///< the agent's host
    DataCentreId dataCentre; ///< data centre of the host
    Incarnation incarnation; ///< life of the agent process
    std::uint64_t sequence { 0 }; ///< rises with each change of the status in one incarnation
    ServiceId service; ///< service it stands before, empty when an engine has no placement
    bool ready { false }; ///< the upstream answers and, for engines, runs the verified version
    bool leaving { false }; ///< refuses new work and will exit
    ModelId model; ///< model in service, empty for plain services
    ModelVersion version; ///< version in service, empty for plain services
    std::vector<std::string> adapters; ///< adapters in service
    std::string role; ///< engine role in force
    Generation generation; ///< configuration in force at the agent
    std::uint32_t limit { 0 }; ///< concurrency limit in force
    std::vector<RankLoad> ranks; ///< load by rank index
    Tokens queuedTokens; ///< cost of the waiting work
    Milliseconds latency; ///< smoothed time to the first part
    ModelVersion wantedVersion; ///< version being fetched or loaded, empty when none
    std::uint32_t chunksHave { 0 }; ///< chunks of wantedVersion held and verified
    std::uint32_t chunksTotal { 0 }; ///< chunks of wantedVersion
    std::uint32_t failures { 0 }; ///< requests failed since the present version became ready
    std::string detail; ///< why the upstream is not ready or a rollout stopped here

    bool operator==(const AgentStatus&) const = default;
};

} // namespace hickory
