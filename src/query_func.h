#pragma once

#include <cstdint>
#include <string>

namespace hickory {

/// Looks up a query parameter of a request between processes. Values are not percent-decoded, and the first occurrence
/// of `name=` counts wherever it stands in the target.
/// @param target path and query
/// @param name name of the parameter
/// @return the value, empty when the parameter is missing
std::string queryValue(const std::string& target, const std::string& name);

/// @return the value of a query parameter as a number, 0 when it is missing or not a number
std::uint64_t queryNumber(const std::string& target, const std::string& name);

} // namespace hickory
