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

/// What a caller is told about a request that did not succeed.
enum class Outcome : std::uint8_t {
    NotRun, ///< no upstream was given the request
    Ran, ///< it ran and failed
    Unknown, ///< it may have run
};

/// Send an attempt to an agent. The I/O layer adds method, path and body.
struct DispatchAttempt {
    HostId host; ///< agent's host
    DispatchCall call; ///< metadata; key.entry is this entry
    Milliseconds acceptTimeout; ///< without any sign of life from the agent in this time the attempt is Unknown
};

/// Cancel an attempt at an agent; parts that still arrive are dropped.
struct CancelAttempt {
    HostId host; ///< agent's host
    RequestId request; ///< the request
    Attempt attempt; ///< its attempt
};

/// Tell the caller that its request did not succeed. Used only while no part was delivered.
struct RefuseRequest {
    RequestId request; ///< the request
    Outcome outcome { Outcome::NotRun }; ///< not-run, ran or unknown
    std::uint16_t status { 503 }; ///< HTTP status
    std::string reason; ///< short machine-readable reason, e.g. "queue-full"
    Milliseconds retryAfter { 0 }; ///< sent as Retry-After when not 0
    std::string step; ///< where it ended, e.g. "admission"
    HostId peer; ///< host involved, empty when none
};

/// The answer is whole: end the caller's stream properly.
struct FinishRequest {
    RequestId request; ///< the request
};

/// The answer cannot be completed: close the caller's connection without ending the body.
struct AbortRequest {
    RequestId request; ///< the request
    std::string reason; ///< for the log
};

/// Keep a connection to an agent, with heartbeats.
struct ConnectAgent {
    HostId host; ///< agent's host
    std::string address; ///< "ip:port"
};

/// Drop the connection to an agent.
struct DisconnectAgent {
    HostId host; ///< agent's host
};

/// Time between heartbeats to each connected agent.
struct SetHeartbeatInterval {
    Milliseconds interval; ///< new interval
};

/// Send gossip to an entry; its answer arrives as GossipReceived or GossipFailed.
struct SendGossip {
    HostId peer; ///< entry host
    std::string address; ///< "ip:port"
    GossipMessage message; ///< the message
};

/// Push the newest configuration to an entry or an agent.
struct PushConfig {
    HostId peer; ///< receiving host
    std::string address; ///< "ip:port"
    bool toEntry { true }; ///< false when the peer is an agent
    ConfigRecord record; ///< the configuration
};

/// Ask an entry for a configuration newer than `known`; arrives as ConfigReceived.
struct FetchConfig {
    HostId peer; ///< entry host
    std::string address; ///< "ip:port"
    Generation known; ///< newest generation held
};

/// Ask an entry for its local status; arrives as EntryStatusReceived.
struct QueryEntryStatus {
    HostId peer; ///< entry host
    std::string address; ///< "ip:port"
    std::uint64_t query { 0 }; ///< returned with the answer
};

/// Read the membership list; arrives as MembersUpdated when it changed.
struct ReadMembers {
    std::uint64_t since { 0 }; ///< version held
};

/// This process has nothing left to do and exits 0.
struct ExitProcess { };

using EntryEffect = std::variant<DispatchAttempt, CancelAttempt, RefuseRequest, FinishRequest, AbortRequest,
    ConnectAgent, DisconnectAgent, SetHeartbeatInterval, SendGossip, PushConfig, FetchConfig, QueryEntryStatus,
    ReadMembers, OperatorAnswer, StoreRead, StoreWrite, ObjectRead, LogLine, MetricSample, ExitProcess>;

/// Outputs of one step of the entry's reducer, in order.
using EntryEffects = std::vector<EntryEffect>;

} // namespace hickory
