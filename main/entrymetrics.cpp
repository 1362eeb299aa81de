#include "main/entrymetrics.h"

#include "serving/flow.h"

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
std::map<std::string, std::string> labelsOf(const serving::Flow &flow)
{
    return {{"team", flow.team ? flow.team->text() : "none"}, {"kind", kindName(flow.kind)}};
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
{
}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::count(const serving::Flow &flow, const char *result)
{
    std::map<std::string, std::string> labels = labelsOf(flow);
    labels["result"] = result;
    m_requests.Add(labels).Increment();
}

void EntryMetrics::onServed(const serving::Flow &flow, Millis now)
{
    count(flow, flow.answeredAt > flow.objectiveAt ? "late" : "in-time");
    const std::map<std::string, std::string> labels = labelsOf(flow);
    m_firstEvent.Add(labels, secondBuckets()).Observe(toSeconds(flow.answeredAt - flow.request.receivedAt));
    m_total.Add(labels, secondBuckets()).Observe(toSeconds(now - flow.request.receivedAt));
    m_queued.Add(labels, secondBuckets()).Observe(toSeconds(flow.sentAt - flow.request.receivedAt));
}

void EntryMetrics::onRefused(RefusalCode code)
{
    m_refusals.Add({{"reason", std::string(refusalName(code))}}).Increment();
}

void EntryMetrics::onFailed(const serving::Flow &flow)
{
    count(flow, "failed");
}

void EntryMetrics::onRetried(const serving::Flow &flow)
{
    m_retries.Add({{"kind", kindName(flow.kind)}}).Increment();
}

void EntryMetrics::onCallerLeft(const serving::Flow &flow)
{
    count(flow, "caller-left");
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
