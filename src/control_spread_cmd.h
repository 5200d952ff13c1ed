#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

#include <string>
#include <vector>

namespace hickory {

/// Adopts a configuration if it is newer than the one in force, and pushes it to random entries and home agents.
/// @param from host it came from; empty when it came from the store or was accepted here
/// @param source where it came from, for the log
/// @return true when the configuration in force changed
bool adoptAndSpread(EntryState& state, const ConfigRecord& record, const HostId& from, const std::string& source,
    EntryEffects& effects);

/// @return live entries other than this one, those that gossip reaches before the others, each group in random order
std::vector<HostId> randomPeers(EntryState& state);

/// @return true when this entry is one of those that poll the store for new configurations
bool isDesignatedPoller(const EntryState& state);

/// Asks a peer for its configuration, unless one was asked just now.
void fetchFrom(EntryState& state, const HostId& peer, EntryEffects& effects);

} // namespace hickory
