#pragma once

#include "clock_type.h"
#include "front_io.h"
#include "id_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

using ConfigVersion = NumberId<struct ConfigVersionTag>; ///< of the operators' configuration; increases, with gaps
using WeightsVersion = NumberId<struct WeightsVersionTag>; ///< of a model's weights; counts from 1, 0 means none

/// Whether a route's requests may be repeated.
enum class CallKind : std::uint8_t {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once for each attempt of a caller
    Stream, ///< answered by a stream of events; may be resumed only where the route allows it
};

/// A share of a route's requests.
struct RouteShare {
    ServiceId service; ///< service that gets the share
    double weight { 1.0 }; ///< relative to the route's other shares
};

/// A route of the operators' configuration.
struct RelayRoute {
    std::string name; ///< unique
    std::string host; ///< value of the Host header, without port, lower case
    std::string prefix; ///< prefix of the path; begins and ends with a slash
    CallKind kind { CallKind::Idempotent }; ///< whether requests may be repeated
    Milliseconds timeout { 0 }; ///< longest time from the first byte of a request to the end of its response
    Milliseconds objective { 0 }; ///< whole responses, or first events of streams, within it are on time
    /// The caller of a stream leaves after this long without an event, 0 if it waits until its deadline.
    Milliseconds patience { 0 };
    Milliseconds gapObjective { 0 }; ///< longest pause between events that is on time, 0 when there is no objective
    std::uint8_t rank { 0 }; ///< 0 is most urgent
    std::vector<RouteShare> shares; ///< services among which requests are drawn by weight; at least one
    std::uint32_t maxAttempts { 1 }; ///< sends to upstreams for one attempt of a caller
    bool keyless { false }; ///< requests need no API key
    bool resumable { false }; ///< a broken stream may continue at another upstream
    std::vector<RegionId> homes; ///< its requests may be served only there; empty for anywhere
};

/// Capacity and speed of an engine, from the operators' configuration.
struct EngineProfile {
    std::uint32_t slots { 1 }; ///< requests that run concurrently
    std::uint64_t kvCacheTokens { 0 }; ///< tokens of context that fit into the KV cache
    double stepMs { 0 }; ///< ms of one decode step
    double stepPerRequestMs { 0 }; ///< additional ms of a decode step for each running request
    double stepPerKiloContextMs { 0 }; ///< additional ms of a decode step for each 1,000 tokens of context
    double prefillTokensPerMs { 1 }; ///< prompt tokens processed per ms
    double prefillPerMegaPairMs { 0 }; ///< additional ms of prefill for each million pairs of prompt tokens
    std::uint32_t stride { 1 }; ///< decode steps in one pass of the engine's batch
    std::uint32_t layers { 1 }; ///< layers of the model
    std::uint32_t pieceCount { 0 }; ///< pieces that the weights are divided into
    std::uint32_t pieceBytes { 0 }; ///< size of a piece in bytes
    std::uint32_t meanPromptTokens { 1 }; ///< prompt tokens of a request, at least 1
    std::uint32_t meanOutputTokens { 1 }; ///< generated tokens of a request, at least 1
    Milliseconds loadTime { 0 }; ///< from an accepted load order to loaded weights
    std::vector<ModelId> models; ///< models that the engine serves
};

/// A service of the operators' configuration.
struct RelayService {
    ServiceId name; ///< unique
    std::optional<EngineProfile> engine; ///< empty for plain services
    std::string originAddress; ///< "ip:port" of the origin of weights, empty for other services
    double originMbps { 0 }; ///< bandwidth of the origin's link in Mbit/s, 0 when unknown
    std::string statusPath; ///< asked whether an upstream still runs; empty if it has no such path
    std::uint32_t maxConnections { 0 }; ///< connections that one upstream accepts from all its clients together
    Milliseconds coldPeriod { 0 }; ///< an upstream that starts during traffic is cold for so long, 0 if never
    /// Requests a second that a cold upstream takes from all entries together, 0 if upstreams are never cold.
    double coldRequestsPerSecond { 0 };
};

/// A workspace of the operators' configuration.
struct RelayWorkspace {
    WorkspaceId name; ///< unique
    std::optional<std::uint8_t> rank; ///< outweighs the route's rank, 0 is most urgent; empty counts as 1
    std::vector<RegionId> homes; ///< its requests may be served only there; empty for anywhere
};

/// The operators' configuration as the relay uses it.
struct RelayConfig {
    ConfigVersion version; ///< a newer configuration has a greater one
    std::vector<RelayRoute> routes; ///< in any order: the longest matching prefix wins
    std::map<ServiceId, RelayService> services; ///< by name
    bool needsKeys { false }; ///< the document has a list of workspaces; if that is empty, no key is valid
    std::vector<RelayWorkspace> workspaces;
    std::unordered_map<std::string, std::size_t> keys; ///< API key to index in workspaces
    FrontLimits limits; ///< limits on what callers may send
    std::vector<std::string> warnings; ///< fields that were not as they should be, and how they were read
};

/// @param host Host header as received, in any case and with or without port
/// @param target path and query
/// @return the route with the longest matching prefix, or nullptr when none matches
const RelayRoute* findRoute(const RelayConfig& config, const std::string& host, const std::string& target);

} // namespace hickory
