#pragma once

#include "cluster/message.h"
#include "core/ids.h"

#include <string>
#include <string_view>

namespace vanillaspar
{

/** A message with its sender. */
struct Envelope
{
    HostId from;
    Message message;
};

/**
 * Turns messages into frames and back, authenticated with the cluster's secret.
 *
 * A frame is: format version, HMAC-SHA256 of the rest, then the envelope in cereal's portable binary form.
 */
class MessageCodec
{
public:
    /** @param secret the cluster's shared secret, the same on every host. */
    explicit MessageCodec(std::string secret);

    /** @return the frame without a length prefix. */
    std::string encode(const HostId &from, const Message &message) const;

    /** @return a frame around an encoded envelope. */
    std::string buildFrame(const std::string &body) const;

    /**
     * @param frame one whole frame.
     * @throws DecodeError if the frame is damaged, of another format or not made with the secret.
     */
    Envelope decode(std::string_view frame) const;

private:
    std::string computeMac(std::string_view body) const;

    std::string m_secret;
};

}
