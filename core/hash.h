#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillaspar
{

/**
 * Hash that is the same on every host and in every release.
 *
 * @param text what to hash.
 * @param seed separates uses of the same text.
 * @return 64 well mixed bits.
 */
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

/** @return a short form of stableHash(), by which hosts name things to each other. */
uint32_t shortHash(std::string_view text);

/**
 * SHA-256 digest, for keys, request bodies and configuration parts.
 *
 * @param text what to hash.
 * @return 64 lower-case hexadecimal digits.
 */
std::string sha256Hex(std::string_view text);

}
