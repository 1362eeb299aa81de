#include "cluster/lease.h"

#include "core/clock.h"
#include "node/nodesettings.h"
#include "objects/objectclient.h"

#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

constexpr Millis retryDelay(500);

}

Lease::Lease(const NodeSettings &settings, const Clock &clock, ObjectClient &direct, ObjectClient &relayed,
             FencedHandler onFenced)
    : m_settings(settings), m_clock(clock), m_direct(direct), m_relayed(relayed), m_onFenced(std::move(onFenced))
{
}

std::string Lease::pathOf(const HostId &host)
{
    return "system/lease/" + host.text();
}

std::string Lease::textOf(const Incarnation &incarnation, uint64_t sequence, bool isFenced)
{
    return nlohmann::json {{"incarnation", incarnation.text()}, {"sequence", sequence}, {"fenced", isFenced}}.dump();
}

void Lease::acquire(const Incarnation &incarnation)
{
    m_incarnation = incarnation;
    ++m_generation;
    m_sequence = 0;
    m_isHeld = false;
    m_isRenewing = true;
    m_isBusy = false;
    m_isReadNeeded = true;
    m_nextAt = m_clock.now();
    tick();
}

void Lease::stop()
{
    m_isRenewing = false;
    ++m_generation;
}

Millis Lease::longLeaseEnd() const
{
    return m_termStart + m_settings.longLease;
}

ObjectClient &Lease::client()
{
    return m_usesRelay ? m_relayed : m_direct;
}

void Lease::tick()
{
    if (!m_isRenewing || m_isBusy || m_clock.now() < m_nextAt) {
        return;
    }
    m_isBusy = true;
    if (m_isReadNeeded) {
        read();
    } else {
        write();
    }
}

void Lease::read()
{
    client().get(pathOf(m_settings.host), [this, generation = m_generation](const ObjectReply &reply) {
        if (generation == m_generation) {
            onRead(reply);
        }
    });
}

void Lease::onRead(const ObjectReply &reply)
{
    m_isBusy = false;
    if (reply.status == ObjectReply::Status::Unreachable) {
        retryLater();
        return;
    }
    m_isReadNeeded = false;
    m_version = reply.version;
    if (reply.status != ObjectReply::Status::Ok) {
        m_version = ObjectVersion(0);
    } else if (m_sequence > 0) {
        const nlohmann::json lease = nlohmann::json::parse(reply.value, nullptr, false);
        const bool isMine = lease.is_object() && lease.value("incarnation", "") == m_incarnation.text();
        const bool isFenced = lease.is_object() && lease.value("fenced", false);
        if (!isMine && !m_isHeld) {
            // The lease was never acquired, so another incarnation's object doesn't revoke it. The next write is
            // conditional on the version just read, so only one of several competing incarnations succeeds.
        } else if (!isMine || isFenced) {
            loseLease();
            return;
        }
    }
    tick();
}

void Lease::write()
{
    ++m_sequence;
    const Millis sentAt = m_clock.now();
    client().put(pathOf(m_settings.host), m_version, textOf(m_incarnation, m_sequence, false),
                 [this, sentAt, generation = m_generation](const ObjectReply &reply) {
                     if (generation == m_generation) {
                         onWritten(reply, sentAt);
                     }
                 });
}

void Lease::onWritten(const ObjectReply &reply, Millis sentAt)
{
    m_isBusy = false;
    if (reply.status == ObjectReply::Status::Ok) {
        onRenewed(reply.version, sentAt);
        return;
    }
    // The write may still have taken effect, so the object is read before the next write.
    m_isReadNeeded = true;
    if (reply.status == ObjectReply::Status::Unreachable) {
        retryLater();
    } else {
        tick();
    }
}

void Lease::onRenewed(ObjectVersion version, Millis sentAt)
{
    m_version = version;
    m_termStart = sentAt;
    m_isHeld = true;
    m_usesRelay = false;
    m_nextAt = sentAt + m_settings.renewInterval;
}

void Lease::retryLater()
{
    m_usesRelay = !m_usesRelay;
    m_nextAt = m_clock.now() + retryDelay;
}

void Lease::loseLease()
{
    m_isRenewing = false;
    m_isHeld = false;
    m_onFenced();
}

}
