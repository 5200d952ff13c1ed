#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// @param data bytes
/// @return BLAKE2b-256 of the bytes as 64 hex digits
std::string digestHex(std::string_view data);

/// @param data bytes
/// @return SHA-256 of the bytes as 64 hex digits, the digest of outside systems
std::string sha256Hex(std::string_view data);

/// BLAKE2b-256 over data that arrives in pieces.
class Digester {
public:
    Digester();
    /// Adds the next piece.
    void update(std::string_view data);
    /// @return 64 hex digits; the digester may not be used afterwards
    std::string finishHex();

private:
    std::vector<unsigned char> state; ///< libsodium's state, aligned by the implementation
};

/// Fast hash for placement decisions that must agree between processes. Not for secrets.
/// @param key fixed part, e.g. a chunk digest
/// @param value varying part, e.g. a host
/// @return 64 well-mixed bits
std::uint64_t placementHash(std::string_view key, std::string_view value);

/// Compares secrets in constant time.
bool equalSecrets(std::string_view left, std::string_view right);

} // namespace hickory
