#pragma once

#include "config_type.h"
#include "id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Value of the row "placement/{service}": the engine hosts that serve it. Model, version, adapters and role are those
/// of the accepted text, so that a new version needs no new row.
struct PlacementRow {
    Generation generation; ///< configuration on which the proposal was based
    HostId proposer; ///< entry that wrote the row
    std::string reason; ///< why, for operators
    std::vector<HostId> hosts; ///< sorted

    bool operator==(const PlacementRow&) const = default;
};

/// A host that may be out of service for a rollout.
struct PermitHolder {
    HostId host; ///< the host
    Incarnation incarnation; ///< life of its agent
    std::uint64_t renewal { 0 }; ///< rises while the holder lives; a holder whose number stands still has expired

    bool operator==(const PermitHolder&) const = default;
};

/// Value of the row "permits/{service}": progress of the newest rollout.
struct PermitRow {
    Generation generation; ///< configuration that asked for `model` first
    ModelConfig model; ///< what is rolled out
    std::optional<ModelConfig> previous; ///< what served before; hosts return to it when the rollout is stopped
    std::vector<PermitHolder> holders; ///< at most max_out hosts
    std::vector<HostId> done; ///< hosts that serve `model`, sorted
    std::vector<HostId> failed; ///< hosts that could not load `model`, sorted
    bool passed { false }; ///< the first wave serves `model` without more failures than before
    bool stopped { false }; ///< the rollout has stopped by itself
    std::string reason; ///< why it stopped

    bool operator==(const PermitRow&) const = default;
};

} // namespace hickory
