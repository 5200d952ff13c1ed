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

using ConfigVersion = NumberId<struct ConfigVersionTag>; ///< of the operators' configuration; grows in uneven steps
using WeightsVersion = NumberId<struct WeightsVersionTag>; ///< of a model's weights; grows from 1

/// What may be repeated of a route's requests.
enum class CallKind : std::uint8_t {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once for each attempt of a caller
    Stream, ///< a series of events; may be resumed only where the route says so
};

/// A share of a route's requests.
struct RouteShare {
    ServiceId service; ///< where the share goes
    double weight { 1.0 }; ///< relative to the route's other shares
};

/// A route of the operators' configuration.
struct RelayRoute {
    std::string name; ///< unique
    std::string host; ///< Host header without port, lower case
    std::string prefix; ///< begins and ends with a slash
    CallKind kind { CallKind::Idempotent }; ///< what may be repeated
    Milliseconds timeout { 0 }; ///< longest time that a caller is kept waiting
    Milliseconds objective { 0 }; ///< answers, or first events, within it are on time
    Milliseconds gapObjective { 0 }; ///< longest pause between events that is on time, 0 when none
    std::uint8_t rank { 0 }; ///< urgency, 0 is first
    std::vector<RouteShare> shares; ///< at least one
    std::uint32_t maxAttempts { 1 }; ///< upstreams that one attempt of a caller may be sent to
    bool keyless { false }; ///< needs no key
    bool resumable { false }; ///< a stream may go on at another upstream
};

/// How fast an engine works, from the operators' configuration.
struct EngineProfile {
    std::uint32_t slots { 1 }; ///< requests that run at once
    std::uint64_t kvCacheTokens { 0 }; ///< tokens of context that fit
    double stepMs { 0 }; ///< one token step
    double stepPerRequestMs { 0 }; ///< more for each request that writes
    double stepPerKiloContextMs { 0 }; ///< more for each 1,000 tokens of context of a writer
    double prefillTokensPerMs { 1 }; ///< prompt tokens read in a millisecond
    double prefillPerMegaPairMs { 0 }; ///< more for each million pairs of a token and an earlier one
    std::uint32_t stride { 1 }; ///< token steps of a pass that includes writers
    std::uint32_t layers { 1 }; ///< of the model
    std::uint32_t pieceCount { 0 }; ///< pieces of the weights
    std::uint32_t pieceBytes { 0 }; ///< bytes of a piece
    std::uint32_t meanPromptTokens { 1 }; ///< mean tokens of a prompt
    std::uint32_t meanOutputTokens { 1 }; ///< mean tokens of an answer
    Milliseconds loadTime { 0 }; ///< from accepted order to loaded weights
    std::vector<ModelId> models; ///< that the engine serves
};

/// A service of the operators' configuration.
struct RelayService {
    ServiceId name; ///< unique
    std::optional<EngineProfile> engine; ///< for model engines
    std::string originAddress; ///< "ip:port" of the origin of weights, empty for other services
    double originMbps { 0 }; ///< link of the origin, 0 when it is not told
    std::uint32_t maxConnections { 0 }; ///< accepted by an upstream from all callers together
};

/// A workspace and how urgent its requests are.
struct RelayWorkspace {
    WorkspaceId name; ///< unique
    std::optional<std::uint8_t> rank; ///< goes before the route's rank
};

/// The operators' configuration as the relay uses it.
struct RelayConfig {
    ConfigVersion version; ///< newer ones are greater
    std::vector<RelayRoute> routes; ///< all routes
    std::map<ServiceId, RelayService> services; ///< by name
    std::vector<RelayWorkspace> workspaces; ///< all workspaces
    std::unordered_map<std::string, std::size_t> keys; ///< API key to index in workspaces
    FrontLimits limits; ///< of what callers may send
};

/// @param config configuration
/// @param host Host header as received
/// @param target path and query
/// @return the route with the longest matching prefix, or nullptr
const RelayRoute* findRoute(const RelayConfig& config, const std::string& host, const std::string& target);

} // namespace hickory
