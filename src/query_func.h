#pragma once

#include <cstdint>
#include <string>

namespace hickory {

/// @param target path and query of a request between processes; values are not percent-encoded
/// @param name of a parameter
/// @return its value, empty when it is missing
std::string queryValue(const std::string& target, const std::string& name);

/// @return the value as a number, 0 when it is missing or none
std::uint64_t queryNumber(const std::string& target, const std::string& name);

} // namespace hickory
