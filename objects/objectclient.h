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
 * Matches replies of the object API to their calls and ends calls that stay without one.
 *
 * Keeps the time of the last answer, which tells whether the platform can be reached.
 */
class ObjectClient
{
public:
    using Handler = std::function<void(const ObjectReply &)>;

    ObjectClient(ObjectApi &api, const Clock &clock);

    /** How long a read waits by default. */
    static constexpr Millis readTimeout {1500};

    /** Reads @p path. */
    void get(const std::string &path, Handler handler, Millis timeout = readTimeout);
    /** Waits until the version of @p path is above @p seen. */
    void watch(const std::string &path, ObjectVersion seen, Handler handler);
    /** Writes @p path if its version is still @p expected. */
    void put(const std::string &path, ObjectVersion expected, const std::string &value, Handler handler);

    /** Takes a reply; one that nobody waits for is dropped. */
    void onReply(const ObjectReply &reply);
    /** Ends calls that got no reply in time with ObjectReply::Status::Unreachable. */
    void tick();
    /** Forgets every call without calling its handler. */
    void clear();

    /** @return whether the last calls were answered. */
    bool isReachable() const
    {
        return m_isReachable;
    }
    /** @return when the platform last answered; the start of the clock if it never did. */
    Millis answeredAt() const
    {
        return m_answeredAt;
    }
    /** @return calls sent so far, a watch counted as one. */
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
