#pragma once

#include "ctl_type.h"

#include <optional>

namespace hickory {

/// Parses hickoryctl's command line. Entry addresses come from --entries, else from HICKORY_ENTRIES, else from the
/// settings file named by --settings or HICKORYCTL_SETTINGS. The operator token comes from the settings file.
/// @param[out] exitCode set when nothing is returned
/// @return options, or nothing when the program shall exit
std::optional<CtlOptions> parseCtlOptions(int count, char** values, int& exitCode);

} // namespace hickory
