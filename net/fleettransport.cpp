#include "net/fleettransport.h"

#include "core/error.h"
#include "core/eventlog.h"
#include "net/loop.h"

namespace vanillaspar
{

FleetTransport::FleetTransport(Loop &loop, HostId self, const Endpoint &endpoint, MessageCodec codec, EventLog &log,
                               Handler handler)
    : m_self(std::move(self))
    , m_codec(std::move(codec))
    , m_log(log)
    , m_handler(std::move(handler))
    , m_socket(loop, endpoint, [this](std::string_view frame) {
        receive(frame);
    })
{
}

void FleetTransport::send(const std::string &address, const Message &message)
{
    sendAll({address}, message);
}

void FleetTransport::sendAll(const std::vector<std::string> &addresses, const Message &message)
{
    const std::string frame = m_codec.encode(m_self, message);
    for (const std::string &address : addresses) {
        try {
            m_socket.send(Endpoint::parse(address), frame);
        } catch (const DocumentError &error) {
            if (m_rejectedAddresses.insert(address).second) {
                m_log.record(EventCode::MessageRejected, address, error.what());
            }
        }
    }
}

void FleetTransport::receive(std::string_view frame)
{
    try {
        const Envelope envelope = m_codec.decode(frame);
        m_handler(envelope.from, envelope.message);
    } catch (const DecodeError &error) {
        m_log.record(EventCode::MessageRejected, "datagram", error.what());
    }
}

}
