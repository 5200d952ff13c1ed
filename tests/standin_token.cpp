#include "standin_token.h"

#include "digest_func.h"

#include <array>
#include <cstdio>

namespace hickory::standin {

std::string expectedToken(const std::string& prompt, const std::string& version, std::uint64_t index)
{
    const std::uint64_t hash = stableHash(prompt, version + "/" + std::to_string(index));
    std::array<char, 16> hex {};
    std::snprintf(hex.data(), hex.size(), "%08x", static_cast<unsigned>(hash & 0xffffffffU));
    return version + ":" + hex.data() + " ";
}

std::string tokenVersion(const std::string& token)
{
    const std::size_t colon = token.rfind(':');
    return colon == std::string::npos ? "" : token.substr(0, colon);
}

} // namespace hickory::standin
