#pragma once

#include "member_type.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hickory {

/// Chooses hosts for an entry so that all places are represented as evenly as their sizes allow. The choice depends
/// on nothing but its arguments, and losing a host moves only that host's share.
/// @param key names who chooses for what, e.g. entry and service
/// @param candidates live hosts
/// @param size number of hosts wanted
/// @return all candidates when there are no more than size, otherwise size of them
std::vector<HostId> chooseSubset(std::string_view key, const std::vector<const Member*>& candidates, std::size_t size);

} // namespace hickory
