#include "serving/replicas/replicanotices.h"

#include "core/clock.h"
#include "core/eventlog.h"
#include "serving/interfaces/requestmetrics.h"
#include "serving/replicas/backendtable.h"

namespace vanillaspar::serving
{

namespace
{

constexpr Millis unreadableLogInterval(1000); // a faulty replica may send such a value with every answer

}

ReplicaNotices::ReplicaNotices(const Clock &clock, BackendTable &backends, EventLog &log, RequestMetrics &metrics)
    : m_clock(clock), m_backends(backends), m_log(log), m_metrics(metrics)
{
}

void ReplicaNotices::onReplicaNotice(const ReplicaId &replica, int64_t incarnation, const ReplicaNotice &notice)
{
    const Millis now = m_clock.now();
    BackendState *state = m_backends.find(replica);
    if (state == nullptr || state->info.residency.incarnation != incarnation) {
        return;
    }
    if (notice.isLeaving && !state->hasSaidLeaving) {
        m_backends.onSaidLeaving(*state, now);
        m_metrics.onReplicaSaidLeaving();
        m_log.record(EventCode::ReplicaLeaving, replica.text(), "it says so in an answer");
    }
    if (notice.pause) {
        const bool wasActive = state->pause.isActive(now);
        state->pause.extend(*notice.pause, now);
        if (!wasActive && state->pause.isActive(now)) {
            m_metrics.onReplicaPaused();
            m_log.record(EventCode::ReplicaPaused, replica.text(),
                         "it asks for nothing for " + std::to_string(notice.pause->value) + " ms");
        }
    }
    if (!notice.unreadablePause.empty() && now - m_unreadableLoggedAt >= unreadableLogInterval) {
        m_unreadableLoggedAt = now;
        m_log.record(EventCode::ReplicaPaused, replica.text(),
                     "its Retry-After \"" + notice.unreadablePause + "\" is no number of seconds and is ignored");
    }
}

}
