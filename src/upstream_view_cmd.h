#pragma once

#include "entry_effect_type.h"
#include "entry_event_type.h"
#include "entry_state_type.h"

namespace hickory {

/// @param state entry
/// @param host a host
/// @return the view of the host's agent, or nullptr
UpstreamView* findView(EntryState& state, const HostId& host);

/// Chooses the agents to be connected to and asks for connections that are missing or no longer needed.
void refreshSubset(EntryState& state, EntryEffects& effects);

/// Notes that a connection stands.
void connectView(EntryState& state, UpstreamView& view);

/// Notes that a connection is gone and plans the next one.
void disconnectView(EntryState& state, UpstreamView& view);

/// Takes over a status unless a newer one of the same incarnation is held.
/// @return true when it was taken over
bool updateViewStatus(EntryState& state, UpstreamView& view, const AgentStatus& status);

/// Marks the candidates of an upstream's service to be built again.
void markPoolStale(EntryState& state, const ServiceId& service);

/// Builds stale candidates again and finds out which services are offered.
void rebuildPools(EntryState& state, EntryEffects& effects);

/// Asks again for connections whose time has come.
void tickViews(EntryState& state, EntryEffects& effects);

} // namespace hickory
