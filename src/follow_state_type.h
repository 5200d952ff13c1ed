#pragma once

namespace hickory {

/// How an agent follows the configuration: home entry and time of the next report.
struct FollowState { };

} // namespace hickory
