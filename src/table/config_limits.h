#pragma once

#include "config_type.h"
#include "toml_func.h"

#include <array>
#include <cstddef>

namespace hickory {

/// Longest operators' text. Section 6 texts with 10,000 workspaces stay below it, and a table row holds it.
constexpr std::size_t maxConfigBytes = 1U << 20U;
/// Ranks are sent as one byte and each keeps queues at every entry and agent.
constexpr std::size_t maxRanks = 16;
constexpr std::size_t maxWorkspaces = 10000;
constexpr std::size_t maxServices = 1000;
constexpr std::size_t maxAdapters = 64;

constexpr IntegerRange firstTokenRange { 1, 600000 }; ///< milliseconds
constexpr IntegerRange betweenTokensRange { 1, 60000 }; ///< milliseconds
constexpr NumberRange weightRange { 0.001, 1000000.0 };
constexpr NumberRange floorRange { 0.0, 1.0 };
constexpr IntegerRange workspaceQueueRange { 1, 100000 }; ///< requests
constexpr IntegerRange concurrencyRange { 1, 1024 }; ///< slots of a replica
constexpr IntegerRange maxOutRange { 1, 10000 }; ///< replicas
constexpr IntegerRange quarantineRange { 1, 86400 }; ///< seconds
constexpr IntegerRange replicasRange { 1, 10000 }; ///< replicas

/// Sums of floors are compared with one with this tolerance, so that 0.1 + 0.2 + 0.7 passes.
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
