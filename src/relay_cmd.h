#pragma once

#include "relay_state_type.h"

#include <vector>

namespace hickory {

/// Collects the effects of one event.
using RelayEffects = std::vector<RelayEffect>;

// Requests (relay_request_cmd.cpp) ----------------------------------------------------------------------------------

/// Sends, queues or refuses a request that arrived.
void admitRequest(RelayState& state, const CallArrived& event, Milliseconds now, RelayEffects& effects);
/// Cancels and removes the request of a caller that disconnected.
void handleCallerDisconnected(
    RelayState& state, const RelayCallerDisconnected& event, Milliseconds now, RelayEffects& effects);
/// Refuses a request, or breaks off its response if the head was already forwarded, and removes it. A send in flight
/// is cancelled.
/// @param status 503 states that the request has not run
/// @param reason for the response body, the log and the metric
void refuseRequest(RelayState& state, RelayRequest& request, std::uint16_t status, const char* reason, Milliseconds now,
    RelayEffects& effects);
/// Sends queued requests of a service while upstreams have room.
void dispatchWaiting(RelayState& state, const ServiceId& service, Milliseconds now, RelayEffects& effects);
/// Sends queued requests of all services while upstreams have room.
void dispatchAllWaiting(RelayState& state, Milliseconds now, RelayEffects& effects);
/// Puts a request into its service's queue. One that lies unbegun at a silent engine stays there meanwhile.
/// @pre the request is not queued
void enqueueRequest(RelayState& state, RelayRequest& request, Milliseconds now);
/// Takes a request out of its service's queue if it is there.
void removeFromQueue(RelayState& state, RelayRequest& request);
/// Refuses requests that are past their deadline or, while queued, can no longer meet it. Moves queued requests that
/// became late behind those that can still meet their objective.
void expireRequests(RelayState& state, Milliseconds now, RelayEffects& effects);

// Sends (relay_send_cmd.cpp) ----------------------------------------------------------------------------------------

/// What is known about a send that failed.
enum class SendFailure : std::uint8_t {
    NotSent, ///< no byte left this process
    NotRun, ///< the upstream states that it did not run the request
    CutOff, ///< the connection ended before the whole answer; it may have run
    TakenBack, ///< the upstream had not begun it, as far as is known
    MayHaveRun, ///< anything else
};

/// Sends a request to an upstream.
/// @pre the request has no send in flight
void sendRequest(
    RelayState& state, RelayRequest& request, const UpstreamId& upstream, Milliseconds now, RelayEffects& effects);
/// Sends a request to another upstream, beside its send in flight.
/// @pre the request has a send in flight and no backup
void sendBackup(
    RelayState& state, RelayRequest& request, const UpstreamId& upstream, Milliseconds now, RelayEffects& effects);
/// Starts to forward a streamed response, or retries a request that the upstream states it did not run.
void applyResponseStarted(RelayState& state, const ResponseStarted& event, Milliseconds now, RelayEffects& effects);
/// Records the progress of a stream, so that it can be resumed after its last event.
void applyStreamProgressed(RelayState& state, const StreamProgressed& event, Milliseconds now, RelayEffects& effects);
/// Completes the request, retries it or refuses it. A response that ended with its connection waits for a probe of the
/// upstream: the connections of a process that ends are closed as well.
void applyResponseEnded(RelayState& state, const ResponseEnded& event, Milliseconds now, RelayEffects& effects);
/// Completes requests whose responses ended with their connections before a probe began, if the upstream still runs.
/// Otherwise their responses were broken off.
void confirmAnswers(RelayState& state, const UpstreamProbed& event, Milliseconds now, RelayEffects& effects);
/// Takes the send in flight, if there is one, off its upstream's load.
/// @param cancel whether the upstream may still be working on it
void releaseSend(RelayState& state, RelayRequest& request, bool cancel, RelayEffects& effects);
/// The same for the backup.
void releaseBackup(RelayState& state, RelayRequest& request, bool cancel, RelayEffects& effects);

// Retries (relay_retry_cmd.cpp) ------------------------------------------------------------------------------------

/// Goes on with a request after a failed send: with its backup, at another upstream or in the queue; else refuses it. A
/// send that left this process counts as a retry against the retry budget.
/// @param reason for the log, the metric and, if the request is refused, the response body
/// @pre the request has no send in flight but its backup
void retryElsewhere(RelayState& state, RelayRequest& request, SendFailure failure, const char* reason, Milliseconds now,
    RelayEffects& effects);

// Silent upstreams (relay_silence_cmd.cpp) --------------------------------------------------------------------------

/// Takes requests that have not begun back from engines that have sent nothing for too long, if another one can begin
/// them at once; else they stay and wait for one in the queue as well. Those that have begun stay, and get a backup at
/// another upstream if one can go on at once.
void cancelSilentSends(RelayState& state, Milliseconds now, RelayEffects& effects);
/// @return another upstream that can begin at once with a request that is in flight
std::optional<UpstreamId> chooseBeside(const RelayState& state, RelayRequest& request, Milliseconds now);
/// Sends a queued request that stays at a silent engine to another one instead, if one can begin it at once.
/// @pre the request has a send in flight
void dispatchFromSilent(RelayState& state, RelayRequest& request, Milliseconds now, RelayEffects& effects);
/// @return whether a request lies at an upstream that may be sound and begin it: it was heard lately
bool mayStillBegin(const RelayState& state, const RelayRequest& request, Milliseconds now);
/// Cancels and retries requests that are still queued at engines whose weights are too old to start on.
void cancelOutdatedSends(RelayState& state, Milliseconds now, RelayEffects& effects);

// Load orders (relay_clear_cmd.cpp) ---------------------------------------------------------------------------------

/// Moves requests from engines whose loads wait for them to other engines, where these can go on at once. The others
/// stay until they end.
void clearEngines(RelayState& state, Milliseconds now, RelayEffects& effects);

// Upstreams (relay_upstream_cmd.cpp) ------------------------------------------------------------------------------

/// Replaces the list of upstreams. The health of one that stays is kept unless its process restarted.
void applyUpstreams(RelayState& state, const UpstreamsUpdated& event, Milliseconds now, RelayEffects& effects);
/// Records agents' reports about their engines.
void applyEngineReports(RelayState& state, const EngineReportsReceived& event, Milliseconds now, RelayEffects& effects);
/// Records a failed connection or response, and ejects the upstream for a time that doubles with each ejection.
/// @param what kind of failure, for the log and the metric
void recordUpstreamFailure(
    RelayState& state, const UpstreamId& upstream, const char* what, Milliseconds now, RelayEffects& effects);
/// Asks upstreams for their status: engines that have been silent for too long, and those that stand still once their
/// ejection is over.
void probeStillUpstreams(RelayState& state, Milliseconds now, RelayEffects& effects);
/// Ends the standstill of an upstream that answered a probe. One that did not is ejected, and its requests are taken
/// back.
void applyStillProbe(RelayState& state, const UpstreamProbed& event, Milliseconds now, RelayEffects& effects);
/// @return path at which upstreams of a service tell their status, empty if they have none
std::string statusPathOf(const RelayState& state, const ServiceId& service);
/// Records a whole response in the upstream's error rate.
/// @param success whether its status was a success
void recordUpstreamResponse(RelayState& state, const UpstreamId& upstream, bool success);

// Crashes (relay_crash_cmd.cpp) -----------------------------------------------------------------------------------

/// @return the traits by which a request may be recognised as one that crashes upstreams
RequestTraits traitsOf(const RequestMetadata& metadata);
/// @return false while a request must wait because it may crash its upstream: requests with a suspected prompt part are
/// tried one at a time
bool mayTry(const RelayState& state, const RelayRequest& request, Milliseconds now);
/// Notes that a send of a request was cut off with its connection, and probes the upstream.
void recordBrokenSend(
    RelayState& state, const RelayRequest& request, const ActiveSend& send, Milliseconds now, RelayEffects& effects);
/// Notes whether an upstream still accepts connections.
void applyProbe(RelayState& state, const UpstreamProbed& event);
/// Notes that an upstream left the list or was restarted. If connections to it broke a moment ago, its process crashed.
void recordUpstreamEnd(RelayState& state, const UpstreamId& upstream);
/// Notes that an upstream answered: a process that answers what was sent before connections broke did not crash.
/// @param sentAt when the request that it answers was sent
void recordUpstreamAlive(RelayState& state, const UpstreamId& upstream, Milliseconds sentAt);
/// Notes that an upstream began to answer a request: its traits crash nothing.
void recordBegun(RelayState& state, const RelayRequest& request, Milliseconds now, RelayEffects& effects);
/// Merges what another entry knows.
void applyCrashNews(RelayState& state, const CrashNewsReceived& event, Milliseconds now, RelayEffects& effects);
/// Records the crashes behind broken connections, begins and ends quarantines and forgets what is old.
void updateCrashes(RelayState& state, Milliseconds now, RelayEffects& effects);

/// @param event log event
/// @return a log line with the fields that identify a request
LogLine requestLogLine(const char* event, const RelayRequest& request, Milliseconds now);

} // namespace hickory
