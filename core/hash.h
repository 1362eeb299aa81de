#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillaspar
{

/**
 * Hash that is the same on every host and in every release.
 *
 * @param text bytes to hash.
 * @param seed gives independent hashes of the same text.
 * @return 64-bit hash; not cryptographic.
 */
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

/** @return the lower 32 bits of stableHash() with seed 0, used as a short name in messages between hosts. */
uint32_t shortHash(std::string_view text);

/**
 * SHA-256 digest, used for keys, request bodies and configuration parts.
 *
 * @param text bytes to hash.
 * @return 64 lower-case hexadecimal digits.
 */
std::string sha256Hex(std::string_view text);

}
