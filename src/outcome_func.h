#pragma once

#include "entry_effect_type.h"

namespace hickory {

/// @param outcome what a caller is told
/// @return its name in answers, headers and logs: not-run, ran or unknown
const char* outcomeName(Outcome outcome);

} // namespace hickory
