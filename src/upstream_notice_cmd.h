#pragma once

#include "relay_cmd.h"
#include "upstream_notice_func.h"

namespace hickory {

/// Records what an upstream said of itself in the head of an answer.
void recordNotice(
    RelayState& state, RelayUpstream& view, const UpstreamNotice& notice, Milliseconds now, RelayEffects& effects);
/// Merges what another entry heard from upstreams. What an upstream said last counts.
void applyNotices(RelayState& state, const UpstreamNoticesReceived& event, Milliseconds now, RelayEffects& effects);
/// Takes a request off this entry's shares of the upstream's limits.
void countSend(RelayState& state, RelayUpstream& view, Milliseconds now);
/// Records how many entries share the limits, and which of them this one is.
void applyEntryCount(RelayState& state, const EntryCountUpdated& event, Milliseconds now);
/// Forgets what processes said that are gone.
void forgetStandings(RelayState& state, Milliseconds now);

} // namespace hickory
