#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// @return the view of the host's agent, or nullptr when the entry has none
UpstreamView* findView(EntryState& state, const HostId& host);

/// Chooses the agents that this entry connects to, opens the missing connections and closes those no longer needed.
void refreshSubset(EntryState& state, EntryEffects& effects);

/// Records that the connection to an agent was made, and resets its health figures.
void setViewConnected(EntryState& state, UpstreamView& view);

/// Records that the connection to an agent was lost or could not be made, and schedules the next try.
void setViewDisconnected(EntryState& state, UpstreamView& view);

/// Stores an agent's status unless a newer one of the same incarnation was received before.
/// @return true when it was stored
bool updateViewStatus(EntryState& state, UpstreamView& view, const AgentStatus& status);

/// Marks the pool of a service, i.e. its routing candidates, to be rebuilt; ignores an unknown service.
void markPoolStale(EntryState& state, const ServiceId& service);

/// Rebuilds the stale pools and decides which services are offered: those that have a ready upstream, and whose
/// dependencies have one too.
void rebuildPools(EntryState& state, EntryEffects& effects);

/// Periodic work: chooses the subset again when it is stale, opens the connections whose retry is due and updates the
/// heartbeat interval.
void tickViews(EntryState& state, EntryEffects& effects);

} // namespace hickory
