#pragma once

#include <cstdint>
#include <string>

namespace hickory::standin {

/// Computes a token of the stand-in engine. Tokens depend only on these parameters, so that a checker can compute the
/// complete expected response.
/// @param prompt prompt of the request
/// @param version model version that generates the token
/// @param index position in the response, from 0
/// @return the token, e.g. "v1:5f3a09c2 "
std::string expectedToken(const std::string& prompt, const std::string& version, std::uint64_t index);

/// @return the model version that a token contains, empty if there is none
std::string tokenVersion(const std::string& token);

} // namespace hickory::standin
