#pragma once

#include "config_type.h"
#include "dispatch_type.h"
#include "gossip_type.h"
#include "member_type.h"
#include "operator_type.h"
#include "status_type.h"
#include "store_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hickory {

/// A caller's request was read completely. The body stays in the I/O layer.
struct RequestArrived {
    RequestId request; ///< drawn by the I/O layer
    ServiceId service; ///< from the URL
    WorkspaceId workspace; ///< from X-Workspace
    std::string rank; ///< from X-Rank, a rank name
    std::string path; ///< path below the service, starts with "/"
    std::string idempotencyKey; ///< from Idempotency-Key, may be empty
    BodyDigest bodyDigest; ///< digest of method, path and body
    std::uint64_t prefixHash { 0 }; ///< hash of the prompt's first characters, 0 when there is no prompt
    Tokens cost; ///< estimated tokens of prompt and answer
    Milliseconds timeout; ///< longest time until the whole answer
};

/// The caller closed its connection.
struct CallerDisconnected {
    RequestId request; ///< the caller's request
};

/// The first part of an answer in this attempt reached the entry.
struct FirstPart {
    RequestId request; ///< the request
    Attempt attempt; ///< its attempt
    HostId host; ///< agent that sent it
};

/// An attempt ended, was refused, or was given up because the agent cannot be reached.
struct AttemptEnded {
    RequestId request; ///< the request
    Attempt attempt; ///< its attempt
    HostId host; ///< agent it was dispatched to
    DispatchResult result; ///< how it ended
    std::uint32_t delivered { 0 }; ///< parts of the answer given to the caller so far, over all attempts
};

/// A connection to an agent was made and its first status read.
struct AgentConnected {
    HostId host; ///< the agent's host
    AgentStatus status; ///< its first status
};

/// The connection to an agent was lost or could not be made.
struct AgentDisconnected {
    HostId host; ///< the agent's host
    std::string reason; ///< from the transport
};

/// A heartbeat's answer, a listener call or a piggybacked load.
struct AgentStatusReceived {
    AgentStatus status; ///< newest status
};

/// A heartbeat was not answered in time.
struct HeartbeatMissed {
    HostId host; ///< the agent's host
};

/// A report of an agent whose home is this entry.
struct HomeReport {
    AgentStatus status; ///< the agent's status
};

/// The membership list was read and has changed.
struct MembersUpdated {
    MemberList list; ///< the whole list
};

/// A peer pushed, answered or returned a configuration.
struct ConfigReceived {
    ConfigRecord record; ///< generation 0 when the peer has none newer
    HostId from; ///< peer; empty for the store
};

/// Gossip from a peer, as a request or as the answer to ours.
struct GossipReceived {
    GossipMessage message; ///< the message
};

/// Gossip to a peer failed.
struct GossipFailed {
    HostId peer; ///< entry host
};

/// An operator's call arrived over HTTP.
struct OperatorCalled {
    OperatorCall call; ///< the call
};

/// A peer's answer to QueryEntryStatus.
struct EntryStatusReceived {
    EntryStatus status; ///< the peer's status; reachable is false when it did not answer
    std::uint64_t query { 0 }; ///< as given in QueryEntryStatus
};

/// Timer, every 50 ms.
struct Tick { };

/// SIGTERM or SIGINT arrived.
struct ShutdownRequested { };

using EntryEventBody = std::variant<RequestArrived, CallerDisconnected, FirstPart, AttemptEnded, AgentConnected,
    AgentDisconnected, AgentStatusReceived, HeartbeatMissed, HomeReport, MembersUpdated, ConfigReceived, GossipReceived,
    GossipFailed, OperatorCalled, EntryStatusReceived, StoreAnswer, Tick, ShutdownRequested>;

/// One input of the entry's reducer.
struct EntryEvent {
    Milliseconds now; ///< monotonic time at which the event happened
    EntryEventBody body; ///< what happened
};

} // namespace hickory
