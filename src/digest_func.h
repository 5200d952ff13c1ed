#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickory {

/// Computes a BLAKE2b-256 digest.
/// @param data bytes to digest, may be empty
/// @return 64 lower-case hex digits
std::string digestHex(std::string_view data);

/// Computes a SHA-256 digest, the format of the piece digests in a manifest from the weights origin.
/// @param data bytes to digest, may be empty
/// @return 64 lower-case hex digits
std::string sha256Hex(std::string_view data);

/// Incremental BLAKE2b-256: gives the same digest as digestHex() of all pieces joined.
class Digester {
public:
    Digester();
    /// Appends data.
    void update(std::string_view data);
    /// Finishes the digest.
    /// @return 64 lower-case hex digits; the digester may not be used afterwards
    std::string finishHex();

private:
    std::vector<unsigned char> state; ///< storage of the libsodium state, with room to align it
};

/// Hashes a pair of strings for decisions that must agree between processes, e.g. rendezvous hashing. The hash key is
/// public, so the result must not protect secrets.
/// @param key fixed part, e.g. a chunk digest
/// @param value varying part, e.g. a host
/// @return 64 uniformly distributed bits, the same in every process
std::uint64_t stableHash(std::string_view key, std::string_view value);

/// Compares secrets in a time that does not depend on where they differ.
/// @return true when they are equal
bool equalSecrets(std::string_view left, std::string_view right);

} // namespace hickory
