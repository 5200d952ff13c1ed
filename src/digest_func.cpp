#include "digest_func.h"

#include <sodium.h>

#include <array>
#include <cstring>

namespace hickory {

namespace {

    constexpr std::size_t digestBytes = 32;

    std::string toHex(const unsigned char* bytes, std::size_t count)
    {
        std::string hex(count * 2 + 1, '\0');
        sodium_bin2hex(hex.data(), hex.size(), bytes, count);
        hex.pop_back();
        return hex;
    }

    /// @return the first address in `storage` with the 64-byte alignment that libsodium requires and std::vector does
    /// not guarantee
    crypto_generichash_state* aligned(std::vector<unsigned char>& storage)
    {
        constexpr std::uintptr_t alignment = 64;
        auto address = reinterpret_cast<std::uintptr_t>(storage.data());
        address = (address + alignment - 1) / alignment * alignment;
        return reinterpret_cast<crypto_generichash_state*>(address);
    }

} // namespace

std::string digestHex(std::string_view data)
{
    std::array<unsigned char, digestBytes> digest {};
    crypto_generichash(
        digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(data.data()), data.size(), nullptr, 0);
    return toHex(digest.data(), digest.size());
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest {};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(data.data()), data.size());
    return toHex(digest.data(), digest.size());
}

Digester::Digester()
    : state(sizeof(crypto_generichash_state) + 64)
{
    crypto_generichash_init(aligned(this->state), nullptr, 0, digestBytes);
}

void Digester::update(std::string_view data)
{
    crypto_generichash_update(aligned(this->state), reinterpret_cast<const unsigned char*>(data.data()), data.size());
}

std::string Digester::finishHex()
{
    std::array<unsigned char, digestBytes> digest {};
    crypto_generichash_final(aligned(this->state), digest.data(), digest.size());
    return toHex(digest.data(), digest.size());
}

std::uint64_t stableHash(std::string_view key, std::string_view value)
{
    static const std::array<unsigned char, crypto_shorthash_KEYBYTES> fixedKey {};
    std::string joined;
    joined.reserve(key.size() + value.size() + 1);
    joined.append(key).push_back('\0');
    joined.append(value);
    std::uint64_t hash = 0;
    crypto_shorthash(reinterpret_cast<unsigned char*>(&hash), reinterpret_cast<const unsigned char*>(joined.data()),
        joined.size(), fixedKey.data());
    return hash;
}

bool equalSecrets(std::string_view left, std::string_view right)
{
    // Digests have a fixed length, so the time of the comparison does not reveal the lengths of the secrets either.
    const std::string leftDigest = digestHex(left);
    const std::string rightDigest = digestHex(right);
    return sodium_memcmp(leftDigest.data(), rightDigest.data(), leftDigest.size()) == 0;
}

} // namespace hickory
