#pragma once

#include "config_type.h"
#include "dispatch_type.h"
#include "gossip_type.h"
#include "operator_type.h"
#include "status_type.h"

#include "hickory.capnp.h"

#include <string>

namespace hickory {

/// The parts of a request that only the I/O layers handle.
struct RequestPayload {
    std::string method; ///< HTTP method
    std::string path; ///< path below the service, with query
    std::string contentType; ///< type of the body
    std::string body; ///< request body
    std::string idempotencyKey; ///< passed on to the upstream, empty when the call may be repeated
};

ConfigRecord decode(rpc::ConfigRecord::Reader from);
void encode(const ConfigRecord& from, rpc::ConfigRecord::Builder to);

AgentStatus decode(rpc::AgentStatus::Reader from);
void encode(const AgentStatus& from, rpc::AgentStatus::Builder to);

DispatchCall decodeCall(rpc::DispatchCall::Reader from);
RequestPayload decodePayload(rpc::DispatchCall::Reader from);
void encode(const DispatchCall& call, const RequestPayload& payload, rpc::DispatchCall::Builder to);

DispatchResult decode(rpc::DispatchResult::Reader from);
void encode(const DispatchResult& from, rpc::DispatchResult::Builder to);

GossipMessage decode(rpc::GossipMessage::Reader from);
void encode(const GossipMessage& from, rpc::GossipMessage::Builder to);

} // namespace hickory
