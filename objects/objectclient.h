#pragma once

#include "core/units.h"
#include "objects/objectreply.h"

#include <functional>
#include <map>
#include <string>

namespace vanillaspar
{

class Clock;
class ObjectApi;
struct ObjectCall;

/**
 * Client of the object API that passes each reply to the handler of its call and times out calls without a reply.
 *
 * Records the time of the last reply, which shows whether the platform is reachable.
 */
class ObjectClient
{
public:
    using Handler = std::function<void(const ObjectReply &)>;

    /**
     * @param api connection to the store; must outlive this object.
     * @param clock source of the current time; must outlive this object.
     */
    ObjectClient(ObjectApi &api, const Clock &clock);

    /** Default timeout of get(). */
    static constexpr Millis readTimeout {1500};

    /** Reads the object at @p path and passes the reply to @p handler, within @p timeout. */
    void get(const std::string &path, Handler handler, Millis timeout = readTimeout);
    /** Waits until the version of the object at @p path is above @p seen; @p handler gets the reply. */
    void watch(const std::string &path, ObjectVersion seen, Handler handler);
    /** Writes @p value to @p path if the version there is still @p expected; @p handler gets the reply. */
    void put(const std::string &path, ObjectVersion expected, const std::string &value, Handler handler);

    /** Passes a reply to its handler. A reply without a pending call is ignored. */
    void onReply(const ObjectReply &reply);
    /** Ends calls whose timeout has passed with ObjectReply::Status::Unreachable. To be called periodically. */
    void tick();
    /** Drops all pending calls without calling their handlers. */
    void clear();

    /** @return whether the last completed call got a reply from the platform; true before the first one. */
    bool isReachable() const
    {
        return m_isReachable;
    }
    /** @return time of the last reply; 0 if there was none. */
    Millis answeredAt() const
    {
        return m_answeredAt;
    }
    /** @return number of calls sent so far; a watch counts as one. */
    uint64_t callCount() const
    {
        return m_callCount;
    }

private:
    struct PendingCall
    {
        Handler handler;
        Millis deadline;
    };

    void submit(ObjectCall call, Millis timeout, Handler handler);

    ObjectApi &m_api;
    const Clock &m_clock;
    std::map<uint64_t, PendingCall> m_pending;
    uint64_t m_nextId = 1;
    uint64_t m_callCount = 0;
    bool m_isReachable = true;
    Millis m_answeredAt;
};

}
