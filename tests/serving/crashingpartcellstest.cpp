#include "core/eventlog.h"
#include "tests/fakes/servingfleet.h"

#include <cstdlib>
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

/** A fleet and the traffic in it, drawn from a seed. */
struct Cell
{
    explicit Cell(uint64_t seed)
    {
        Random random(seed);
        const auto draw = [&random](std::initializer_list<double> values) {
            return *(values.begin() + random.below(values.size()));
        };
        setup.hosts = static_cast<size_t>(draw({2, 4, 6, 12}));
        setup.replicas = static_cast<size_t>(draw({4, 8, 12, 18}));
        setup.soundRate = static_cast<double>(setup.replicas) * draw({0.1, 0.5, 1, 4, 10});
        setup.hasHead = random.below(2) == 0;
        setup.crashDelay = Millis(static_cast<int64_t>(draw({20, 80, 300, 1000})));
        setup.crashingPlace = random.below(3);
        crashingRate = draw({0.2, 0.5, 1.5, 4, 12, 40});
        warmUp = Millis(static_cast<int64_t>(draw({0, 3000, 15000})));
    }
    std::string text() const
    {
        return std::to_string(setup.hosts) + " hosts, " + std::to_string(setup.replicas) + " engines, sound "
            + std::to_string(setup.soundRate) + ", crashing " + std::to_string(crashingRate) + " a second, warm-up "
            + std::to_string(warmUp.value) + ", delay " + std::to_string(setup.crashDelay.value) + ", place "
            + std::to_string(setup.crashingPlace) + ", head " + std::to_string(setup.hasHead);
    }

    FleetSetup setup;
    double crashingRate = 0;
    Millis warmUp;
};

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

/** Guards against BUDGET: what one host sees by itself decided when a part that crashes replicas is blocked. */
TEST(CrashingPartCells, AreFoundInTimeAndSoundWorkGoesOn)
{
    const char *text = std::getenv("VANILLASPAR_SEEDS");
    const uint64_t seeds = text == nullptr ? 40 : std::strtoull(text, nullptr, 10);
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const Cell cell(seed);
        ServingFleet fleet(cell.setup, seed);
        fleet.play(cell.warmUp);
        fleet.setCrashingRate(cell.crashingRate);
        while (fleet.crashCount() < 5 && fleet.now() < Millis(1100000)) {
            fleet.play(Millis(200));
        }
        fleet.play(contact + contact);
        const Millis settled = fleet.now();
        fleet.play(Millis(15000));
        EXPECT_LE(fleet.lateArrivals(contact), allowedArrivals) << "seed " << seed << ", " << cell.text();
        EXPECT_EQ(countSoundParts(fleet, EventCode::PromptPartSuspected), 0) << "seed " << seed << ", " << cell.text();
        EXPECT_GE(fleet.lowestBegunShare(settled, fleet.now()), 0.5) << "seed " << seed << ", " << cell.text();
    }
}

}

}
