#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Adds the end of an attempt to its upstream's error rate. Ejects an upstream with too high a rate: it gets no new
/// attempts for some time.
/// @param failed the upstream or the connection to it caused the attempt to fail
void recordAttemptEnd(EntryState& state, UpstreamView& view, bool failed, EntryEffects& effects);

/// Adds the time to the first part of an attempt to its upstream's smoothed latency.
void recordFirstPart(UpstreamView& view, Milliseconds latency);

/// Periodic work: ends ejections whose time is over and ejects latency outliers.
void tickHealth(EntryState& state, EntryEffects& effects);

} // namespace hickory
