#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

#include <string>
#include <vector>

namespace hickory {

/// Handles answers with purpose Placement.
void applyPlacementStoreAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Takes over a peer's demand.
void applyDemand(EntryState& state, const HostId& from, const std::vector<Demand>& demand, EntryEffects& effects);

/// Takes over what an agent says of itself, from whichever side it came; an older status is ignored.
void noteHostStatus(EntryState& state, const AgentStatus& status);

/// Reacts to a new configuration or membership.
void applyConfigToPlacement(EntryState& state, EntryEffects& effects);

/// Periodic work: reads placement rows where this entry proposes, proposes changes.
void tickPlacement(EntryState& state, EntryEffects& effects);

/// @return JSON array with the progress of each engine service's version
std::string rolloutJson(const EntryState& state);

} // namespace hickory
