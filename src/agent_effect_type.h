#pragma once

#include "dispatch_type.h"
#include "entry_effect_type.h"
#include "log_type.h"
#include "status_type.h"
#include "store_type.h"
#include "weights_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hickory {

/// Give an attempt to the upstream. Answered by UpstreamFirstPart and UpstreamEnded.
struct StartUpstream {
    AttemptKey key; ///< the attempt
    std::uint32_t resumeFrom { 0 }; ///< parts already delivered
    RankIndex rank; ///< sent as the engine's priority
    ModelVersion version; ///< pinned version, empty for plain services
    Milliseconds timeout; ///< time left
    bool recordAnswer { false }; ///< keep the whole answer for UpstreamEnded::answer
};

/// Cancel an attempt at the upstream. Answered by UpstreamEnded with Cancelled unless it ended before.
struct CancelUpstream {
    AttemptKey key; ///< the attempt
};

/// Answer an entry's dispatch and forget the body.
struct AnswerDispatch {
    AttemptKey key; ///< the attempt
    DispatchResult result; ///< how it ended, with the agent's load
    std::string storedAnswer; ///< RecordedDone: body to send as one part
    std::string contentType; ///< RecordedDone: type of storedAnswer
};

/// Read the upstream's state. Answered by UpstreamStateReceived.
struct PollUpstream { };

/// Order the engine to load. Answered by LoadEnded.
struct OrderLoad {
    std::uint64_t order { 0 }; ///< returned with the answer
    ModelId model; ///< model name
    ModelVersion version; ///< version
    ManifestDigest manifest; ///< manifest that was verified
    std::vector<std::string> adapters; ///< adapters to load with it
    std::string role; ///< engine role
    FencingNumber fence; ///< fencing number of this agent
};

/// Read and check a manifest. Answered by ManifestReceived.
struct FetchManifest {
    ManifestDigest digest; ///< the manifest
};

/// Ask a peer which chunks it holds. Answered by ChunkMapReceived.
struct QueryChunkMap {
    HostId peer; ///< the agent's host
    std::string address; ///< "ip:port"
    ManifestDigest manifest; ///< the manifest
};

/// Fetch, verify and store one chunk. Answered by ChunkFetched.
struct FetchChunk {
    ManifestDigest manifest; ///< the manifest
    ChunkIndex index; ///< the chunk
    ChunkSource source; ///< peer or origin
    Milliseconds timeout; ///< give up after this
};

/// Drop the stored chunks of a manifest.
struct DropWeights {
    ManifestDigest manifest; ///< the manifest
};

/// Pace chunk traffic of this host, each way.
struct SetChunkRate {
    Bytes bytesPerSecond; ///< 0 for no limit
};

/// Send the agent's status to all attached listeners.
struct NotifyListeners {
    AgentStatus status; ///< the status
};

/// Report to the home entry. A newer configuration in the answer arrives as ConfigReceived;
/// a report without an answer as HomeReportFailed.
struct ReportHome {
    HostId entry; ///< home entry
    std::string address; ///< "ip:port"
    AgentStatus status; ///< the status
};

/// Replace the status that heartbeats are answered with. Emitted after every change.
struct PublishStatus {
    AgentStatus status; ///< the status
};

using AgentEffect = std::variant<StartUpstream, CancelUpstream, AnswerDispatch, PollUpstream, OrderLoad, FetchManifest,
    QueryChunkMap, FetchChunk, DropWeights, SetChunkRate, NotifyListeners, ReportHome, PublishStatus, FetchConfig,
    ReadMembers, StoreRead, StoreWrite, ObjectRead, LogLine, MetricSample, ExitProcess>;

/// Outputs of one step of the agent's reducer, in order.
using AgentEffects = std::vector<AgentEffect>;

} // namespace hickory
