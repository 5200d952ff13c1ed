#pragma once

#include "error_type.h"

#include <string>

namespace hickory {

/// @param path file path, or "-" for standard input
/// @return the whole content, or ErrorCode::NotFound if it cannot be read
Result<std::string> readWholeFile(const std::string& path);

} // namespace hickory
