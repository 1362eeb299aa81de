#include "objects/objectclient.h"

#include "core/clock.h"
#include "objects/objectapi.h"
#include "objects/objectcall.h"

#include <vector>

namespace vanillaspar
{

namespace
{

constexpr Millis writeTimeout(1500);
constexpr Millis watchTimeout(4000); // the platform holds a watch for up to 2 s

}

ObjectClient::ObjectClient(ObjectApi &api, const Clock &clock) : m_api(api), m_clock(clock)
{
}

void ObjectClient::get(const std::string &path, Handler handler, Millis timeout)
{
    submit({0, ObjectCall::Kind::Get, path, {}, {}}, timeout, std::move(handler));
}

void ObjectClient::watch(const std::string &path, ObjectVersion seen, Handler handler)
{
    submit({0, ObjectCall::Kind::Watch, path, seen, {}}, watchTimeout, std::move(handler));
}

void ObjectClient::put(const std::string &path, ObjectVersion expected, const std::string &value, Handler handler)
{
    submit({0, ObjectCall::Kind::Put, path, expected, value}, writeTimeout, std::move(handler));
}

void ObjectClient::submit(ObjectCall call, Millis timeout, Handler handler)
{
    call.id = m_nextId++;
    ++m_callCount;
    m_pending[call.id] = {std::move(handler), m_clock.now() + timeout};
    m_api.submit(call);
}

void ObjectClient::onReply(const ObjectReply &reply)
{
    const auto pending = m_pending.find(reply.id);
    if (pending == m_pending.end()) {
        return;
    }
    m_isReachable = reply.status != ObjectReply::Status::Unreachable;
    m_answeredAt = m_isReachable ? m_clock.now() : m_answeredAt;
    const Handler handler = std::move(pending->second.handler);
    m_pending.erase(pending);
    handler(reply);
}

void ObjectClient::tick()
{
    std::vector<uint64_t> overdue;
    for (const auto &[id, pending] : m_pending) {
        if (pending.deadline <= m_clock.now()) {
            overdue.push_back(id);
        }
    }
    for (uint64_t id : overdue) {
        onReply({id, ObjectReply::Status::Unreachable, {}, {}});
    }
}

void ObjectClient::clear()
{
    m_pending.clear();
}

}
