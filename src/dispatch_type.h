#pragma once

#include "clock_type.h"
#include "id_type.h"
#include "status_type.h"

#include <cstdint>
#include <string>

namespace hickory {

/// Identifies one attempt of one request at an agent.
struct AttemptKey {
    HostId entry; ///< entry host that dispatched
    RequestId request; ///< request at that entry
    Attempt attempt; ///< dispatch of the request

    auto operator<=>(const AttemptKey&) const = default;
};

/// How an attempt ended. Mirrors rpc::DispatchResultKind.
enum class DispatchResultKind : std::uint8_t {
    Completed, ///< the whole answer was sent
    NotRun, ///< refused; the upstream was never given the request
    Failed, ///< the upstream answered with an error after it was given the request
    Unknown, ///< the upstream may have run the request
    Crashed, ///< the upstream died with the request in flight
    Preempted, ///< cancelled in favour of more urgent work; may resume
    RecordedDone, ///< the call row holds the answer, which was sent
    RecordedRunning, ///< the call row says that another attempt runs
    RecordedUnknown, ///< the call row was started by an incarnation that is gone
    KeyConflict, ///< the same key was used with another body
};

/// Metadata of a dispatch; the body stays in the I/O layer.
struct DispatchCall {
    AttemptKey key; ///< identity
    ServiceId service; ///< target service
    WorkspaceId workspace; ///< caller's workspace
    RankIndex rank; ///< caller's rank
    BodyDigest bodyDigest; ///< digest of method, path and body
    Milliseconds timeout; ///< time left until the caller's deadline
    ModelVersion version; ///< pinned version, empty for plain services
    std::uint32_t resumeFrom { 0 }; ///< parts already delivered to the caller
    Tokens cost; ///< estimated tokens
    std::string idempotencyKey; ///< empty when the call may be repeated
    RowVersion rowVersion; ///< version of the call row that the entry saw
    bool suspect { false }; ///< must run with no other suspect on the replica
};

/// End of an attempt as told by an agent, or made up by the entry when the agent cannot be reached.
struct DispatchResult {
    DispatchResultKind kind { DispatchResultKind::Unknown }; ///< how it ended
    std::string reason; ///< short machine-readable reason, e.g. "no-slot"
    std::uint16_t status { 0 }; ///< HTTP status of the upstream, 0 when there was none
    std::uint32_t parts { 0 }; ///< parts sent in this attempt
    AgentStatus load; ///< piggybacked status; host is empty when the entry made the result up
};

} // namespace hickory
