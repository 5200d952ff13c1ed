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

/// @return what this entry has under way at each upstream, for the entries of its data centre
std::vector<PeerLoad> ownLoads(const RelayState& state);

/// Notes that the entries of the other data centres are told of this entry's requests at their upstreams.
/// @return what to tell, by data centre
std::map<DataCentreId, std::vector<PeerLoad>> advertiseRemoteLoads(RelayState& state);

/// @return what all entries have under way at the upstreams of this data centre, for the entries of the others
std::vector<PeerLoad> dataCentreTotals(const RelayState& state, Milliseconds now);

} // namespace hickory
