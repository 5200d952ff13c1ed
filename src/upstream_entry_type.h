#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "relay_config_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

using UpstreamId = TextId<struct UpstreamTag>; ///< key of an upstream in the platform's list

/// Weights of one model that an engine holds.
struct HeldModel {
    ModelId model;
    WeightsVersion version; ///< loaded version
    bool whole { true }; ///< the engine holds all layers, not only a range of them

    bool operator==(const HeldModel&) const = default;
};

/// One entry of the platform's list of upstreams.
struct UpstreamEntry {
    UpstreamId id; ///< key in the list
    ServiceId service; ///< service that it serves
    std::string address; ///< "ip:port"
    DataCentreId dataCentre; ///< data centre of its host
    std::uint32_t slots { 1 }; ///< requests that it runs concurrently
    bool leaving { false }; ///< accepts no new requests
    std::vector<HeldModel> models; ///< weights that it holds, engines only
    std::int64_t processStartedAt { 0 }; ///< start of the process, Unix ms; differs after a restart under the same id
    Milliseconds coldLeft { 0 }; ///< how much longer it is cold, as of its last row

    bool operator==(const UpstreamEntry&) const = default;
};

/// Orders what an upstream wrote about itself under one id, whatever the store has kept of it.
struct UpstreamReportOrder {
    std::int64_t processStartedAt { 0 }; ///< start of the process, Unix ms
    std::uint64_t reports { 0 }; ///< reports since then, this one included

    auto operator<=>(const UpstreamReportOrder&) const = default;
};

/// State that an engine reports about itself; read by the agent on its host, so newer than the platform's list.
struct EngineReport {
    std::vector<HeldModel> models; ///< weights that it holds
    bool busy { false }; ///< a load order is in progress
    std::uint64_t orders { 0 }; ///< orders accepted since the start of the process
    std::uint32_t waiting { 0 }; ///< requests in its queue
    std::uint32_t running { 0 }; ///< requests in slots
    std::uint64_t kvCacheUsed { 0 }; ///< KV cache in use that cannot be evicted, in tokens times layers
    std::uint64_t kvCacheTotal { 0 }; ///< size of the KV cache, in tokens times layers
    double slowdown { 1.0 }; ///< measured time relative to its profile; above 1 when it is slower
    std::int64_t processStartedAt { 0 }; ///< start of the process, Unix ms
};

/// Removes the entries of exited processes that the platform still lists. A process is known to have exited when
/// another one was started at the same address later.
/// @return the latest started entry or entries of each address, in the order of `listed`
std::vector<UpstreamEntry> currentUpstreams(const std::vector<UpstreamEntry>& listed);

} // namespace hickory
