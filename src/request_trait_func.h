#pragma once

#include "relay_type.h"

#include <string_view>

namespace hickory {

/// Hashes what a repeat of a request has in common with it, at any entry: method, host, target, key, shared prompt
/// parts and body. Attempt id, deadline and other header fields do not count.
/// @param metadata decoded header fields of the request
/// @param body without transfer coding
/// @return the same hash for each repeat of the request, in every process
RequestTrait wholeRequestTrait(std::string_view method, const RequestMetadata& metadata, std::string_view body);

} // namespace hickory
