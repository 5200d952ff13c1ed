#pragma once

#include "log_type.h"
#include "relay_config_type.h"
#include "upstream_entry_type.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hickory {

using SendId = NumberId<struct SendTag>; ///< one sending of a request to an upstream, unique in the process

/// What the relay needs to know of a caller's request. Bytes stay with the I/O layer.
struct RequestMetadata {
    std::string attemptId; ///< chosen by the caller, one for each of its attempts
    std::string host; ///< Host header
    std::string target; ///< path and query
    std::string key; ///< API key, empty when there is none
    Milliseconds timeout { 0 }; ///< how long the caller waits, 0 when it does not say
    ModelId model; ///< asked for, empty for plain services
    std::uint32_t promptTokens { 0 }; ///< tokens to read
    std::uint32_t maxOutputTokens { 0 }; ///< most tokens to write
    std::uint32_t outputTokensHint { 0 }; ///< the caller's estimate of tokens to write, 0 when none
    std::string resumeAfter; ///< id of the last event that the caller has, empty when none
};

// Events ----------------------------------------------------------------------------------------------------------

/// A caller sent a complete request.
struct CallArrived {
    CallId call; ///< names it
    Milliseconds firstByteAt; ///< when its first byte was read
    RequestMetadata metadata; ///< decoded
};

/// A caller left before its answer was complete.
struct RelayCallerDisconnected {
    CallId call; ///< its request
};

/// An upstream answered the head of a sending.
struct ResponseStarted {
    CallId call; ///< request
    SendId send; ///< sending
    std::uint16_t status { 0 }; ///< HTTP status
    bool notRun { false }; ///< the upstream states that it did not run the request
    bool sealed { false }; ///< carries the proof of an upstream that ran the request
};

/// Whole events of a stream arrived.
struct StreamProgressed {
    CallId call; ///< request
    SendId send; ///< sending
    std::string lastEventId; ///< of the last whole event
};

/// How a sending ended.
enum class SendResult : std::uint8_t {
    Complete, ///< the whole answer arrived
    NotSent, ///< no byte left this process
    Broken, ///< the connection ended first; the request may have run
};

/// A sending ended.
struct ResponseEnded {
    CallId call; ///< request
    SendId send; ///< sending
    SendResult end { SendResult::Complete }; ///< how
};

/// Time passed.
struct RelayTick { };

/// A newer configuration is known.
struct ConfigUpdated {
    std::shared_ptr<const RelayConfig> config; ///< newer than the last one
};

/// The platform's list changed.
struct UpstreamsUpdated {
    std::vector<UpstreamEntry> entries; ///< all that are listed now
};

/// An agent told about the engine beside it.
struct EngineReported {
    std::string address; ///< of the engine
    EngineReport report; ///< as read a moment ago
    bool orderPending { false }; ///< the agent is about to give an order: no new work for a moment
};

/// Requests of another entry at one upstream.
struct PeerLoad {
    std::uint64_t upstream { 0 }; ///< loadKey() of its id
    std::uint32_t sent { 0 }; ///< requests under way
    std::uint32_t prefillTokens { 0 }; ///< prompt tokens of those without a first event
};

/// Another entry told what it has under way.
struct PeerLoadsReceived {
    HostId peer; ///< who
    std::vector<PeerLoad> loads; ///< at each upstream
};

/// The entry that speaks for another data centre told what all entries have under way at the upstreams there.
struct DataCentreLoadsReceived {
    DataCentreId dataCentre; ///< that data centre
    std::vector<PeerLoad> totals; ///< at each upstream there
};

/// Entries of the fleet that are alive, this one included. The retry budget is divided by it.
struct EntryCountUpdated {
    std::uint32_t entryCount { 1 }; ///< count
};

/// The platform's store, or a peer that reaches it, confirmed that no newer configuration existed at a moment.
struct ConfigConfirmed {
    Milliseconds asOf { 0 }; ///< that moment, on this process's clock
};

/// The process was told to stop.
struct DrainStarted {
    Milliseconds endsAt { 0 }; ///< everything must have ended by then
};

/// Operators declared weights.
struct WeightsDeclared {
    ModelId model; ///< name
    WeightsVersion version; ///< the newest one
    bool fromInitialRead { false }; ///< known from the first reading: it may have been declared long ago
};

using RelayEvent = std::variant<CallArrived, RelayCallerDisconnected, ResponseStarted, StreamProgressed, ResponseEnded,
    RelayTick, ConfigUpdated, UpstreamsUpdated, EngineReported, PeerLoadsReceived, DataCentreLoadsReceived,
    EntryCountUpdated, ConfigConfirmed, WeightsDeclared, DrainStarted>;

// Effects ---------------------------------------------------------------------------------------------------------

/// Send a request to an upstream.
struct SendToUpstream {
    CallId call; ///< request
    SendId send; ///< names the sending
    UpstreamId upstream; ///< where
    std::string address; ///< "ip:port"
    Milliseconds timeLeft { 0 }; ///< how long the upstream may work
    std::optional<std::uint8_t> urgency; ///< engines only, 0 is first
    WorkspaceId workspace; ///< on whose behalf, empty on open routes
    std::optional<WeightsVersion> expectVersion; ///< only on these weights
    std::string resumeAfter; ///< id of the last event that the caller has, empty when none
    bool avoidStaleConnection { false }; ///< a kept connection that may just have been closed must not be used
    bool newConnection { false }; ///< no kept connection: others of the process may have been reset together
};

/// Stop a sending and its work at the upstream.
struct CancelSend {
    CallId call; ///< request
    SendId send; ///< sending
};

/// Answer a request ourselves.
struct RefuseCall {
    CallId call; ///< request
    std::uint16_t status { 503 }; ///< HTTP status; 429 and 503 state that the request has not run and never will
    Milliseconds retryAfter { 0 }; ///< when to come back, 0 for no advice
    std::string reason; ///< short, for the body
};

/// Pass the answer of a sending on to the caller, from its head on.
struct ForwardResponse {
    CallId call; ///< request
    SendId send; ///< sending
};

/// The relayed answer is complete.
struct FinishResponse {
    CallId call; ///< request
};

/// The relayed answer ended early: break the caller's connection so that it cannot look complete.
struct AbortResponse {
    CallId call; ///< request
};

using RelayEffect = std::variant<SendToUpstream, CancelSend, RefuseCall, ForwardResponse, FinishResponse, AbortResponse,
    LogLine, MetricSample>;

} // namespace hickory
