#pragma once

#include "relay_state_type.h"

#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// @param processStartedAt start of the upstream's process, Unix ms, 0 when unknown
UpstreamProcessId upstreamProcessId(const UpstreamId& upstream, std::int64_t processStartedAt);

/// @return what the process of an upstream said of itself, or nullptr
const UpstreamStanding* findStanding(const RelayState& state, const RelayUpstream& view);

/// @return when the pause ends that an upstream asked for; in the past if it has not
Milliseconds pausedUntil(const RelayState& state, const RelayUpstream& view);

/// @return the limit that a process named for all entries, or nothing. Where it is too low for so many entries, the
/// first of a rotation share it.
std::optional<SharedLimit> namedLimit(
    const RelayState& state, const UpstreamStanding& standing, UpstreamProcessId process);

/// @return id of the upstream that a process is a run of, for the log
std::string upstreamName(const RelayState& state, UpstreamProcessId process);

/// @return whether this entry may send a request to an upstream, now or as soon as its allowance grows or a pause ends
/// @param latest when the request is of no use any more
bool maySendBefore(const RelayState& state, const RelayUpstream& view, Milliseconds latest);

/// @param allowed regions in which upstreams count
/// @return when the first pause of an upstream of a service ends, or nothing if none pauses
std::optional<Milliseconds> firstPauseEnd(
    const RelayState& state, const ServiceId& service, const AllowedRegions& allowed, Milliseconds now);

/// @return whether this entry may send the upstream a request now
bool maySendNow(const RelayState& state, const RelayUpstream& view, Milliseconds now);

/// @param allowed regions in which upstreams count
/// @return requests a second that all upstreams of a service take from this entry, or nothing if one has no limit: it
/// named none and is not cold
std::optional<double> limitedRate(
    const RelayState& state, const ServiceId& service, const AllowedRegions& allowed, Milliseconds now);

/// @param whole also lists what has not changed lately, for entries that started since
/// @return what this entry knows that upstreams said of themselves, for the other entries; bounded, newest first
std::vector<UpstreamNoticeReport> upstreamNotices(const RelayState& state, bool whole, Milliseconds now);

} // namespace hickory
