#pragma once

#include "serving/interfaces/requestmetrics.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

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

/** Metrics of an entry host: histograms and counters for each team and route, refusals by reason, gauges. */
class EntryMetrics : public serving::RequestMetrics
{
public:
    EntryMetrics();
    ~EntryMetrics() override;

    void onServed(const serving::ActiveRequest &active, Millis now) override;
    void onRefused(RefusalCode code) override;
    void onFailed(const serving::ActiveRequest &active) override;
    void onRetried(const serving::ActiveRequest &active) override;
    void onCallerLeft(const serving::ActiveRequest &active) override;
    void onReplicaPaused() override;
    void onReplicaSaidLeaving() override;

    /** @return the page that a scraper reads. */
    std::string page(const std::vector<std::pair<std::string, double>> &gauges) const;

private:
    void count(const serving::ActiveRequest &active, const char *result);

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Histogram> &m_firstEvent;
    prometheus::Family<prometheus::Histogram> &m_total;
    prometheus::Family<prometheus::Histogram> &m_queued;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_notices;
};

}
