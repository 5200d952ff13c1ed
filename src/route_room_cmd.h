#pragma once

#include "entry_state_type.h"

namespace hickory {

/// Updates the per-rank lists of upstreams with room for one upstream. Must be called after each change of its load or
/// status, so that routing samples only upstreams with room instead of searching for them.
/// @param index index in UpstreamViews::views
void refreshRoom(EntryState& state, std::uint32_t index);

/// Updates the lists for all upstreams. Called periodically, because the age of reports and the slow start change the
/// result without any event.
void refreshAllRoom(EntryState& state);

} // namespace hickory
