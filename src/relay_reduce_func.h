#pragma once

#include "relay_state_type.h"

#include <vector>

namespace hickory {

/// @return the state of a relay that knows neither a configuration nor upstreams
RelayState makeRelayState(const RelayOptions& options);

/// Applies one event to the state. Performs no I/O: the caller carries out the returned effects.
/// @param now time of the event on this process's monotonic clock
/// @return effects in the order in which they must be carried out
std::vector<RelayEffect> reduceRelay(RelayState& state, const RelayEvent& event, Milliseconds now);

/// @return this entry's requests in flight at each upstream, for the other entries of its data centre
std::vector<PeerLoad> ownLoads(const RelayState& state);

/// Collects this entry's requests in flight at upstreams of other data centres and records them as reported there.
/// @return loads to report to the entries of each data centre; none for a data centre without such requests
std::map<DataCentreId, std::vector<PeerLoad>> advertiseRemoteLoads(RelayState& state);

/// @return requests of all entries in flight at the upstreams of this data centre, for the entries of the others
std::vector<PeerLoad> dataCentreTotals(const RelayState& state, Milliseconds now);

/// @param whole also lists what has not changed lately, for entries that started since
/// @return what this entry knows about crashes of upstreams, for the other entries; bounded
CrashNews crashNews(const RelayState& state, bool whole, Milliseconds now);

} // namespace hickory
