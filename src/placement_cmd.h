#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

#include <string>
#include <vector>

namespace hickory {

/// Handles store answers with purpose Placement: reads of placement and permit rows, and writes of placement rows.
void applyPlacementStoreAnswer(EntryState& state, const StoreAnswer& answer, EntryEffects& effects);

/// Stores a peer entry's demand in place of what it sent before. Empty demand is ignored, since ordinary gossip
/// carries none.
void applyDemand(EntryState& state, const HostId& from, const std::vector<Demand>& demand, EntryEffects& effects);

/// Stores an agent's status, whether it came from the agent or from another entry. Ignored are hosts that are not
/// listed as engine hosts, and statuses older than the stored one.
void updateHostStatus(EntryState& state, const AgentStatus& status);

/// Adds state for new engine services, and removes that of services, hosts and entries that no longer exist.
void applyConfigToPlacement(EntryState& state, EntryEffects& effects);

/// Does what is due: reads placement and permit rows, exchanges demand, and writes the placement rows for which it is
/// this entry's turn to propose. Does nothing while this entry is leaving.
void tickPlacement(EntryState& state, EntryEffects& effects);

/// @return JSON array with the rollout progress of each engine service
std::string rolloutJson(const EntryState& state);

} // namespace hickory
