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
    m_socket.send(Endpoint::parse(address), m_codec.encode(m_self, message));
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
