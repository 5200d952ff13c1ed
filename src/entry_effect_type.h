#pragma once

#include "config_type.h"
#include "dispatch_type.h"
#include "gossip_type.h"
#include "log_type.h"
#include "operator_type.h"
#include "store_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hickory {

/// Whether a failed request was executed, as reported to the caller.
enum class Outcome : std::uint8_t {
    NotRun, ///< the request was sent to no upstream
    Ran, ///< an upstream ran the request and it failed
    Unknown, ///< an upstream may have run the request
};

/// Send an attempt to an agent. The I/O layer adds method, path and body.
struct DispatchAttempt {
    HostId host; ///< host of the agent
    DispatchCall call; ///< metadata; key.entry is this entry
    Milliseconds agentSilenceTimeout; ///< the attempt ends as Unknown by it, see isGivenUp()
};

/// Cancel an attempt at an agent; parts that still arrive are dropped.
struct CancelAttempt {
    HostId host; ///< host of the agent
    RequestId request;
    Attempt attempt;
};

/// Tell the caller that its request did not succeed. Used only while no part was delivered.
struct FailRequest {
    RequestId request;
    Outcome outcome { Outcome::NotRun }; ///< sent as X-Outcome
    std::uint16_t status { 503 }; ///< HTTP status
    std::string reason; ///< short machine-readable reason, e.g. "queue-full"
    Milliseconds retryAfter { 0 }; ///< sent as Retry-After unless 0
    std::string step; ///< processing step that failed, e.g. "admission"
    HostId peer; ///< host involved, empty when none
};

/// End the caller's stream normally: the answer is complete.
struct FinishRequest {
    RequestId request;
};

/// Close the caller's connection without ending the body, because the answer cannot be completed.
struct AbortRequest {
    RequestId request;
    std::string reason; ///< machine-readable reason for the log
};

/// Open a connection to an agent and send it heartbeats until DisconnectAgent.
struct ConnectAgent {
    HostId host; ///< host of the agent
    std::string address; ///< its "ip:port"
};

/// Close the connection to an agent.
struct DisconnectAgent {
    HostId host; ///< host of the agent
};

/// Set the time between heartbeats to each connected agent.
struct SetHeartbeatInterval {
    Milliseconds interval;
};

/// Send gossip to an entry; its answer arrives as GossipReceived or GossipFailed.
struct SendGossip {
    HostId peer; ///< host of the other entry
    std::string address; ///< its "ip:port"
    GossipMessage message;
};

/// Push the newest configuration to an entry or an agent. A failure is not reported.
struct PushConfig {
    HostId peer; ///< host of the receiver
    std::string address; ///< its "ip:port"
    bool toEntry { true }; ///< false when the receiver is an agent
    ConfigRecord record;
};

/// Ask an entry for a configuration newer than `known`; its answer arrives as ConfigReceived.
struct FetchConfig {
    HostId peer; ///< host of the entry
    std::string address; ///< its "ip:port"
    Generation known; ///< newest generation that this process holds, 0 when none
};

/// Ask an entry for its local status; its answer, or the lack of one, arrives as EntryStatusReceived.
struct QueryEntryStatus {
    HostId peer; ///< host of the other entry
    std::string address; ///< its "ip:port"
    std::uint64_t query { 0 }; ///< number of the query, returned in EntryStatusReceived
};

/// Read the membership list; arrives as MembersUpdated when it changed.
struct ReadMembers {
    std::uint64_t since { 0 }; ///< version of the list that this process holds, 0 when none
};

/// Exit with status 0: the graceful shutdown is complete.
struct ExitProcess { };

using EntryEffect = std::variant<DispatchAttempt, CancelAttempt, FailRequest, FinishRequest, AbortRequest, ConnectAgent,
    DisconnectAgent, SetHeartbeatInterval, SendGossip, PushConfig, FetchConfig, QueryEntryStatus, ReadMembers,
    OperatorAnswer, StoreRead, StoreWrite, ObjectRead, LogLine, MetricSample, ExitProcess>;

/// Effects of one event at an entry, in the order in which they are carried out.
using EntryEffects = std::vector<EntryEffect>;

} // namespace hickory
