#pragma once

#include "cold_start_func.h"
#include "relay_cmd.h"

namespace hickory {

/// Counts an upstream as cold for the cold period of its service, because it may have started again. Nothing happens
/// if its service has no cold starts.
void assumeCold(RelayState& state, RelayUpstream& view, ColdCause cause, Milliseconds now, RelayEffects& effects);
/// The same for all upstreams of a data centre that returns to service.
void assumeDataCentreCold(RelayState& state, const DataCentreId& dataCentre, Milliseconds now, RelayEffects& effects);
/// Applies what an upstream stated about its cold time.
void applyColdStatement(
    RelayState& state, RelayUpstream& view, const ColdStatement& statement, Milliseconds now, RelayEffects& effects);
/// Applies the row of an upstream that was listed before.
/// @param writtenAfter as in UpstreamsUpdated
void applyColdRow(RelayState& state, RelayUpstream& view, std::optional<Milliseconds> writtenAfter, Milliseconds now,
    RelayEffects& effects);
/// Decides whether an upstream that was added to the list is cold: one in the first list that is read is warm unless
/// its row says otherwise.
/// @param writtenAfter as in UpstreamsUpdated
void beginListedCold(RelayState& state, RelayUpstream& view, std::optional<Milliseconds> writtenAfter, Milliseconds now,
    RelayEffects& effects);
/// Keeps what is known of an upstream that left the list.
void keepDelistedCold(RelayState& state, const RelayUpstream& view, Milliseconds now);
/// Applies what a probe found.
void applyColdProbe(RelayState& state, const UpstreamProbed& event, Milliseconds now, RelayEffects& effects);
/// Takes a request off this entry's share of a cold upstream's limit.
void countColdSend(const RelayState& state, RelayUpstream& view, Milliseconds now);
/// Records which entries share the limits of cold upstreams.
/// @pre entryCount and entryPosition of the state are those of the event
void applyColdEntries(RelayState& state, const EntryCountUpdated& event, Milliseconds now);
/// Notices that this process has just started or stood still: what it knows of other entries and of upstreams is out of
/// date.
/// @return whether it stood still
bool noteEventTime(RelayState& state, Milliseconds now);
/// Ends cold times and warm-ups that are over.
void updateColdStarts(RelayState& state, Milliseconds now, RelayEffects& effects);
/// Counts a request that was not sent at once although a cold upstream might have run it.
void countHeldByCold(const RelayState& state, const RelayRequest& request, Milliseconds now, RelayEffects& effects);

} // namespace hickory
