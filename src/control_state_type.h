#pragma once

namespace hickory {

/// Acceptance and spreading of configurations, operator calls and home reports at an entry.
struct ControlState { };

} // namespace hickory
