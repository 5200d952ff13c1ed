#pragma once

#include "id_type.h"
#include "status_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Kinds of operator calls, with their HTTP requests.
enum class OperatorCallKind : std::uint8_t {
    CheckConfig, ///< POST /v1/config/check, body is the configuration text
    DiffConfig, ///< POST /v1/config/diff, body is the configuration text
    ApplyConfig, ///< POST /v1/config with X-Base-Generation and X-Change-Id, body is the configuration text
    ShowConfig, ///< GET /v1/config[?generation=N]
    History, ///< GET /v1/config/history
    Status, ///< GET /v1/status: every entry and its home agents
    Upstreams, ///< GET /v1/upstreams: state of the upstreams as seen by this entry
    Rollout, ///< GET /v1/rollout: progress of each engine service's model version
    Entries, ///< GET /v1/entries: entry addresses for clients, with a time to live; needs no token
};

/// An operator's call whose token has been checked.
struct OperatorCall {
    std::uint64_t call { 0 }; ///< number set by the I/O layer, returned with the answer
    OperatorCallKind kind { OperatorCallKind::Status };
    std::string body; ///< configuration text for CheckConfig, DiffConfig and ApplyConfig, otherwise empty
    Generation generation; ///< ApplyConfig: base generation; ShowConfig: generation to show, 0 for the newest
    ChangeId changeId; ///< ApplyConfig: the operator's id of the change
};

/// Answer to an operator's call.
struct OperatorAnswer {
    std::uint64_t call { 0 }; ///< OperatorCall::call of the call answered
    std::uint16_t status { 200 }; ///< HTTP status
    std::string body; ///< JSON document
};

/// Status of one entry and its home agents, for an operator's Status call.
struct EntryStatus {
    HostId host; ///< host of the entry
    bool reachable { true }; ///< false when it did not answer in time; `generation` and `agents` are then empty
    bool leaving { false }; ///< the entry is being stopped
    Generation generation; ///< configuration in force at the entry, 0 for none
    std::vector<AgentStatus> agents; ///< latest report of each home agent
};

} // namespace hickory
