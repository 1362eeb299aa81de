#pragma once

#include "cluster/message.h"
#include "core/ids.h"

#include <string>
#include <string_view>

namespace vanillaspar
{

/** A received message with its sender. */
struct Envelope
{
    HostId from;
    Message message;
};

/**
 * Encodes messages into authenticated frames and decodes them.
 *
 * A frame consists of the format version (1 byte), the HMAC-SHA256 of the body (32 bytes), and the body: sender and
 * message in cereal's portable binary format.
 */
class MessageCodec
{
public:
    /** @param secret the cluster's shared secret, the same on every host. */
    explicit MessageCodec(std::string secret);

    /**
     * @param from the sending host.
     * @return the frame; it carries no length prefix.
     */
    std::string encode(const HostId &from, const Message &message) const;

    /**
     * Adds the header with the MAC.
     *
     * @param body sender and message, already encoded.
     */
    std::string buildFrame(const std::string &body) const;

    /**
     * Checks the MAC and decodes the frame.
     *
     * @param frame one complete frame without a length prefix.
     * @throws DecodeError if the frame is damaged, too long, of another format version or made with another secret.
     */
    Envelope decode(std::string_view frame) const;

private:
    std::string computeMac(std::string_view body) const;

    std::string m_secret;
};

}
