#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Counts an attempt's end for its upstream and ejects an upstream that fails most of them.
/// @param failed the upstream or the path to it is to blame
void noteAttemptEnd(EntryState& state, UpstreamView& view, bool failed, EntryEffects& effects);

/// Counts the time to the first part for its upstream.
void noteFirstPart(UpstreamView& view, Milliseconds latency);

/// Ends ejections whose time is over and ejects latency outliers.
void tickHealth(EntryState& state, EntryEffects& effects);

} // namespace hickory
