#include "node/intentkeeper.h"

#include "core/clock.h"
#include "node/nodesettings.h"
#include "objects/objectclient.h"

#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

constexpr Millis retryDelay(300);
constexpr Millis batchDelay(100); // collects the intents of several replicas into one write

}

IntentKeeper::IntentKeeper(const NodeSettings &settings, const Clock &clock, ObjectClient &objects)
    : m_settings(settings), m_clock(clock), m_objects(objects)
{
}

std::string IntentKeeper::pathOf(const HostId &host)
{
    return "system/intents/" + host.text();
}

void IntentKeeper::setIncarnation(const Incarnation &incarnation)
{
    m_incarnation = incarnation;
    ++m_generation;
    m_recorded.clear();
    m_desired.clear();
    m_isRequestPending = false;
    m_isVersionKnown = false;
    m_isDirty = false;
}

bool IntentKeeper::isRecorded(const ReplicaId &replica, const AdapterRef &adapter) const
{
    const auto recorded = m_recorded.find(replica);
    return recorded != m_recorded.end() && recorded->second.count(adapter) > 0;
}

void IntentKeeper::add(const ReplicaId &replica, const AdapterRef &adapter)
{
    if (!m_desired[replica].insert(adapter).second) {
        return;
    }
    if (!m_isDirty) {
        m_nextWriteAt = std::max(m_nextWriteAt, m_clock.now() + batchDelay);
    }
    m_isDirty = true;
}

void IntentKeeper::forget(const ReplicaId &replica)
{
    if (m_desired.erase(replica) > 0) {
        m_isDirty = true;
    }
}

const std::set<AdapterRef> &IntentKeeper::intentsFor(const ReplicaId &replica) const
{
    static const std::set<AdapterRef> none;
    const auto desired = m_desired.find(replica);
    return desired == m_desired.end() ? none : desired->second;
}

void IntentKeeper::tick()
{
    if (m_clock.now() >= m_retryReadsAt) {
        std::vector<std::function<void()>> reads;
        reads.swap(m_readsToRetry);
        for (const std::function<void()> &read : reads) {
            read();
        }
    }
    if (!m_isDirty || m_isRequestPending || m_clock.now() < m_nextWriteAt) {
        return;
    }
    m_isRequestPending = true;
    if (m_isVersionKnown) {
        write();
    } else {
        readVersion();
    }
}

void IntentKeeper::readVersion()
{
    m_objects.get(pathOf(m_settings.host), [this, generation = m_generation](const ObjectReply &reply) {
        if (generation != m_generation) {
            return;
        }
        m_isRequestPending = false;
        if (reply.status == ObjectReply::Status::Unreachable) {
            m_nextWriteAt = m_clock.now() + retryDelay;
            return;
        }
        m_version = reply.status == ObjectReply::Status::Ok ? reply.version : ObjectVersion(0);
        m_isVersionKnown = true;
    });
}

void IntentKeeper::write()
{
    nlohmann::json json {{"incarnation", m_incarnation.text()}, {"replicas", nlohmann::json::object()}};
    for (const auto &[replica, adapters] : m_desired) {
        for (const AdapterRef &adapter : adapters) {
            json["replicas"][replica.text()].push_back(adapter.text());
        }
    }
    m_isDirty = false;
    m_objects.put(pathOf(m_settings.host), m_version, json.dump(),
                  [this, written = m_desired, generation = m_generation](const ObjectReply &reply) {
                      if (generation != m_generation) {
                          return;
                      }
                      m_isRequestPending = false;
                      if (reply.status == ObjectReply::Status::Ok) {
                          m_version = reply.version;
                          m_recorded = written;
                          return;
                      }
                      m_isDirty = true;
                      m_isVersionKnown = false;
                      m_nextWriteAt = m_clock.now() + retryDelay;
                  });
}

void IntentKeeper::read(const HostId &host, const Incarnation &incarnation, const ReplicaId &replica,
                        const ReadHandler &handler)
{
    m_objects.get(pathOf(host), [=, this](const ObjectReply &reply) {
        if (reply.status == ObjectReply::Status::Unreachable) {
            m_readsToRetry.push_back([=, this] {
                read(host, incarnation, replica, handler);
            });
            m_retryReadsAt = m_clock.now() + retryDelay;
            return;
        }
        std::set<AdapterRef> adapters;
        const nlohmann::json json = nlohmann::json::parse(reply.value, nullptr, false);
        if (json.is_object() && json.value("incarnation", "") == incarnation.text()) {
            for (const std::string &adapter : json["replicas"].value(replica.text(), std::vector<std::string>())) {
                adapters.insert(AdapterRef(adapter));
            }
        }
        handler(adapters);
    });
}

}
