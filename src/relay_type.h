#pragma once

#include "connect_failure_type.h"
#include "crash_type.h"
#include "log_type.h"
#include "relay_config_type.h"
#include "store_version_type.h"
#include "upstream_entry_type.h"
#include "upstream_notice_type.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hickory {

using SendId = NumberId<struct SendTag>; ///< one send of a request to an upstream, unique in the process

/// What the relay needs to know of a caller's request. The I/O layer keeps the headers and the body.
struct RequestMetadata {
    std::string attemptId; ///< chosen by the caller, one for each of its attempts
    std::string host; ///< Host header, with the port if the caller sent one
    std::string target; ///< path and query
    std::string key; ///< API key, empty when there is none
    Milliseconds timeout { 0 }; ///< how long the caller waits, 0 when it states no limit
    ModelId model; ///< requested model, empty for plain services
    std::uint32_t promptTokens { 0 }; ///< tokens in the prompt, 0 when not stated
    std::uint32_t maxOutputTokens { 0 }; ///< limit of generated tokens, 0 when not stated
    std::uint32_t outputTokensHint { 0 }; ///< the caller's estimate of generated tokens, 0 when not stated
    std::string resumeAfter; ///< id of the last event that the caller received, empty when it resumes no stream
    std::vector<RequestTrait> promptParts; ///< shared parts of the prompt; the last part is the request's own
    RequestTrait wholeRequest; ///< equal for requests with the same target, key and body
};

// Events ----------------------------------------------------------------------------------------------------------

/// A caller sent a complete request.
struct CallArrived {
    CallId call; ///< assigned by the front server
    Milliseconds firstByteAt; ///< when its first byte was read
    RequestMetadata metadata; ///< decoded from the head
};

/// A caller disconnected before its response was complete.
struct RelayCallerDisconnected {
    CallId call;
};

/// The head of an upstream's response arrived.
struct ResponseStarted {
    CallId call;
    SendId send;
    std::uint16_t status { 0 }; ///< HTTP status
    bool notRun { false }; ///< the upstream states that it did not run the request
    bool sealed { false }; ///< carries the seal header: proof that the upstream itself produced the response
    bool stream { false }; ///< its body is a stream of events, which can be forwarded as they arrive
    UpstreamNotice notice; ///< what the upstream says of itself
};

/// One or more complete events of a streamed response arrived.
struct StreamProgressed {
    CallId call;
    SendId send;
    std::string lastEventId; ///< id of the last complete event, empty when the stream has no ids
};

/// How a send ended.
enum class SendResult : std::uint8_t {
    Complete, ///< the whole response arrived
    Unconfirmed, ///< it ended with its connection: whole if the upstream still runs, broken off if its process ended
    NotSent, ///< no byte left this process
    Broken, ///< the connection ended first; the request may have run
};

/// A send ended, with or without a whole response.
struct ResponseEnded {
    CallId call;
    SendId send;
    SendResult end { SendResult::Complete }; ///< whether the response is whole
    ConnectFailure failure { ConnectFailure::Refused }; ///< why no byte left this process, for SendResult::NotSent
};

/// Periodic timer event, on which time limits are checked.
struct RelayTick { };

/// A configuration was read. Ignored unless it was written later than the one in force.
struct ConfigUpdated {
    std::shared_ptr<const RelayConfig> config; ///< never null
    WrittenEra writtenIn; ///< era of the store
};

/// The platform's list of upstreams changed.
struct UpstreamsUpdated {
    std::vector<UpstreamEntry> entries; ///< the whole list
    /// Upstreams whose rows were written since the last list. Empty if that is not known: each row counts as new.
    std::optional<std::set<UpstreamId>> rewritten;
    /// These rows were written after this moment, on this process's clock. Empty if that is not known.
    std::optional<Milliseconds> writtenAfter;
};

/// Position of a report among those of one host's agent. Later ones are greater.
struct EngineReportOrder {
    Incarnation agentStart; ///< start of the agent process that read it
    std::uint32_t sequence { 0 }; ///< reports that this process had read or changed, this one included
    auto operator<=>(const EngineReportOrder&) const = default;
};

/// State of the engine on the host of an agent, as the agent read it.
struct EngineReported {
    std::string address; ///< "ip:port" of the engine
    EngineReport report; ///< as the agent last read it
    bool orderPending { false }; ///< the agent is about to send the engine a load order: send no new work for now
    /// The load waits only for the few requests that still run there: those that can go on elsewhere should.
    bool clearing { false };
    /// The engine stated its slowdown in the answer that was read: it varies many times a second.
    bool slowdownStated { false };
    EngineReportOrder order; ///< reports reach an entry on several ways and may overtake each other
    Milliseconds age { 0 }; ///< time since the agent read it
};

/// Reports of engines arrived, from their agents or from another entry.
struct EngineReportsReceived {
    std::vector<EngineReported> reports; ///< at most one for each engine, newer than those received before
};

/// Requests of one or more entries at one upstream.
struct PeerLoad {
    std::uint64_t upstream { 0 }; ///< loadKey() of its id
    std::uint32_t sent { 0 }; ///< requests in flight
    std::uint32_t prefillTokens { 0 }; ///< prompt tokens of those without a first event
};

/// Another entry reported its requests in flight.
struct PeerLoadsReceived {
    HostId peer; ///< host of that entry
    std::vector<PeerLoad> loads; ///< one for each upstream with requests in flight
};

/// The entry that represents another data centre reported the requests of all entries at the upstreams there.
struct DataCentreLoadsReceived {
    DataCentreId dataCentre; ///< the data centre that it represents
    std::vector<PeerLoad> totals; ///< one for each upstream there with requests in flight
};

/// The number of live entries was counted. Entries share the retry budget equally.
struct EntryCountUpdated {
    std::uint32_t entryCount { 1 }; ///< live entries of the fleet, this one included
    std::uint32_t position { 0 }; ///< live entries whose hosts come before this one's by name
    std::uint32_t positionHere { 0 }; ///< of these, those of this entry's data centre
    std::vector<HostId> others; ///< hosts of the other live entries
    bool anyOtherReady { false }; ///< one of them accepts requests from callers
};

/// Another entry told what upstreams said of themselves.
struct UpstreamNoticesReceived {
    HostId peer; ///< host of that entry
    std::vector<UpstreamNoticeReport> reports;
};

/// The platform's store, or a peer that reaches it, confirmed that no newer configuration existed at a moment.
struct ConfigConfirmed {
    Milliseconds asOf { 0 }; ///< that moment, on this process's clock
};

/// The process was told to stop.
struct DrainStarted {
    Milliseconds endsAt { 0 }; ///< every response must have ended by then
};

/// Operators declared a new version of a model's weights.
struct WeightsDeclared {
    ModelId model; ///< model that the weights are for
    WeightsVersion version; ///< newest declared version
    /// It was not declared yet at this moment. Empty when it was found in the first read of the store: it may have been
    /// declared long ago.
    std::optional<Milliseconds> notBefore;
    std::string source; ///< for the log: "store", or host of the peer that the row was copied from
};

/// A declared version, as another entry knows it.
struct PeerWeights {
    ModelId model; ///< model that the weights are for
    WeightsVersion version; ///< declared, and possibly replaced by a newer one since
    std::optional<Milliseconds> notBefore; ///< as in WeightsDeclared, on this process's clock
};

/// Another entry told which versions it knows to be declared. It may have seen versions that this one did not, and may
/// know better when they were declared.
struct PeerWeightsReceived {
    HostId peer; ///< host of that entry
    std::vector<PeerWeights> declared; ///< in any order
};

/// What an attempt to connect shows of a process.
enum class ProbeResult : std::uint8_t {
    Accepted, ///< it answers, or accepts connections and keeps them
    Refused, ///< nothing listens at the address
    Unreachable, ///< no connection, or one that ends without an answer: the process, its host or the network
};

/// A probe of an upstream ended.
struct UpstreamProbed {
    UpstreamId upstream;
    ProbeResult result { ProbeResult::Unreachable };
    Milliseconds startedAt { 0 }; ///< when the probe began
    bool mustAnswer { false }; ///< as in ProbeUpstream
    UpstreamNotice notice; ///< what the upstream says of itself in its answer
};

/// Operators evacuated data centres, or took them back. What is evacuated gets nothing new.
struct EvacuationsUpdated {
    std::set<DataCentreId> dataCentres; ///< all that are evacuated now
};

/// Another entry told what it knows about crashes of upstreams.
struct CrashNewsReceived {
    CrashNews news; ///< merged into what is known
};

/// The settings were read again; the options are the new ones.
struct SettingsReloaded { };

using RelayEvent = std::variant<CallArrived, RelayCallerDisconnected, ResponseStarted, StreamProgressed, ResponseEnded,
    RelayTick, ConfigUpdated, UpstreamsUpdated, EngineReportsReceived, PeerLoadsReceived, DataCentreLoadsReceived,
    EntryCountUpdated, ConfigConfirmed, WeightsDeclared, PeerWeightsReceived, DrainStarted, UpstreamProbed,
    CrashNewsReceived, UpstreamNoticesReceived, EvacuationsUpdated, SettingsReloaded>;

// Effects ---------------------------------------------------------------------------------------------------------

/// Send a request to an upstream.
struct SendToUpstream {
    CallId call; ///< request to send
    SendId send; ///< identifies this send in later events
    UpstreamId upstream; ///< upstream that must run it; sent along, so that another one at the address refuses it
    std::string address; ///< "ip:port" of the upstream
    Milliseconds timeLeft { 0 }; ///< until the request's deadline
    std::optional<std::uint8_t>
        urgency; ///< for the engine's queue, 0 is first; empty for plain ones and under RelayQueuePolicy::Fifo
    WorkspaceId workspace; ///< owner of the API key, empty on routes without keys
    std::optional<WeightsVersion> expectVersion; ///< the engine must refuse unless it holds this version
    std::string resumeAfter; ///< id of the last event that the caller received, empty when none
    bool expectsStream { false }; ///< the route's answers are streams of events
    bool avoidStaleConnection { false }; ///< reuse only connections that the upstream has hardly had time to close
    bool newConnection { false }; ///< reuse no connection: one fault may have reset all connections of the process
};

/// Cancel a send and its work at the upstream.
struct CancelSend {
    CallId call;
    SendId send;
};

/// Answer a request without an upstream's response.
struct RefuseCall {
    CallId call;
    std::uint16_t status { 503 }; ///< HTTP status; 429 and 503 state that the request has not run and never will
    Milliseconds retryAfter { 0 }; ///< when the caller should retry, 0 for no advice
    std::string reason; ///< short, for the body
};

/// Forward the response of a send to the caller, from its head on.
struct ForwardResponse {
    CallId call;
    SendId send;
};

/// The forwarded response is complete.
struct FinishResponse {
    CallId call;
    SendId send; ///< the send whose response ended it
};

/// The forwarded response ended early: break the caller's connection so that the response cannot look complete.
struct AbortResponse {
    CallId call;
    std::string reason; ///< short, for the log
};

/// Connect to an upstream to learn whether its process ended. Ends with UpstreamProbed.
struct ProbeUpstream {
    UpstreamId upstream;
    std::string address; ///< "ip:port" of the upstream
    std::string statusPath; ///< path to ask, so that the process itself has to answer; empty to connect only
    bool mustAnswer { false }; ///< a connection that is kept without an answer to the status request is not enough
    Milliseconds timeout { 400 }; ///< for the connection, and again for the answer
};

/// Send other entries crashNews() at once.
struct AnnounceCrashNews {
    /// Another entry told it, and tells its data centre itself: only what this entry passes on to others is sent.
    bool learned { false };
};

using RelayEffect = std::variant<SendToUpstream, CancelSend, RefuseCall, ForwardResponse, FinishResponse, AbortResponse,
    ProbeUpstream, AnnounceCrashNews, LogLine, MetricSample>;

} // namespace hickory
