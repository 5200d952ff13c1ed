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
    RequestId request; ///< chosen at random by the I/O layer
    ServiceId service; ///< from the URL
    WorkspaceId workspace; ///< from X-Workspace
    std::string rank; ///< name of the rank, from X-Rank
    std::string path; ///< path below the service, starts with "/"
    std::string idempotencyKey; ///< from Idempotency-Key, empty when the caller sent none
    RequestDigest requestDigest; ///< digest of method, path and body
    std::uint64_t prefixHash { 0 }; ///< hash of the prompt's first 64 bytes, 0 when there is no prompt
    Tokens cost; ///< estimated tokens of prompt and answer
    Milliseconds timeout; ///< limit for the whole answer, from the arrival of the request
};

/// The caller closed its connection.
struct CallerDisconnected {
    RequestId request;
};

/// The first part of an attempt's answer reached the entry.
struct FirstPart {
    RequestId request;
    Attempt attempt;
    HostId host; ///< host of the agent that sent it
};

/// An attempt ended, was refused, or was given up because the agent cannot be reached.
struct AttemptEnded {
    RequestId request;
    Attempt attempt;
    HostId host; ///< host of the agent that it was dispatched to
    DispatchResult result;
    std::uint32_t delivered { 0 }; ///< parts of the answer sent to the caller so far, over all attempts
};

/// A connection to an agent was made and its first status was read.
struct AgentConnected {
    HostId host; ///< host of the agent
    AgentStatus status;
};

/// The connection to an agent was lost or could not be made.
struct AgentDisconnected {
    HostId host; ///< host of the agent
    std::string reason; ///< short machine-readable reason, e.g. "connect-failed"
};

/// A status of a connected agent, from a heartbeat's answer or sent by the agent after a change.
struct AgentStatusReceived {
    AgentStatus status;
};

/// A heartbeat was not answered in time.
struct HeartbeatMissed {
    HostId host; ///< host of the agent
};

/// Status report of an agent that has this entry as its home entry.
struct HomeReport {
    AgentStatus status;
};

/// The membership list was read and has changed.
struct MembersUpdated {
    MemberList list; ///< the whole new list
};

/// A configuration arrived: pushed by a peer, or as the answer to a fetch or a status report.
struct ConfigReceived {
    ConfigRecord record; ///< generation 0 when the peer has no newer one
    /// Host that it came from: the one that a fetch or report was sent to, or at an agent the connected entry that
    /// pushed it. "peer" when the sender is not known, as for each configuration that is pushed to an entry.
    HostId from;
};

/// Gossip from a peer, as a request or as the answer to SendGossip.
struct GossipReceived {
    GossipMessage message;
};

/// A peer did not answer SendGossip.
struct GossipFailed {
    HostId peer; ///< host of the other entry
};

/// An operator's call arrived over HTTP.
struct OperatorCalled {
    OperatorCall call;
};

/// A peer's answer to QueryEntryStatus.
struct EntryStatusReceived {
    EntryStatus status; ///< the peer's status; reachable is false when it did not answer
    std::uint64_t query { 0 }; ///< as given in QueryEntryStatus
};

/// Periodic timer of entries and agents, every 50 ms.
struct Tick { };

/// SIGTERM or SIGINT arrived.
struct ShutdownRequested { };

using EntryEventBody = std::variant<RequestArrived, CallerDisconnected, FirstPart, AttemptEnded, AgentConnected,
    AgentDisconnected, AgentStatusReceived, HeartbeatMissed, HomeReport, MembersUpdated, ConfigReceived, GossipReceived,
    GossipFailed, OperatorCalled, EntryStatusReceived, StoreAnswer, Tick, ShutdownRequested>;

/// One input of an entry's reduce().
struct EntryEvent {
    Milliseconds now; ///< monotonic time of the event
    EntryEventBody body;
};

} // namespace hickory
