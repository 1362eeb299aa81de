#pragma once

#include "node/metricsink.h"

#include <map>
#include <memory>
#include <string>

namespace prometheus
{
class Counter;
class Histogram;
class Registry;
template<typename T>
class Family;
}

namespace vanillaspar
{

class Node;

/** Metrics of one node: histograms for each team and class, and the node's gauges. */
class PrometheusMetrics : public MetricSink
{
public:
    PrometheusMetrics();
    ~PrometheusMetrics() override;

    void record(const RequestOutcome &outcome) override;
    /** @return the page that a scraper reads. */
    std::string page(const Node &node) const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Histogram> &m_firstPiece;
    prometheus::Family<prometheus::Histogram> &m_total;
    prometheus::Family<prometheus::Histogram> &m_loadWait;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_tokens;
};

}
