#pragma once

#include "member_type.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hickory {

/// Chooses hosts for an entry, the same number from each data centre as far as their sizes allow. The choice depends
/// on the arguments only, and the loss of a host replaces only that host.
/// @param key identifies the choice, e.g. by entry and service; other keys give other subsets
/// @param candidates hosts to choose from
/// @param size number of hosts wanted
/// @return `size` hosts, or all candidates when there are fewer
std::vector<HostId> chooseSubset(std::string_view key, const std::vector<const Member*>& candidates, std::size_t size);

} // namespace hickory
