#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"

namespace vanillaspar::serving
{

struct ActiveRequest;

/** Where the serving core counts how requests fare. */
class RequestMetrics
{
public:
    virtual ~RequestMetrics() = default;

    /** A request was answered whole. */
    virtual void onServed(const ActiveRequest &active, Millis now) = 0;
    virtual void onRefused(RefusalCode code) = 0;
    /** A request was sent and came to no complete answer. */
    virtual void onFailed(const ActiveRequest &active) = 0;
    /** A request is sent once more. */
    virtual void onRetried(const ActiveRequest &active) = 0;
    virtual void onCallerLeft(const ActiveRequest &active) = 0;
};

}
