#include "main/entrymetrics.h"

#include "serving/queueing/activerequest.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace vanillaspar
{

namespace
{

const prometheus::Histogram::BucketBoundaries &secondBuckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets {0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};
    return buckets;
}

const char *kindName(serving::RequestKind kind)
{
    switch (kind) {
    case serving::RequestKind::Idempotent:
        return "idempotent";
    case serving::RequestKind::NonIdempotent:
        return "non-idempotent";
    case serving::RequestKind::Stream:
        break;
    }
    return "stream";
}

/** Teams and kinds are few; routes come and go by hundreds, so they are no label. */
std::map<std::string, std::string> labelsOf(const serving::ActiveRequest &active)
{
    return {{"team", active.team ? active.team->text() : "none"}, {"kind", kindName(active.kind)}};
}

}

EntryMetrics::EntryMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_firstEvent(prometheus::BuildHistogram()
                       .Name("vanillaspar_first_event_seconds")
                       .Help("Time from a request's arrival to the start of its answer")
                       .Register(*m_registry))
    , m_total(prometheus::BuildHistogram()
                  .Name("vanillaspar_answer_seconds")
                  .Help("Time from a request's arrival to the end of its answer")
                  .Register(*m_registry))
    , m_queued(prometheus::BuildHistogram()
                   .Name("vanillaspar_queued_seconds")
                   .Help("Time that an answered request waited here for a replica or an adapter")
                   .Register(*m_registry))
    , m_requests(prometheus::BuildCounter()
                     .Name("vanillaspar_requests_total")
                     .Help("Admitted requests by how they ended")
                     .Register(*m_registry))
    , m_refusals(prometheus::BuildCounter()
                     .Name("vanillaspar_refusals_total")
                     .Help("Refusals of this system's own, by reason")
                     .Register(*m_registry))
    , m_retries(prometheus::BuildCounter()
                    .Name("vanillaspar_retries_total")
                    .Help("Requests that were sent to a replica once more")
                    .Register(*m_registry))
    , m_notices(prometheus::BuildCounter()
                    .Name("vanillaspar_replica_notices_total")
                    .Help("Notices in replicas' answers: pauses that they ask for, and that they are leaving")
                    .Register(*m_registry))
{
}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::count(const serving::ActiveRequest &active, const char *result)
{
    std::map<std::string, std::string> labels = labelsOf(active);
    labels["result"] = result;
    m_requests.Add(labels).Increment();
}

void EntryMetrics::onServed(const serving::ActiveRequest &active, Millis now)
{
    count(active, active.answeredAt > active.lateAfter ? "late" : "in-time");
    const std::map<std::string, std::string> labels = labelsOf(active);
    m_firstEvent.Add(labels, secondBuckets()).Observe(toSeconds(active.answeredAt - active.request.receivedAt));
    m_total.Add(labels, secondBuckets()).Observe(toSeconds(now - active.request.receivedAt));
    m_queued.Add(labels, secondBuckets()).Observe(toSeconds(active.sentAt - active.request.receivedAt));
}

void EntryMetrics::onRefused(RefusalCode code)
{
    m_refusals.Add({{"reason", std::string(refusalName(code))}}).Increment();
}

void EntryMetrics::onFailed(const serving::ActiveRequest &active)
{
    count(active, "failed");
}

void EntryMetrics::onRetried(const serving::ActiveRequest &active)
{
    m_retries.Add({{"kind", kindName(active.kind)}}).Increment();
}

void EntryMetrics::onReplicaPaused()
{
    m_notices.Add({{"notice", "pause"}}).Increment();
}

void EntryMetrics::onReplicaSaidLeaving()
{
    m_notices.Add({{"notice", "leaving"}}).Increment();
}

void EntryMetrics::onCallerLeft(const serving::ActiveRequest &active)
{
    count(active, "caller-left");
}

std::string EntryMetrics::page(const std::vector<std::pair<std::string, double>> &gauges) const
{
    std::string page = prometheus::TextSerializer().Serialize(m_registry->Collect());
    for (const auto &[name, value] : gauges) {
        page += "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) + "\n";
    }
    return page;
}

}
