#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"

namespace vanillaspar::serving
{

struct ActiveRequest;

/** Receives the outcome of every request, for metrics. */
class RequestMetrics
{
public:
    virtual ~RequestMetrics() = default;

    /** The caller received a complete response. */
    virtual void onServed(const ActiveRequest &active, Millis now) = 0;
    /** A request was refused, before or after admission. */
    virtual void onRefused(RefusalCode code) = 0;
    /** A response that had started was aborted before it was complete. */
    virtual void onFailed(const ActiveRequest &active) = 0;
    /** A request is retried, at the same or at another replica. */
    virtual void onRetried(const ActiveRequest &active) = 0;
    /** A replica asked this host to send it nothing for a time. */
    virtual void onReplicaPaused() = 0;
    /** A replica said in an answer that it is leaving. */
    virtual void onReplicaSaidLeaving() = 0;
    /** The caller disconnected before its response was complete. */
    virtual void onCallerLeft(const ActiveRequest &active) = 0;
};

}
