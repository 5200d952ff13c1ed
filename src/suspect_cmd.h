#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Records that an upstream crashed with a request in flight. Equal requests that ended by the same crash count once.
/// @param key service and body digest of the request
/// @param host host of the upstream
/// @return false when nothing was recorded: the crash was counted before, or the whole data centre was lost
bool recordCrash(EntryState& state, const SuspectKey& key, const HostId& host, EntryEffects& effects);

/// Clears the suspicion against a request that ran to completion, unless it was raised after the dispatch.
void clearSuspicion(EntryState& state, const Request& request, EntryEffects& effects);

/// Merges suspicions received from a peer. The higher number of crashes wins; a newer run without a crash clears it.
/// @return true when any suspicion changed
bool mergeSuspicions(EntryState& state, const std::vector<Suspicion>& suspicions);

/// Sends the suspicions to some random peers at once, without waiting for the next gossip round, so that other entries
/// recognise the request when its caller retries there.
void gossipSuspicions(EntryState& state, EntryEffects& effects);

/// Records the loss of the connection to an agent. When several agents of one data centre are lost together, the cause
/// is the data centre or the link to it rather than a request, and the suspicions raised by these losses are withdrawn.
/// @param view the agent whose connection was lost
void recordConnectionLoss(EntryState& state, const UpstreamView& view, EntryEffects& effects);

/// @return true when the recent connection losses count as the loss of the whole data centre
bool isDataCentreLost(const EntryState& state, const DataCentreId& dataCentre);

/// Removes suspicions whose quarantine and minimum retention are over.
void expireSuspicions(EntryState& state);

} // namespace hickory
