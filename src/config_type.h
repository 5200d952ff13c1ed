#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// One rank of the operators' text. The position in Config::ranks is its RankIndex.
struct RankConfig {
    std::string name; ///< unique name
    Milliseconds firstTokenTarget { 1000 }; ///< target for the time to the first token
    Milliseconds betweenTokensTarget { 100 }; ///< target for the time between tokens
    double weight { 1.0 }; ///< share of capacity that no floor claims, relative to the other ranks
    double floor { 0.0 }; ///< share of each replica's slots kept for the rank, 0 to 1
};

/// One workspace (tenant) of the operators' text.
struct WorkspaceConfig {
    WorkspaceId name; ///< unique name
    double weight { 1.0 }; ///< share within a rank, relative to the other workspaces
    std::uint32_t maxQueued { 256 }; ///< requests that may wait at one entry
};

/// Whether the upstreams of a service refuse an order with an old fencing number.
enum class FencingSupport : std::uint8_t { Checked, Ignored };

/// What stands behind the agents of a service.
enum class ServiceKind : std::uint8_t { Engine, Plain };

/// The model that an engine service runs.
struct ModelConfig {
    ModelId name; ///< model name
    ModelVersion version; ///< version to bring into service
    ManifestDigest manifest; ///< digest that pins every byte of the version
    std::vector<std::string> adapters; ///< model adapters to load with it
    std::string role { "both" }; ///< "prefill", "decode" or "both"
    std::uint32_t minReplicas { 1 }; ///< placement never goes below this
    std::uint32_t maxReplicas { 1 }; ///< placement never goes above this

    bool operator==(const ModelConfig&) const = default;
};

/// One service of the operators' text.
struct ServiceConfig {
    ServiceId name; ///< unique name
    ServiceKind kind { ServiceKind::Plain }; ///< what stands behind the agents
    std::vector<ServiceId> dependsOn; ///< services that must have a ready upstream before this one is offered
    bool repeatable { true }; ///< calls may be sent again after an unknown outcome, but for nonRepeatable
    std::vector<std::string> nonRepeatable; ///< path prefixes whose calls need an Idempotency-Key and run at most once
    FencingSupport fencing { FencingSupport::Checked }; ///< what the engine does with an old fencing number
    std::uint32_t concurrency { 8 }; ///< slots of each replica
    std::uint32_t maxOut { 1 }; ///< replicas that may be out of service at once during a rollout
    Milliseconds quarantine { 600000 }; ///< how long a request that crashed two upstreams is refused
    std::optional<ModelConfig> model; ///< set when and only when kind is Engine
};

/// The parsed operators' text.
struct Config {
    std::vector<RankConfig> ranks; ///< most urgent first, at least one
    std::vector<WorkspaceConfig> workspaces; ///< in the order of the text
    std::vector<ServiceConfig> services; ///< in the order of the text

    /// @return the service with that name, or nullptr
    const ServiceConfig* findService(const ServiceId& name) const;
    /// @return the workspace with that name, or nullptr
    const WorkspaceConfig* findWorkspace(const WorkspaceId& name) const;
    /// @return the index of the rank with that name, or nothing
    std::optional<RankIndex> findRank(const std::string& name) const;
};

/// An accepted configuration as it is stored and sent between processes.
struct ConfigRecord {
    Generation generation; ///< 0 when there is none
    std::string digest; ///< BLAKE2b-256 of the text, hex
    ChangeId changeId; ///< the change that was accepted
    std::string text; ///< the operators' text
};

} // namespace hickory
