#pragma once

#include "entry_effect_type.h"
#include "entry_state_type.h"

#include <string>
#include <vector>

namespace hickory {

/// Adopts a configuration if it is newer than the active one, and pushes it to random entries and to home agents with
/// an older generation.
/// @param record received configuration
/// @param from host that it was received from, which it is not pushed to; empty when it was read from the store or
/// submitted here, "peer" when another entry pushed it, because the sender of a push is not known
/// @param source where it came from, for the log: "store", "operator" or a host name
/// @return true when the active configuration changed
bool adoptAndPropagate(EntryState& state, const ConfigRecord& record, const HostId& from, const std::string& source,
    EntryEffects& effects);

/// @return live entries other than this one in random order, those marked as unreachable last
std::vector<HostId> randomPeers(EntryState& state);

/// @return true when this entry is one of the configPollers entries that poll the store for new configurations
bool isDesignatedPoller(const EntryState& state);

/// Fetches the configuration of a peer, at most once in fetchInterval over all peers.
void fetchConfigFrom(EntryState& state, const HostId& peer, EntryEffects& effects);

} // namespace hickory
