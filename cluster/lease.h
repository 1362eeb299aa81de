#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <string>

namespace vanillaspar
{

class Clock;
class ObjectClient;
struct NodeSettings;
struct ObjectReply;

/**
 * This node's lease on the platform.
 *
 * The lease counts from before the renewal was sent. A renewal that the platform doesn't answer goes through a peer
 * next time. When another node has fenced the lease, this incarnation has lost its authority.
 */
class Lease
{
public:
    /** Called once when the lease was fenced by another node. */
    using FencedHandler = std::function<void()>;

    /**
     * @param direct calls the platform.
     * @param relayed calls the platform through a peer.
     */
    Lease(const NodeSettings &settings, const Clock &clock, ObjectClient &direct, ObjectClient &relayed,
          FencedHandler onFenced);

    /** Takes the lease for a new incarnation of this host. */
    void acquire(const Incarnation &incarnation);
    /** Renews when due. */
    void tick();
    /** Stops renewing, for a graceful shutdown. */
    void stop();

    /** @return whether this incarnation got its lease. */
    bool isHeld() const
    {
        return m_isHeld;
    }
    /** @return end of the long lease; authority ends with it. */
    Millis longLeaseEnd() const;

    /** @return the path of a host's lease object. */
    static std::string pathOf(const HostId &host);
    /** @return the text of a lease object. */
    static std::string textOf(const Incarnation &incarnation, uint64_t sequence, bool isFenced);

private:
    ObjectClient &client();
    void read();
    void onRead(const ObjectReply &reply);
    void write();
    void onWritten(const ObjectReply &reply, Millis sentAt);
    void onRenewed(ObjectVersion version, Millis sentAt);
    void retryLater();
    void loseLease();

    const NodeSettings &m_settings;
    const Clock &m_clock;
    ObjectClient &m_direct;
    ObjectClient &m_relayed;
    FencedHandler m_onFenced;
    Incarnation m_incarnation;
    uint64_t m_generation = 0; // replies for an earlier incarnation are told by it
    uint64_t m_sequence = 0;
    ObjectVersion m_version;
    bool m_isHeld = false;
    bool m_isRenewing = false;
    bool m_isBusy = false;
    bool m_isReadNeeded = true;
    bool m_usesRelay = false;
    Millis m_termStart;
    Millis m_nextAt;
};

}
