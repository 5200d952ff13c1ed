#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "status_type.h"

#include <cstdint>
#include <string>

namespace hickory {

/// Identifies one attempt of one request at an agent.
struct AttemptKey {
    HostId entry; ///< host of the entry that dispatched the attempt
    RequestId request; ///< the request, unique at that entry
    Attempt attempt; ///< number of the attempt, from 1

    auto operator<=>(const AttemptKey&) const = default;
};

/// How an attempt ended. The values equal those of rpc::DispatchResultKind.
enum class DispatchResultKind : std::uint8_t {
    Completed, ///< the complete response was sent
    NotRun, ///< refused; the upstream never received the request
    Failed, ///< the upstream received the request and returned an error
    Unknown, ///< the upstream may have run the request
    Crashed, ///< the upstream crashed with the request in flight
    Preempted, ///< cancelled in favour of a more urgent rank; may be resumed
    RecordedDone, ///< the call row holds a recorded response, which was sent
    RecordedRunning, ///< the call row shows that another attempt is running
    RecordedUnknown, ///< the call row was started, but its outcome is lost, e.g. because the agent restarted
    KeyConflict, ///< the idempotency key was used before with another method, path or body
};

/// Metadata of a dispatch; the body stays in the I/O layer.
struct DispatchCall {
    AttemptKey key;
    ServiceId service; ///< service that must run the request
    WorkspaceId workspace; ///< workspace for fair sharing within the rank
    RankIndex rank; ///< rank in the entry's configuration, 0 is the most urgent
    RequestDigest requestDigest; ///< digest of method, path and body
    Milliseconds timeout; ///< time left until the request's deadline
    ModelVersion version; ///< model version that the upstream must serve, empty for plain services
    std::uint32_t resumeFrom { 0 }; ///< parts already delivered to the caller; the upstream continues after them
    Tokens cost; ///< estimated tokens of prompt and response
    std::string idempotencyKey; ///< Idempotency-Key of a non-repeatable call, otherwise empty
    RowVersion rowVersion; ///< version of the call row as read by the entry, 0 when there was none
    bool suspect { false }; ///< may have crashed an upstream; no other suspect may run on the same upstream
};

/// Result of an attempt, reported by the agent or created by the entry when the agent is unreachable.
struct DispatchResult {
    DispatchResultKind kind { DispatchResultKind::Unknown };
    std::string reason; ///< machine-readable reason, e.g. "no-slot"; empty when the kind says all
    std::uint16_t status { 0 }; ///< HTTP status of the upstream, 0 when it sent none
    std::uint32_t parts { 0 }; ///< parts of the response sent in this attempt
    AgentStatus load; ///< agent status at the end of the attempt; its host is empty in results that the entry created
};

} // namespace hickory
