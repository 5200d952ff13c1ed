#pragma once

namespace hickory {

/// Placement rows, demand and rollout progress as seen by an entry.
struct PlacementState { };

} // namespace hickory
