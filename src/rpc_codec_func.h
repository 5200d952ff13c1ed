#pragma once

#include "config_type.h"
#include "dispatch_type.h"
#include "gossip_type.h"
#include "operator_type.h"
#include "status_type.h"

#include "hickory.capnp.h"

#include <string>

namespace hickory {

/// Fields of a dispatched request that only the I/O layers handle; DispatchCall has the others.
struct RequestPayload {
    std::string method; ///< of HTTP, e.g. "POST"
    std::string path; ///< path below the service's prefix, with query
    std::string contentType; ///< MIME type of the body
    std::string body;
    std::string idempotencyKey; ///< passed on to the upstream, empty when the call may be repeated
};

// Conversions between this system's types and the messages of schema/hickory.capnp. No field is validated.

/// @return a copy of the configuration record
ConfigRecord decode(rpc::ConfigRecord::Reader from);
/// Encodes a configuration record.
void encode(const ConfigRecord& from, rpc::ConfigRecord::Builder to);

/// @return a copy of the status
AgentStatus decode(rpc::AgentStatus::Reader from);
/// Encodes a status.
void encode(const AgentStatus& from, rpc::AgentStatus::Builder to);

/// @return all fields of a dispatch but those of its payload
DispatchCall decodeCall(rpc::DispatchCall::Reader from);
/// @return the payload of a dispatch, copied
RequestPayload decodePayload(rpc::DispatchCall::Reader from);
/// Encodes a dispatch with its payload.
void encode(const DispatchCall& call, const RequestPayload& payload, rpc::DispatchCall::Builder to);

/// @return a copy of the result
DispatchResult decode(rpc::DispatchResult::Reader from);
/// Encodes a result.
void encode(const DispatchResult& from, rpc::DispatchResult::Builder to);

/// @return a copy of the message
GossipMessage decode(rpc::GossipMessage::Reader from);
/// Encodes a gossip message.
void encode(const GossipMessage& from, rpc::GossipMessage::Builder to);

} // namespace hickory
