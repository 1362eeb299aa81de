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
 * Acquires and renews this host's lease, an object on the platform.
 *
 * The term of a renewal starts when the request is sent, not when the reply arrives, so that this host never assumes a
 * later end than the others. If the platform doesn't answer, the next attempt goes through another host (relay), and
 * attempts alternate between both ways until one succeeds. Another host fences the lease by marking the object; this
 * incarnation then must not act as a member any more.
 */
class Lease
{
public:
    /** Called once when another host has fenced or replaced this incarnation's lease. */
    using FencedHandler = std::function<void()>;

    /**
     * @param direct calls the platform directly.
     * @param relayed calls the platform through another host.
     * @param onFenced called when the lease is lost.
     */
    Lease(const NodeSettings &settings, const Clock &clock, ObjectClient &direct, ObjectClient &relayed,
          FencedHandler onFenced);

    /** Starts to acquire the lease for a new incarnation of this host; isHeld() tells when it succeeded. */
    void acquire(const Incarnation &incarnation);
    /** Sends the next read or renewal when it is due. */
    void tick();
    /** Stops renewing for a graceful shutdown. The lease then runs out. */
    void stop();

    /** @return whether this incarnation has acquired its lease and it was not fenced since, as far as known. */
    bool isHeld() const
    {
        return m_isHeld;
    }
    /** @return when the long lease ends without another renewal; from then on this host must not act as a member. */
    Millis longLeaseEnd() const;

    /** @return the path of @p host's lease object on the platform. */
    static std::string pathOf(const HostId &host);
    /**
     * @param sequence number of the renewal; makes every write change the object.
     * @param isFenced whether another host revokes the lease by this write.
     * @return the content of a lease object as JSON.
     */
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
    uint64_t m_generation = 0; // counts acquire() and stop(), so that replies to earlier requests are ignored
    uint64_t m_sequence = 0;
    ObjectVersion m_version;
    bool m_isHeld = false;
    bool m_isRenewing = false;
    bool m_isBusy = false; // whether a request is pending
    bool m_isReadNeeded = true;
    bool m_usesRelay = false;
    Millis m_termStart; // when the last successful renewal was sent
    Millis m_nextAt;
};

}
