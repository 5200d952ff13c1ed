#pragma once

namespace hickory {

/// Slots, waiting dispatches and call rows at an agent.
struct SlotState { };

} // namespace hickory
