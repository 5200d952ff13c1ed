#pragma once

#include "store_type.h"

#include <array>

namespace hickory {

/// Values of the metric label `purpose`, indexed by StorePurpose.
constexpr std::array<const char*, 9> storePurposeNames { "config-poll", "config-history", "config-write", "call-row",
    "fence", "placement", "permit", "members", "manifest" };

} // namespace hickory
