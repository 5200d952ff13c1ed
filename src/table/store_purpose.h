#pragma once

#include "store_type.h"

#include <array>

namespace hickory {

/// Names of StorePurpose values in metrics, in their order.
constexpr std::array<const char*, 9> storePurposeNames { "config-poll", "config-history", "config-write", "call-row",
    "fence", "placement", "permit", "members", "manifest" };

} // namespace hickory
