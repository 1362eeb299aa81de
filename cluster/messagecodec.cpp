#include "cluster/messagecodec.h"

#include "cluster/boundedarchive.h"
#include "core/error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sstream>

namespace vanillaspar
{

namespace
{

constexpr char formatVersion = 3;
constexpr size_t macLength = 32; // bytes
constexpr size_t headerLength = 1 + macLength;
constexpr size_t maxFrameLength = 4UL * 1024 * 1024; // bytes

}

MessageCodec::MessageCodec(std::string secret) : m_secret(std::move(secret))
{
}

std::string MessageCodec::computeMac(std::string_view body) const
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
         reinterpret_cast<const unsigned char *>(body.data()), body.size(), digest, &length);
    return {reinterpret_cast<const char *>(digest), length};
}

std::string MessageCodec::encode(const HostId &from, const Message &message) const
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(from, message);
    }
    return buildFrame(stream.str());
}

std::string MessageCodec::buildFrame(const std::string &body) const
{
    return std::string(1, formatVersion) + computeMac(body) + body;
}

Envelope MessageCodec::decode(std::string_view frame) const
{
    if (frame.size() < headerLength || frame.size() > maxFrameLength) {
        throw DecodeError("frame length out of range: " + std::to_string(frame.size()) + " bytes");
    }
    if (frame.front() != formatVersion) {
        throw DecodeError("unsupported frame format version " + std::to_string(static_cast<int>(frame.front())));
    }
    const std::string_view body = frame.substr(headerLength);
    // The MAC is checked before anything is decoded, so that only hosts that know the secret reach the decoder.
    if (CRYPTO_memcmp(computeMac(body).data(), frame.data() + 1, macLength) != 0) {
        throw DecodeError("frame authentication failed: not made with this cluster's secret");
    }
    try {
        BoundedArchive archive(body);
        Envelope envelope;
        archive(envelope.from, envelope.message);
        return envelope;
    } catch (const std::exception &error) {
        throw DecodeError(std::string("frame can't be decoded: ") + error.what());
    }
}

}
