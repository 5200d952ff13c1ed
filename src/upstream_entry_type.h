#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "relay_config_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

using UpstreamId = TextId<struct UpstreamTag>; ///< names one upstream in the list

/// Weights that an engine holds.
struct HeldModel {
    ModelId model; ///< name
    WeightsVersion version; ///< loaded version
    bool whole { true }; ///< all layers are held

    bool operator==(const HeldModel&) const = default;
};

/// One upstream of the platform's list.
struct UpstreamEntry {
    UpstreamId id; ///< key in the list
    ServiceId service; ///< what it serves
    std::string address; ///< "ip:port"
    DataCentreId dataCentre; ///< data centre
    std::uint32_t slots { 1 }; ///< requests that run at once
    bool leaving { false }; ///< takes no new work
    std::vector<HeldModel> models; ///< weights that it holds, engines only
    std::int64_t processStartedAt { 0 }; ///< start of the process, Unix ms; differs after a restart under the same id

    bool operator==(const UpstreamEntry&) const = default;
};

/// What an engine says of itself; fresh when it comes from the agent beside it.
struct EngineReport {
    std::vector<HeldModel> models; ///< weights that it holds
    bool busy { false }; ///< an order is under way
    std::uint64_t orders { 0 }; ///< orders accepted since its start
    std::uint32_t waiting { 0 }; ///< requests in its queue
    std::uint32_t running { 0 }; ///< requests in slots
    std::uint64_t kvCacheUsed { 0 }; ///< tokens times layers that cannot yield
    std::uint64_t kvCacheTotal { 0 }; ///< tokens times layers that fit
    double slowdown { 1.0 }; ///< above 1 when it works slower than its profile
    std::int64_t processStartedAt { 0 }; ///< start of the process, Unix ms
};

/// A process that is gone stays listed for a while. Where another one has started at its address since, it is known to
/// be gone.
/// @return the entries without those that another start at the same address replaced
std::vector<UpstreamEntry> currentUpstreams(const std::vector<UpstreamEntry>& listed);

} // namespace hickory
