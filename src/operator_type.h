#pragma once

#include "id_type.h"
#include "status_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickory {

/// Kinds of operator calls, with their HTTP form.
enum class OperatorCallKind : std::uint8_t {
    CheckConfig, ///< POST /v1/config/check, body is the text
    DiffConfig, ///< POST /v1/config/diff, body is the text
    ApplyConfig, ///< POST /v1/config with X-Base-Generation and X-Change-Id, body is the text
    ShowConfig, ///< GET /v1/config[?generation=N]
    History, ///< GET /v1/config/history
    Status, ///< GET /v1/status: every entry and its home agents
    Upstreams, ///< GET /v1/upstreams: this entry's view of its upstreams
    Rollout, ///< GET /v1/rollout: progress of versions by service
    Entries, ///< GET /v1/entries: addresses for callers with a time to live; needs no token
};

/// An operator's call, already authorised.
struct OperatorCall {
    std::uint64_t call { 0 }; ///< drawn by the I/O layer, returned with the answer
    OperatorCallKind kind { OperatorCallKind::Status }; ///< what is asked
    std::string body; ///< operators' text where the kind has one
    Generation generation; ///< base generation of an apply, or the generation to show (0 = newest)
    ChangeId changeId; ///< of an apply
};

/// Answer to an operator's call.
struct OperatorAnswer {
    std::uint64_t call { 0 }; ///< as in OperatorCall
    std::uint16_t status { 200 }; ///< HTTP status
    std::string body; ///< JSON
};

/// What one entry says for the status of the fleet.
struct EntryStatus {
    HostId host; ///< the entry
    bool reachable { true }; ///< false when it did not answer
    bool leaving { false }; ///< it is being stopped
    Generation generation; ///< configuration in force there
    std::vector<AgentStatus> agents; ///< last reports of its home agents
};

} // namespace hickory
