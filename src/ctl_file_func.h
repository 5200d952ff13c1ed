#pragma once

#include "error_type.h"

#include <string>

namespace hickory {

/// @param path a file, or "-" for standard input
/// @return its content, or NotFound
Result<std::string> readWholeFile(const std::string& path);

} // namespace hickory
