#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// Records that an upstream died with a request in flight. Equal requests that the same crash ended count once.
/// @param key service and body digest of the request
/// @param host host of the upstream
/// @return false when nothing was recorded: the crash was counted before, or the place of the host is to blame
bool recordCrash(EntryState& state, const SuspectKey& key, const HostId& host, EntryEffects& effects);

/// Records that a suspect request ran to its end, which clears it.
void clearSuspicion(EntryState& state, const Request& request, EntryEffects& effects);

/// Merges a peer's suspicions.
/// @return true when something was learned
bool mergeSuspicions(EntryState& state, const std::vector<Suspicion>& suspicions);

/// Tells some peers at once, so that a resend through another entry is recognised.
void gossipSuspicions(EntryState& state, EntryEffects& effects);

/// Notes the loss of a connection. When several agents of one place are lost together, the cause is the place or the
/// link to it rather than a request, and the suspicions of these losses are withdrawn.
void recordConnectionLoss(EntryState& state, const UpstreamView& view, EntryEffects& effects);

/// @return true when the last losses of connections were blamed on the place
bool dataCentreWasLost(const EntryState& state, const DataCentreId& dataCentre);

/// Forgets suspicions whose quarantine is over.
void expireSuspicions(EntryState& state);

} // namespace hickory
