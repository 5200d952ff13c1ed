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

/// Send an attempt to the upstream. Answered by UpstreamFirstPart and UpstreamEnded.
struct StartUpstream {
    AttemptKey key;
    std::uint32_t resumeFrom { 0 }; ///< parts that the caller already has; an engine continues after them
    RankIndex rank; ///< sent to the upstream as its priority
    ModelVersion version; ///< version that must serve the request, empty for plain services
    Milliseconds timeout; ///< time left until the caller's deadline
    bool recordAnswer { false }; ///< return the whole answer in UpstreamEnded::answer
};

/// Cancel an attempt at the upstream. Answered by UpstreamEnded with Cancelled unless it ended before.
struct CancelUpstream {
    AttemptKey key;
};

/// Answer an entry's dispatch and release the request body.
struct AnswerDispatch {
    AttemptKey key;
    DispatchResult result; ///< how the attempt ended, with the agent's status
    std::string storedAnswer; ///< body to send as one part, only with RecordedDone
    std::string contentType; ///< Content-Type of storedAnswer, empty without one
};

/// Read the upstream's state. Answered by UpstreamStateReceived.
struct PollUpstream { };

/// Order the engine to load a model version. Answered by LoadEnded.
struct OrderLoad {
    std::uint64_t order { 0 }; ///< number of the order, counted from 1; returned in LoadEnded
    ModelId model;
    ModelVersion version;
    ManifestDigest manifest; ///< manifest whose chunks were verified
    std::vector<std::string> adapters; ///< adapters to load with the model
    std::string role; ///< engine role: "both", "prefill" or "decode"
    FencingNumber fence; ///< fencing number of this agent
};

/// Read and verify a manifest. Answered by ManifestReceived.
struct FetchManifest {
    ManifestDigest digest;
};

/// Ask a peer which chunks of a manifest it holds. Answered by ChunkMapReceived.
struct QueryChunkMap {
    HostId peer; ///< host of the other agent
    std::string address; ///< its "ip:port"
    ManifestDigest manifest;
};

/// Fetch, verify and store one chunk. Answered by ChunkFetched.
struct FetchChunk {
    ManifestDigest manifest;
    ChunkIndex index;
    ChunkSource source; ///< peer or origin
    Milliseconds timeout; ///< limit for the whole fetch
};

/// Delete the stored chunks of a manifest.
struct DropWeights {
    ManifestDigest manifest;
};

/// Limit the rate of this host's chunk traffic, in each direction.
struct SetChunkRate {
    Bytes bytesPerSecond; ///< 0 for no limit
};

/// Send the agent's status to the listeners of all connected entries.
struct NotifyListeners {
    AgentStatus status;
};

/// Report the status to the home entry: the entry that this agent reports to and gets configurations from.
/// A configuration in the answer arrives as ConfigReceived, a missing answer as HomeReportFailed.
struct ReportHome {
    HostId entry; ///< host of the home entry
    std::string address; ///< its "ip:port"
    AgentStatus status;
};

/// Replace the status that heartbeats are answered with. Emitted after every change of the status.
struct PublishStatus {
    AgentStatus status;
};

using AgentEffect = std::variant<StartUpstream, CancelUpstream, AnswerDispatch, PollUpstream, OrderLoad, FetchManifest,
    QueryChunkMap, FetchChunk, DropWeights, SetChunkRate, NotifyListeners, ReportHome, PublishStatus, FetchConfig,
    ReadMembers, StoreRead, StoreWrite, ObjectRead, LogLine, MetricSample, ExitProcess>;

/// Effects of one event at an agent, in the order in which they are carried out.
using AgentEffects = std::vector<AgentEffect>;

} // namespace hickory
