#pragma once

#include "relay_state_type.h"

#include <vector>

namespace hickory {

/// Collects the effects of one event.
using RelayEffects = std::vector<RelayEffect>;

// Requests (relay_request_cmd.cpp) ----------------------------------------------------------------------------------

/// Admits, queues or refuses a request that arrived.
void admitRequest(RelayState& state, const CallArrived& event, Milliseconds now, RelayEffects& effects);
/// Frees everything of a request whose caller left.
void handleCallerDisconnected(
    RelayState& state, const RelayCallerDisconnected& event, Milliseconds now, RelayEffects& effects);
/// Answers a request that is not sent any more, and forgets it.
/// @param reason for the answer's body and the log
void refuseRequest(RelayState& state, RelayRequest& request, std::uint16_t status, const char* reason, Milliseconds now,
    RelayEffects& effects);
/// Places waiting requests of a service while there is room.
void dispatchWaiting(RelayState& state, const ServiceId& service, Milliseconds now, RelayEffects& effects);
/// Places waiting requests of all services while there is room.
void dispatchAllWaiting(RelayState& state, Milliseconds now, RelayEffects& effects);
/// Puts a request into its service's queue.
void enqueueRequest(RelayState& state, RelayRequest& request, Milliseconds now);
/// Ends requests whose time is over and orders the queues anew.
void expireRequests(RelayState& state, Milliseconds now, RelayEffects& effects);

// Sendings (relay_send_cmd.cpp) ---------------------------------------------------------------------------------

/// Sends a request to an upstream.
/// @pre the request has no sending under way
void sendRequest(
    RelayState& state, RelayRequest& request, const UpstreamId& upstream, Milliseconds now, RelayEffects& effects);
void applyResponseStarted(RelayState& state, const ResponseStarted& event, Milliseconds now, RelayEffects& effects);
void applyStreamProgressed(RelayState& state, const StreamProgressed& event, Milliseconds now, RelayEffects& effects);
void applyResponseEnded(RelayState& state, const ResponseEnded& event, Milliseconds now, RelayEffects& effects);
/// Frees the place of the sending under way, if there is one.
/// @param cancel whether the upstream still works on it
void releaseSend(RelayState& state, RelayRequest& request, bool cancel, RelayEffects& effects);
/// Gives up sendings to upstreams that fell silent.
void cancelSilentSends(RelayState& state, Milliseconds now, RelayEffects& effects);

/// Takes requests back from queues of engines whose weights are about to be too old.
void cancelOutdatedSends(RelayState& state, Milliseconds now, RelayEffects& effects);

// Upstreams (relay_upstream_cmd.cpp) ------------------------------------------------------------------------------

void applyUpstreams(RelayState& state, const UpstreamsUpdated& event, Milliseconds now, RelayEffects& effects);
void applyEngineReport(RelayState& state, const EngineReported& event, Milliseconds now, RelayEffects& effects);
/// Notes a failed connection or answer and ejects the upstream for a while.
void recordUpstreamFailure(
    RelayState& state, const UpstreamId& upstream, const char* what, Milliseconds now, RelayEffects& effects);
/// Notes an answer that came in full.
/// @param good whether it was a success
void recordUpstreamResponse(RelayState& state, const UpstreamId& upstream, bool success);

/// @return a line about a request
LogLine requestLogLine(const char* event, const RelayRequest& request, Milliseconds now);

} // namespace hickory
