#include "net/bootclock.h"

#include <ctime>

namespace vanillaspar
{

namespace
{

constexpr int64_t millisPerSecond = 1000;
constexpr int64_t nanosPerMilli = 1000000;

Millis read(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return Millis(time.tv_sec * millisPerSecond + time.tv_nsec / nanosPerMilli);
}

}

Millis BootClock::now() const
{
    return read(CLOCK_BOOTTIME);
}

Millis BootClock::wallNow() const
{
    return read(CLOCK_REALTIME);
}

}
