#include "core/hash.h"

#include <array>
#include <openssl/sha.h>
#include <xxhash.h>

namespace vanillaspar
{

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

uint32_t shortHash(std::string_view text)
{
    return static_cast<uint32_t>(stableHash(text));
}

std::string sha256Hex(std::string_view text)
{
    static const char digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4]);
        hex.push_back(digits[byte & 15]);
    }
    return hex;
}

}
