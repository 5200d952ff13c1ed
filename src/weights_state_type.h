#pragma once

namespace hickory {

/// Manifests, chunks, peers, placement and permits as seen by an agent.
struct WeightsState { };

} // namespace hickory
