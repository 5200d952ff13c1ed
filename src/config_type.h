#pragma once

#include "clock_type.h"
#include "id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// A priority class of requests, table [[rank]]. Its position in Config::ranks is its RankIndex; 0 is the most urgent.
struct RankConfig {
    std::string name; ///< unique among ranks
    Milliseconds firstTokenTarget { 1000 }; ///< target for the time to the first token
    Milliseconds betweenTokensTarget { 100 }; ///< target for the time between two tokens
    double weight { 1.0 }; ///< share of the capacity beyond all floors, relative to the other ranks
    double floor { 0.0 }; ///< fraction of each replica's slots guaranteed to the rank, 0 to 1
};

/// A workspace (tenant), table [[workspace]].
struct WorkspaceConfig {
    WorkspaceId name; ///< unique among workspaces
    double weight { 1.0 }; ///< share of a rank's capacity, relative to the other workspaces
    std::uint32_t maxQueued { 256 }; ///< requests that may wait in the queues of one entry
};

/// How the upstreams of a service treat an order that carries an outdated fencing number.
enum class FencingSupport : std::uint8_t {
    Checked, ///< they reject it
    Ignored ///< they carry it out, since they don't compare fencing numbers
};

/// Kind of the upstreams of a service.
enum class ServiceKind : std::uint8_t {
    Engine, ///< inference engines that load a model
    Plain ///< other HTTP servers
};

/// The model that an engine service runs, table [service.model].
struct ModelConfig {
    ModelId name;
    ModelVersion version; ///< version that all replicas should serve
    ManifestDigest manifest; ///< digest of the manifest, which determines every byte of the version
    std::vector<std::string> adapters; ///< adapters to load with the model
    std::string role { "both" }; ///< phases that the engines run: "prefill", "decode" or "both"
    std::uint32_t minReplicas { 1 }; ///< least number of hosts that placement assigns to the service
    std::uint32_t maxReplicas { 1 }; ///< greatest number of hosts that placement assigns to the service

    bool operator==(const ModelConfig&) const = default;
};

/// A service and its upstreams, table [[service]].
struct ServiceConfig {
    ServiceId name; ///< unique among services
    ServiceKind kind { ServiceKind::Plain };
    std::vector<ServiceId> dependsOn; ///< services that need a ready upstream before this service is offered
    bool repeatable { true }; ///< calls may be resent after an unknown outcome, except those in nonRepeatable
    /// Path prefixes whose calls require an Idempotency-Key and run at most once.
    std::vector<std::string> nonRepeatable;
    FencingSupport fencing { FencingSupport::Checked }; ///< whether upstreams reject outdated fencing numbers
    std::uint32_t concurrency { 8 }; ///< requests that one replica handles at the same time (slots)
    std::uint32_t maxUnavailable { 1 }; ///< replicas that a rollout may take out of service at the same time
    Milliseconds quarantine { 600000 }; ///< how long a request that crashed two upstreams is rejected
    std::optional<ModelConfig> model; ///< set if and only if kind is Engine
};

/// The parsed configuration.
struct Config {
    std::vector<RankConfig> ranks; ///< most urgent first, never empty
    std::vector<WorkspaceConfig> workspaces; ///< in file order
    std::vector<ServiceConfig> services; ///< in file order

    /// @return the service with this name, or nullptr
    const ServiceConfig* findService(const ServiceId& name) const;
    /// @return the workspace with this name, or nullptr
    const WorkspaceConfig* findWorkspace(const WorkspaceId& name) const;
    /// @return the index of the rank with this name, or nullopt
    std::optional<RankIndex> findRank(const std::string& name) const;
};

/// An accepted configuration in the form in which it is stored and sent between processes.
struct ConfigRecord {
    Generation generation; ///< number of the configuration, from 1; 0 when there is none
    std::string digest; ///< BLAKE2b-256 of the text, lowercase hex
    ChangeId changeId; ///< chosen by the operator to identify the change
    std::string text; ///< TOML source
};

} // namespace hickory
