#pragma once

#include "core/units.h"
#include "serving/interfaces/replicanotice.h"

namespace vanillaspar
{
class Clock;
class EventLog;
}

namespace vanillaspar::serving
{

class BackendTable;
class RequestMetrics;

/** Applies the notices of replicas to the table of backend servers. A notice of an earlier incarnation is ignored. */
class ReplicaNotices : public ReplicaNoticeListener
{
public:
    ReplicaNotices(const Clock &clock, BackendTable &backends, EventLog &log, RequestMetrics &metrics);

    void onReplicaNotice(const ReplicaId &replica, int64_t incarnation, const ReplicaNotice &notice) override;

private:
    const Clock &m_clock;
    BackendTable &m_backends;
    EventLog &m_log;
    RequestMetrics &m_metrics;
    Millis m_unreadableLoggedAt {INT64_MIN / 2};
};

}
