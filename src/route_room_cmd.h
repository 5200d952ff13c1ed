#pragma once

#include "entry_state_type.h"

namespace hickory {

/// Updates which ranks an upstream has room for. Called after each change of its load or status, so that a decision
/// draws only from upstreams with room instead of searching for one.
/// @param index the upstream's view
void refreshRoom(EntryState& state, std::uint32_t index);

/// Does so for all upstreams: reports age and slow starts go on without any event.
void refreshAllRoom(EntryState& state);

} // namespace hickory
