#include "policy/relativelatency.h"

#include "policy/latencyevidence.h"

#include <algorithm>
#include <cmath>

namespace vanillaspar
{

namespace
{

constexpr double priorWeight = 2; // observations that speak for the median
constexpr double minWeight = 0.5; // observations below which a replica doesn't count for the median
constexpr double minFactor = 0.25;
constexpr double maxFactor = 8; // leaves a slow replica a small share, by which its recovery is noticed

double medianOf(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

}

RelativeLatency RelativeLatency::compare(const std::vector<LatencyEvidence> &evidence, Millis now)
{
    std::vector<double> known;
    for (const LatencyEvidence &each : evidence) {
        if (each.weight(now) >= minWeight) {
            known.push_back(each.logRatio());
        }
    }
    const double median = medianOf(known);
    RelativeLatency result;
    result.level = std::exp(median);
    for (const LatencyEvidence &each : evidence) {
        const double weight = each.weight(now);
        const double difference = (each.logRatio() - median) * weight / (weight + priorWeight);
        result.factors.push_back(std::clamp(std::exp(difference), minFactor, maxFactor));
    }
    return result;
}

}
