#include "tests/fakes/retryfleet.h"

#include "tests/fakes/dispatchfixture.h"

#include <algorithm>
#include <set>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis step(10); // between two arrivals of requests or answers
constexpr double millisPerSecond = 1000;
constexpr int statusUnavailable = 503;
constexpr int statusOk = 200;

}

/** One incarnation of a host. */
struct RetryFleet::Host : public DispatchFixture
{
    Host(uint64_t seed, const RetryLimits &limits, Millis now) : DispatchFixture(seed)
    {
        startDispatch(Millis(1000000));
        m_dispatcher.setRetryLimits({limits.ratio, 0, limits.window}); // drops what the fixture has earned
        // Replicas that never count as full, so that every attempt reaches one.
        for (const std::string id : {"s1", "s2"}) {
            Backend backend = makeBackend(id, "desk");
            backend.slots = 10000;
            m_backends.upsert(backend, now);
        }
        setNow(now);
        m_dispatcher.setRetryLimits(limits);
    }
    void setNow(Millis now)
    {
        m_clock.setNow(now);
    }
    void tick()
    {
        m_dispatcher.tick();
    }
    void request(uint64_t exchange)
    {
        m_dispatcher.onRequest(makeRequest(exchange, "/l/x", {}, m_clock.now()));
    }
    /** Answers one attempt. */
    void answer(uint64_t attempt, bool isRejected)
    {
        HttpHead head;
        head.status = isRejected ? statusUnavailable : statusOk;
        m_dispatcher.onAttemptHead(attempt, {head, !isRejected, isRejected, false, false});
        m_dispatcher.onAttemptEnd(attempt, UpstreamEnd::Complete);
    }
    std::vector<FakeAttempts::Sent> takeSent()
    {
        return std::exchange(m_attempts.sent, {});
    }
    int64_t servedCount() const
    {
        return std::count_if(m_callers.answers.begin(), m_callers.answers.end(), [](const auto &entry) {
            return entry.second.isFinished;
        });
    }

    std::set<uint64_t> arrivedExchanges; ///< Requests of which an attempt has arrived.
};

RetryFleet::RetryFleet(size_t hosts, const RetryLimits &limits, uint64_t seed)
    : m_limits(limits), m_random(seed), m_now(20000)
{
    m_hosts.resize(hosts);
    restartAll();
}

RetryFleet::~RetryFleet() = default;

void RetryFleet::restart(size_t host)
{
    if (m_hosts[host] != nullptr) {
        m_servedBefore += m_hosts[host]->servedCount();
    }
    m_hosts[host]
        = std::make_unique<Host>(m_random.next(), m_limits.shareOf(static_cast<int64_t>(m_hosts.size())), m_now);
}

void RetryFleet::restartAll()
{
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        restart(i);
    }
}

void RetryFleet::answerAttempts(Host &host)
{
    for (const FakeAttempts::Sent &sent : host.takeSent()) {
        if (!host.arrivedExchanges.insert(sent.exchange).second) {
            m_retries.push_back(m_now);
        }
        host.answer(sent.attempt, m_random.unit() < m_rejectedShare);
    }
}

void RetryFleet::play(Millis duration, double requestsPerSecond)
{
    const Millis end = m_now + duration;
    while (m_now < end) {
        m_now = m_now + step;
        m_dueRequests += requestsPerSecond * static_cast<double>(step.value) / millisPerSecond;
        for (const auto &host : m_hosts) {
            host->setNow(m_now);
        }
        while (m_dueRequests >= 1) {
            m_dueRequests -= 1;
            m_requests.push_back(m_now);
            m_hosts[m_random.below(m_hosts.size())]->request(m_nextExchange++);
        }
        for (const auto &host : m_hosts) {
            answerAttempts(*host);
            host->tick();
        }
    }
}

int64_t RetryFleet::countBetween(const std::vector<Millis> &times, Millis from, Millis to)
{
    return std::upper_bound(times.begin(), times.end(), to) - std::upper_bound(times.begin(), times.end(), from);
}

double RetryFleet::worstExcess() const
{
    double worst = -m_limits.allowance;
    const Millis window = m_limits.window;
    for (const Millis end : m_retries) {
        // Requests count in the window itself, in the one before it or in the one half a window before it.
        const int64_t requests = std::max({countBetween(m_requests, end - window, end),
                                           countBetween(m_requests, end - window * 1.5, end - window / 2),
                                           countBetween(m_requests, end - window * 2, end - window)});
        const auto retries = static_cast<double>(countBetween(m_retries, end - window, end));
        worst = std::max(worst, retries - m_limits.ratio * static_cast<double>(requests) - m_limits.allowance);
    }
    return worst;
}

int64_t RetryFleet::servedCount() const
{
    int64_t served = m_servedBefore;
    for (const auto &host : m_hosts) {
        served += host->servedCount();
    }
    return served;
}

}
