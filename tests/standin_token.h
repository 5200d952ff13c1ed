#pragma once

#include <cstdint>
#include <string>

namespace hickory::standin {

/// The stand-in engine's answer is a function of these three, so a checker can compute the whole right answer.
/// @param prompt the request's prompt
/// @param version model version that runs
/// @param index position in the answer, from 0
/// @return the token, e.g. "v1:5f3a09c2 "
std::string expectedToken(const std::string& prompt, const std::string& version, std::uint64_t index);

/// @return the version named by a token, empty when it has none
std::string tokenVersion(const std::string& token);

} // namespace hickory::standin
