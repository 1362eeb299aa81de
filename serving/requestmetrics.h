#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"

namespace vanillaspar::serving
{

struct Flow;

/** Where the serving core counts how requests fare. */
class RequestMetrics
{
public:
    virtual ~RequestMetrics() = default;

    /** A request was answered whole. */
    virtual void onServed(const Flow &flow, Millis now) = 0;
    virtual void onRefused(RefusalCode code) = 0;
    /** A request was sent and came to no complete answer. */
    virtual void onFailed(const Flow &flow) = 0;
    /** A request is sent once more. */
    virtual void onRetried(const Flow &flow) = 0;
    virtual void onCallerLeft(const Flow &flow) = 0;
};

}
