#include "core/eventlog.h"
#include "tests/fakes/servingfleet.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis contact(3000);
constexpr int64_t allowedArrivals = 3;

/** @return how often an event names a part other than the crashing one. */
int64_t countSoundParts(const ServingFleet &fleet, EventCode code)
{
    return std::count_if(fleet.log().begin(), fleet.log().end(), [code](const auto &line) {
        return line.first == code && line.second.rfind(ServingFleet::crashingPart().text(), 0) != 0;
    });
}

/** Guards against BUDGET: whole answers that end with their connection are taken for ends of replicas. */
TEST(CrashingPartCells, AreFoundWhereAnswersEndWithTheirConnection)
{
    for (const double crashingRate : {0.0, 0.7, 2.0}) {
        ServingFleet fleet({.replicas = 12, .soundRate = 30, .events = 4, .isUnframed = true}, 1);
        fleet.play(Millis(10000));
        fleet.setCrashingRate(crashingRate);
        fleet.play(Millis(20000));
        EXPECT_LE(fleet.lateArrivals(contact), allowedArrivals) << crashingRate;
        EXPECT_EQ(countSoundParts(fleet, EventCode::PromptPartSuspected), 0) << crashingRate;
        EXPECT_GE(fleet.begunShare(fleet.now() - Millis(5000), fleet.now()), 0.95) << crashingRate;
    }
}

}

}
