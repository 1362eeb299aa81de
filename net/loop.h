#pragma once

#include "core/clock.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <libwebsockets.h>
#include <list>
#include <string>

namespace vanillaspar
{

/** The one event loop of a process, on libwebsockets' own poll loop. Also the source of its time. */
class Loop : public Clock
{
public:
    /** Below the 4,096 that a small host's process may open. */
    static constexpr size_t defaultMaxDescriptors = 3800;

    /**
     * @param maxDescriptors descriptors that the loop may watch; fewer if the process may open fewer.
     * @throws ResourceError if libwebsockets can't be set up.
     */
    explicit Loop(size_t maxDescriptors = defaultMaxDescriptors);
    ~Loop() override;
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    Millis now() const override;
    Millis wallNow() const override;

    /** Calls @p action every @p interval until the loop ends. */
    void every(Millis interval, std::function<void()> action);
    /** Runs until stop(). */
    void run();
    void stop();
    /** Makes SIGTERM and SIGINT call @p action from the loop. */
    void onTerminate(std::function<void()> action);
    /** Makes SIGHUP call @p action from the loop. */
    void onReload(std::function<void()> action);

    /** @return how many descriptors the loop may watch. */
    size_t maxDescriptors() const
    {
        return m_maxDescriptors - ownDescriptors;
    }
    /** @return how many more descriptors the loop can watch now. */
    size_t freeDescriptors() const
    {
        return maxDescriptors() - std::min(maxDescriptors(), m_watchedDescriptors);
    }
    /** Counts a descriptor that is watched from now on. */
    void countWatched()
    {
        ++m_watchedDescriptors;
    }
    /** Counts a descriptor that is watched no more. */
    void countClosed()
    {
        --m_watchedDescriptors;
    }

    lws_context *context() const
    {
        return m_context;
    }

    /** Name of the protocol under which plain descriptors are watched. */
    static constexpr const char *descriptorProtocol = "descriptor";
    /**
     * @return the virtual host for plain descriptors, made at the first call.
     * @throws ResourceError if libwebsockets can't make it.
     */
    lws_vhost *descriptorHost();

private:
    struct Timer;
    /** What libwebsockets keeps; it leads back to the timer. */
    struct TimerEntry
    {
        lws_sorted_usec_list_t entry {};
        Timer *timer = nullptr;
    };
    struct Timer
    {
        TimerEntry link;
        Loop *loop = nullptr;
        Millis interval;
        std::function<void()> action;
    };

    static void onTimer(lws_sorted_usec_list_t *entry);

    static constexpr size_t ownDescriptors = 8; // of libwebsockets itself

    size_t m_maxDescriptors;
    size_t m_watchedDescriptors = 0;
    lws_context *m_context = nullptr;
    lws_vhost *m_descriptorHost = nullptr;
    lws_protocols m_descriptorProtocols[2] {};
    std::list<Timer> m_timers;
    bool m_isStopped = false;
};

}
