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
    std::uint64_t connection { 0 }; ///< number of the connection that it came over
};

/// An entry cancelled an attempt.
struct CancelReceived {
    AttemptKey key;
};

/// An entry registered its listener for status changes.
struct EntryAttached {
    HostId entry; ///< host of the entry
};

/// A connection of an entry was lost; no one waits for the results of the attempts that came over it.
struct EntryDetached {
    HostId entry; ///< host of the entry
    std::uint64_t connection { 0 }; ///< number of the connection
};

/// The upstream produced the first part of an attempt's answer.
struct UpstreamFirstPart {
    AttemptKey key;
};

/// How an attempt ended at the upstream.
enum class UpstreamResult : std::uint8_t {
    Completed, ///< the whole answer was read
    Refused, ///< the upstream refused before it ran anything, e.g. because it is full or runs another version
    Failed, ///< the upstream answered with an error
    ConnectFailed, ///< no connection could be made, so the request was never sent
    Crashed, ///< the connection broke before the whole answer was read
    Cancelled, ///< ended by CancelUpstream
    TimedOut, ///< the deadline passed
};

/// An attempt ended at the upstream.
struct UpstreamEnded {
    AttemptKey key;
    UpstreamResult result { UpstreamResult::Failed };
    std::uint16_t status { 0 }; ///< HTTP status, 0 when no status line was read
    std::uint32_t parts { 0 }; ///< parts read and sent to the entry
    std::string answer; ///< whole answer to record; empty unless StartUpstream::recordAnswer was set
    std::string contentType; ///< Content-Type of the answer
    bool answerTooLong { false }; ///< the answer exceeds the longest that is recorded; `answer` is empty
};

/// State that the upstream reports about itself. Plain services report only whether they are reachable; the fields from
/// `model` on are set by engines.
struct UpstreamState {
    bool reachable { false }; ///< it answered the poll
    bool ready { false }; ///< it can serve requests
    ModelId model; ///< loaded model, empty when none
    ModelVersion version; ///< loaded version, empty when none
    ManifestDigest manifest; ///< digest of the manifest named in the last load order
    std::string weightsDigest; ///< digest of the bytes that the engine loaded
    std::vector<std::string> adapters; ///< loaded adapters, in any order
    std::string role; ///< current engine role: "both", "prefill" or "decode"
    FencingNumber fence; ///< highest fencing number seen, 0 when the engine does not check them
};

/// Answer to PollUpstream.
struct UpstreamStateReceived {
    UpstreamState state;
};

/// Answer to OrderLoad.
struct LoadEnded {
    std::uint64_t order { 0 }; ///< OrderLoad::order of the order that ended
    bool ok { false }; ///< the engine accepted and finished the order
    bool staleFence { false }; ///< the engine rejected the fencing number because it has seen a higher one
    std::string detail; ///< reason for the failure, empty when ok
};

/// The home entry did not answer a status report.
struct HomeReportFailed {
    HostId entry; ///< host of the entry that the report was sent to
};

using AgentEventBody = std::variant<DispatchReceived, CancelReceived, EntryAttached, EntryDetached, UpstreamFirstPart,
    UpstreamEnded, UpstreamStateReceived, LoadEnded, ChunkMapReceived, ChunkFetched, ManifestReceived, MembersUpdated,
    ConfigReceived, HomeReportFailed, StoreAnswer, Tick, ShutdownRequested>;

/// One input of an agent's reduce().
struct AgentEvent {
    Milliseconds now; ///< monotonic time of the event
    AgentEventBody body;
};

} // namespace hickory
