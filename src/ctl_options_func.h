#pragma once

#include "ctl_type.h"

#include <optional>

namespace hickory {

/// Parses the command line of hickoryctl. Entry addresses come from --entries, else from HICKORY_ENTRIES, else from the
/// settings file named by --settings or HICKORYCTL_SETTINGS. The operator token comes from the settings file.
/// Prints help, the program version and usage errors itself.
/// @param count number of command line arguments, including the program name
/// @param values command line arguments
/// @param[out] exitCode exit code of the program; valid if nothing is returned
/// @return the options, or nothing if the program must exit
std::optional<CtlOptions> parseCtlOptions(int count, char** values, int& exitCode);

} // namespace hickory
