#pragma once

#include "clock_type.h"
#include "table/stage_limits.h"

#include <cstddef>

namespace hickory {

/// Interval between polls of the engine's report: about two passes of an engine. Polling occupies no slot.
constexpr Milliseconds reportPollPeriod { 150 };
/// The same while the engine loads weights: callers wait for the end of it.
constexpr Milliseconds loadingReportPollPeriod { 50 };
/// An engine that does not respond within this time counts as gone.
constexpr Milliseconds reportTimeout { 600 };
static_assert(maxReportAge >= reportTimeout, "a report in time must suffice for a load order");
/// Interval between beacons that carry the engine's load to entries. Between two beacons an entry counts the requests
/// that it sends to the engine itself.
constexpr Milliseconds engineBeaconPeriod { 150 };
/// Interval between polls of an entry for the fleet view. It adds to the time until declared weights become known.
constexpr Milliseconds fleetPollPeriod { 350 };
/// Interval between polls for the fleet view until the first one succeeds. The agent learns from it which weights to
/// load, so after a power failure no engine serves until then.
constexpr Milliseconds initialFleetPollPeriod { 60 };
/// Connect timeout of a poll. An entry that is down does not respond, and the next one is polled.
constexpr Milliseconds fleetConnectTimeout { 150 };
/// The same until the first poll succeeds: many entries may be down, and the agent tries them one by one. Allows
/// several round trips between regions.
constexpr Milliseconds initialFleetConnectTimeout { 60 };
/// Timeout of a poll, after which another entry is polled.
constexpr Milliseconds fleetPollTimeout { 700 };
/// Timeout of a piece request to an agent. Sending a piece takes 35 ms over an idle link, after a few queued ones.
constexpr Milliseconds peerPieceTimeout { 1500 };
/// Timeout of a request to the origin, which sends one copy of a version in 1.7 s to all hosts together.
constexpr Milliseconds originTimeout { 3000 };
/// Timeout of reading or writing a staged piece at the engine on the same host.
constexpr Milliseconds engineTimeout { 800 };
/// Timeout of the response to a load order.
constexpr Milliseconds orderResponseTimeout { 800 };
/// Every n-th report of an engine goes to all home entries, the others to the first one: within reportMaxAge the second
/// one passes on two, should the first one be gone.
constexpr std::uint32_t reportsPerReportToAll = 3;
/// Entries that a report is sent to while no entry is known to be live.
constexpr std::size_t maxSearchTargets = 6;
/// Silence after which an entry counts as gone. Entries send beacons to agents twice a second, and name the other live
/// ones once a second.
constexpr Milliseconds entryLiveTimeout { 2500 };
/// Bytes of a piece sent at once. Delays an event of a stream by at most 4 ms on a link of 7.6 Mbit/s.
constexpr std::size_t uploadSliceBytes = 4096;
/// Uploads waiting for the link: 0.2 s at 7.6 Mbit/s.
constexpr std::size_t maxUploads = 5;
/// Conversion factor: 1 Mbit/s in bytes per millisecond.
constexpr double bytesPerMsPerMbps = 125.0;
/// Versions kept in memory: the one in service and the next.
constexpr std::size_t maxHeldVersions = 2;

} // namespace hickory
