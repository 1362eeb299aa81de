#include "serving/queueing/stopgate.h"

#include "core/refusal.h"
#include "serving/admission/admission.h"
#include "serving/queueing/activerequest.h"

namespace vanillaspar::serving
{

namespace
{

constexpr Millis stoppingRetry(50); // callers switch to another host at once
constexpr size_t maxRoutes = 4096;

}

void StopGate::close(Millis now, Millis grace)
{
    m_schedule.emplace(now, grace);
}

void StopGate::onServed(const ActiveRequest &active, Millis now)
{
    if (m_durations.size() >= maxRoutes && m_durations.count(active.route) == 0) {
        m_durations.clear(); // routes come and go
    }
    m_durations[active.route].observe(now - active.request.receivedAt, now);
}

std::optional<Refusal> StopGate::check(const ClientRequest &request, const Admitted &admitted, Millis now) const
{
    if (!m_schedule) {
        return std::nullopt;
    }
    const Millis limit = timeLimitOf(request, *admitted.route);
    const auto observed = m_durations.find(admitted.route->name);
    const Millis usual = observed == m_durations.end() ? Millis(0) : observed->second.value(now);
    if (m_schedule->takes(limit, usual, now)) {
        return std::nullopt;
    }
    return Refusal {RefusalCode::ShuttingDown, RunState::NotRun, stoppingRetry,
                    "this host is stopping and may end before a response that can take " + std::to_string(limit.value)
                        + " ms"};
}

}
