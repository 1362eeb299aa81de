#include "main/prometheusmetrics.h"

#include "config/activeconfig.h"
#include "node/node.h"
#include "node/requestoutcome.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace vanillaspar
{

namespace
{

using Buckets = prometheus::Histogram::BucketBoundaries;

const Buckets &secondBuckets()
{
    static const Buckets buckets {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
    return buckets;
}

std::string gauge(const std::string &name, const std::string &help, double value)
{
    return "# HELP " + name + " " + help + "\n# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) + "\n";
}

}

PrometheusMetrics::PrometheusMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_firstPiece(prometheus::BuildHistogram()
                       .Name("vanillaspar_first_piece_seconds")
                       .Help("Time from a request's arrival to its first piece")
                       .Register(*m_registry))
    , m_total(prometheus::BuildHistogram()
                  .Name("vanillaspar_request_seconds")
                  .Help("Time from a request's arrival to its end")
                  .Register(*m_registry))
    , m_loadWait(prometheus::BuildHistogram()
                     .Name("vanillaspar_load_wait_seconds")
                     .Help("Time that a request waited for its adapter")
                     .Register(*m_registry))
    , m_requests(prometheus::BuildCounter()
                     .Name("vanillaspar_requests_total")
                     .Help("Requests by how they ended")
                     .Register(*m_registry))
    , m_tokens(prometheus::BuildCounter().Name("vanillaspar_tokens_total").Help("Tokens used").Register(*m_registry))
{
}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::record(const RequestOutcome &outcome)
{
    const std::map<std::string, std::string> labels {{"team", outcome.team.text()}, {"class", outcome.priority}};
    std::map<std::string, std::string> ended = labels;
    ended["result"] = outcome.refusal ? std::string(refusalName(*outcome.refusal)) : "complete";
    m_requests.Add(ended).Increment();
    m_total.Add(labels, secondBuckets()).Observe(toSeconds(outcome.totalTime));
    m_tokens.Add(labels).Increment(static_cast<double>(outcome.used.value));
    if (!outcome.refusal) {
        m_firstPiece.Add(labels, secondBuckets()).Observe(toSeconds(outcome.timeToFirstPiece));
        m_loadWait.Add(labels, secondBuckets()).Observe(toSeconds(outcome.loadWait));
    }
}

std::string PrometheusMetrics::page(const Node &node) const
{
    const prometheus::TextSerializer serializer;
    std::string page = serializer.Serialize(m_registry->Collect());
    const ConfigVersion version = node.config() == nullptr ? ConfigVersion(0) : node.config()->version();
    page += gauge("vanillaspar_config_version", "Version of the configuration in force",
                  static_cast<double>(version.value));
    page += gauge("vanillaspar_owned_replicas", "Replicas that this node owns",
                  static_cast<double>(node.owners().size()));
    page += gauge("vanillaspar_platform_calls", "Calls of the object API since the start",
                  static_cast<double>(node.objects().callCount()));
    page += gauge("vanillaspar_platform_reachable", "Whether the object API answered last",
                  node.objects().isReachable() ? 1 : 0);
    return page;
}

}
