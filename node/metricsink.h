#pragma once

namespace vanillaspar
{

struct RequestOutcome;

/** Receives the outcome of every request, for metrics. */
class MetricSink
{
public:
    virtual ~MetricSink() = default;

    virtual void record(const RequestOutcome &outcome) = 0;
};

}
