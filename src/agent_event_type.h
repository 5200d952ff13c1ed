#pragma once

#include "config_type.h"
#include "dispatch_type.h"
#include "entry_event_type.h"
#include "member_type.h"
#include "store_type.h"
#include "weights_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hickory {

/// An entry dispatched an attempt to this agent.
struct DispatchReceived {
    DispatchCall call; ///< metadata; the body stays in the I/O layer
};

/// An entry cancelled an attempt.
struct CancelReceived {
    AttemptKey key; ///< the attempt
};

/// An entry attached its listener.
struct EntryAttached {
    HostId entry; ///< entry host
};

/// The connection of an entry was lost; nobody waits for its attempts.
struct EntryDetached {
    HostId entry; ///< entry host
};

/// The upstream produced the first part of an attempt's answer.
struct UpstreamFirstPart {
    AttemptKey key; ///< the attempt
};

/// How the upstream ended an attempt.
enum class UpstreamResult : std::uint8_t {
    Completed, ///< the whole answer was read
    Refused, ///< the upstream refused before it ran anything (e.g. full, or another version)
    Failed, ///< the upstream answered with an error
    ConnectFailed, ///< the connection was not made: the request was never given
    Crashed, ///< the connection broke in mid-answer
    Cancelled, ///< ended by CancelUpstream
    TimedOut, ///< the deadline passed
};

/// The upstream ended an attempt.
struct UpstreamEnded {
    AttemptKey key; ///< the attempt
    UpstreamResult result { UpstreamResult::Failed }; ///< how
    std::uint16_t status { 0 }; ///< HTTP status, 0 when there was none
    std::uint32_t parts { 0 }; ///< parts read and passed on
    std::string answer; ///< whole answer of a non-repeatable call, to be recorded (bounded)
    std::string contentType; ///< of the answer
    bool answerTooLong { false }; ///< the answer exceeds what is recorded; `answer` is empty
};

/// State that the upstream reports about itself.
struct UpstreamState {
    bool reachable { false }; ///< it answered
    bool ready { false }; ///< it says it can serve
    ModelId model; ///< engines: model loaded
    ModelVersion version; ///< engines: version loaded
    ManifestDigest manifest; ///< engines: digest of the manifest it was told
    std::string weightsDigest; ///< engines: digest of the bytes it loaded
    std::vector<std::string> adapters; ///< engines: adapters loaded
    std::string role; ///< engines: role in force
    FencingNumber fence; ///< engines: highest fencing number seen, 0 when ignored
};

/// Answer to PollUpstream.
struct UpstreamStateReceived {
    UpstreamState state; ///< the state
};

/// Answer to OrderLoad.
struct LoadEnded {
    std::uint64_t order { 0 }; ///< as in OrderLoad
    bool ok { false }; ///< the engine accepted and finished the order
    bool staleFence { false }; ///< the engine refused the fencing number
    std::string detail; ///< reason when not ok
};

/// A report to the home entry was not answered.
struct HomeReportFailed {
    HostId entry; ///< as in ReportHome
};

using AgentEventBody = std::variant<DispatchReceived, CancelReceived, EntryAttached, EntryDetached, UpstreamFirstPart,
    UpstreamEnded, UpstreamStateReceived, LoadEnded, ChunkMapReceived, ChunkFetched, ManifestReceived, MembersUpdated,
    ConfigReceived, HomeReportFailed, StoreAnswer, Tick, ShutdownRequested>;

/// One input of the agent's reducer.
struct AgentEvent {
    Milliseconds now; ///< monotonic time at which the event happened
    AgentEventBody body; ///< what happened
};

} // namespace hickory
