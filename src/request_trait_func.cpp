#include "request_trait_func.h"

#include "digest_func.h"

#include <algorithm>
#include <cctype>

namespace hickory {

RequestTrait wholeRequestTrait(std::string_view method, const RequestMetadata& metadata, std::string_view body)
{
    std::string host = metadata.host.substr(0, metadata.host.find(':'));
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char letter) { return std::tolower(letter); });
    // Each value is hashed with the hash so far, so that bytes cannot move from one value into the next.
    std::uint64_t hash = stableHash("whole-request", method);
    for (const std::string_view value :
        { std::string_view(host), std::string_view(metadata.target), std::string_view(metadata.key), body })
        hash = stableHash(std::to_string(hash), value);
    for (const RequestTrait part : metadata.promptParts)
        hash = stableHash(std::to_string(hash), std::to_string(part.value));
    return { hash };
}

} // namespace hickory
