#pragma once

#include "config_type.h"
#include "id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Value of the row "placement/{service}": the engine hosts that serve it. Model, version, adapters and role come from
/// the configuration, so that a new version needs no new row.
struct PlacementRow {
    Generation generation; ///< generation of the configuration on which the proposal was based
    HostId proposer; ///< entry that wrote the row
    std::string reason; ///< cause of the last change, for operators
    std::vector<HostId> hosts; ///< sorted

    bool operator==(const PlacementRow&) const = default;
};

/// A host that holds a permit to be out of service for a rollout.
struct PermitHolder {
    HostId host;
    Incarnation incarnation; ///< process of the host's agent that took the permit
    std::uint64_t renewal { 0 }; ///< raised by the holder at each renewal; a holder whose number stops changing expires

    bool operator==(const PermitHolder&) const = default;
};

/// Value of the row "permits/{service}": progress of the service's newest rollout.
struct PermitRow {
    Generation generation; ///< generation of the configuration that first named `model`
    ModelConfig model; ///< model being rolled out
    std::optional<ModelConfig> previous; ///< model served before, if any; hosts return to it when the rollout stops
    std::vector<PermitHolder> holders; ///< hosts that hold a permit, at most max_out of the service
    std::vector<HostId> done; ///< hosts that serve `model`, sorted
    std::vector<HostId> failed; ///< hosts that could not load `model` or failed too many requests with it, sorted
    /// The first wave is over, so that further hosts may take permits as earlier ones finish. The first wave is the
    /// first hosts to take a permit, at most max_out of them; each is observed on `model` before it counts as done.
    bool passed { false };
    bool stopped { false }; ///< the rollout was stopped because of failed hosts
    std::string reason; ///< why it was stopped, empty when it was not

    bool operator==(const PermitRow&) const = default;
};

} // namespace hickory
