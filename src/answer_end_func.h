#pragma once

#include "wire_head_type.h"

namespace hickory {

/// @param head of a successful answer
/// @param expected whether the request asked for a stream of events; decides when the answer states no type
/// @return whether the body of the answer is a stream of events
bool isEventStream(const WireHead& head, bool expected);

} // namespace hickory
