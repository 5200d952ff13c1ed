#pragma once

#include "config_type.h"
#include "toml_func.h"

#include <array>
#include <cstddef>

namespace hickory {

/// Longest configuration, in bytes. It fits into a row of the table service, and has room for maxWorkspaces workspaces.
constexpr std::size_t maxConfigBytes = 1U << 20U;
/// A rank index is sent as one byte, and each rank has its own queues at every entry and agent.
constexpr std::size_t maxRanks = 16;
constexpr std::size_t maxWorkspaces = 10000;
constexpr std::size_t maxServices = 1000;
constexpr std::size_t maxAdapters = 64; ///< adapters of one model

constexpr IntegerRange firstTokenRange { 1, 600000 }; ///< milliseconds
constexpr IntegerRange betweenTokensRange { 1, 60000 }; ///< milliseconds
constexpr NumberRange weightRange { 0.001, 1000000.0 }; ///< relative weight of a rank or workspace
constexpr NumberRange floorRange { 0.0, 1.0 }; ///< fraction of a replica's slots
constexpr IntegerRange workspaceQueueRange { 1, 100000 }; ///< requests
constexpr IntegerRange concurrencyRange { 1, 1024 }; ///< slots per replica
constexpr IntegerRange maxUnavailableRange { 1, 10000 }; ///< replicas
constexpr IntegerRange quarantineRange { 1, 86400 }; ///< seconds
constexpr IntegerRange replicasRange { 1, 10000 }; ///< replicas

/// Tolerance for the sum of floors, which must not exceed 1. It covers rounding errors, as in 0.1 + 0.2 + 0.7.
constexpr double floorTolerance = 1e-9;

constexpr std::array<NamedValue<ServiceKind>, 2> serviceKindNames { {
    { "engine", ServiceKind::Engine },
    { "plain", ServiceKind::Plain },
} };

constexpr std::array<NamedValue<FencingSupport>, 2> fencingNames { {
    { "checked", FencingSupport::Checked },
    { "ignored", FencingSupport::Ignored },
} };

constexpr std::array<NamedValue<const char*>, 3> engineRoleNames { {
    { "both", "both" },
    { "prefill", "prefill" },
    { "decode", "decode" },
} };

} // namespace hickory
