#include "net/loop.h"

#include "core/error.h"
#include "net/descriptorwatch.h"
#include "net/processsignals.h"

#include <algorithm>
#include <chrono>
#include <sys/resource.h>

namespace vanillaspar
{

namespace
{

constexpr unsigned int exchangeTimeout = 600; // seconds, beyond the longest deadline
constexpr size_t descriptorsForFiles = 200; // of those that a process may open
constexpr int64_t microsPerMilli = 1000;
constexpr Millis signalPoll(50);

/** @return how many sockets the process may have open. */
size_t openableSockets()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return Loop::defaultMaxDescriptors;
    }
    return std::max<size_t>(limit.rlim_cur, 2 * descriptorsForFiles) - descriptorsForFiles;
}

}

Loop::Loop(size_t maxDescriptors) : m_maxDescriptors(std::min(maxDescriptors, openableSockets()))
{
    lws_set_log_level(0, nullptr);
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.timeout_secs = exchangeTimeout;
    info.fd_limit_per_thread = static_cast<unsigned int>(m_maxDescriptors);
    info.gid = static_cast<gid_t>(-1);
    info.uid = static_cast<uid_t>(-1);
    m_context = lws_create_context(&info);
    if (m_context == nullptr) {
        throw ResourceError("libwebsockets can't create a context");
    }
}

Loop::~Loop()
{
    lws_context_destroy(m_context);
}

Millis Loop::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count());
}

Millis Loop::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

void Loop::onTimer(lws_sorted_usec_list_t *entry)
{
    Timer *timer = lws_container_of(entry, TimerEntry, entry)->timer;
    lws_sul_schedule(timer->loop->m_context, 0, &timer->link.entry, onTimer, timer->interval.value * microsPerMilli);
    timer->action();
}

void Loop::every(Millis interval, std::function<void()> action)
{
    Timer &timer = m_timers.emplace_back();
    timer.link.timer = &timer;
    timer.loop = this;
    timer.interval = interval;
    timer.action = std::move(action);
    lws_sul_schedule(m_context, 0, &timer.link.entry, onTimer, interval.value * microsPerMilli);
}

void Loop::run()
{
    while (!m_isStopped && lws_service(m_context, 0) >= 0) {
    }
}

void Loop::stop()
{
    m_isStopped = true;
    lws_cancel_service(m_context);
}

void Loop::onTerminate(std::function<void()> action)
{
    ProcessSignals::handleTerminate();
    every(signalPoll, [action = std::move(action)] {
        if (ProcessSignals::takeTerminate()) {
            action();
        }
    });
}

void Loop::onReload(std::function<void()> action)
{
    ProcessSignals::handleReload();
    every(signalPoll, [action = std::move(action)] {
        if (ProcessSignals::takeReload()) {
            action();
        }
    });
}

lws_vhost *Loop::descriptorHost()
{
    if (m_descriptorHost == nullptr) {
        m_descriptorProtocols[0].name = descriptorProtocol;
        m_descriptorProtocols[0].callback = DescriptorWatch::callback;
        lws_context_creation_info info {};
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = m_descriptorProtocols;
        info.vhost_name = descriptorProtocol;
        info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
        m_descriptorHost = lws_create_vhost(m_context, &info);
        if (m_descriptorHost == nullptr) {
            throw ResourceError("libwebsockets can't make a virtual host for descriptors");
        }
    }
    return m_descriptorHost;
}

}
