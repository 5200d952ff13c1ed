#pragma once

#include "relay_state_type.h"

#include <vector>

namespace hickory {

/// @return an empty state
RelayState makeRelayState(const RelayOptions& options);

/// Decides on one event. Has no input or output of its own: what shall happen is returned.
/// @param state changed in place
/// @param event what happened
/// @param now time of the event
/// @return what to do, in order
std::vector<RelayEffect> reduceRelay(RelayState& state, const RelayEvent& event, Milliseconds now);

/// @return what this entry has under way at each upstream, for its peers
std::vector<PeerLoad> ownLoads(const RelayState& state);

} // namespace hickory
