#pragma once

#include "entry_effect_type.h"

namespace hickory {

/// @param outcome whether a request ran, as reported to its caller
/// @return name in response bodies, headers and logs: not-run, ran or unknown
const char* outcomeName(Outcome outcome);

} // namespace hickory
