// Guards against a stale unload order: its sender pauses between deciding and sending for longer than the long lease,
// and the order reaches the replica after another host has taken it over and uses the adapter.

#include "objects/objectcall.h"
#include "tests/fakes/fleet.h"
#include "tests/matrix/scenario.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

constexpr uint64_t fleetSeed = 11;
constexpr int adapterCount = 14;
constexpr Millis holdDuration(26'000); // longer than the long lease of makeFleet()

/** The delayed unload order and its outcome. */
struct HeldOrder
{
    ReplicaId replica;
    AdapterRef adapter;
    bool hasArrived = false;
    uint64_t unloadsInUse = 0;
};

bool isUnload(const PendingStep &step)
{
    const auto *order = step.call ? std::get_if<OrderCall>(&step.call->work) : nullptr;
    return order != nullptr && order->order == OrderCall::Order::Unload;
}

std::string adapterName(int index)
{
    return "team-0-adapter-" + std::to_string(index) + "@1";
}

/**
 * Delays the first unload order for a replica that checks fencing numbers, or one that doesn't, lets another host take
 * the replica over, and keeps the adapter in use while the order arrives.
 *
 * @param checksFence whether the replica checks fencing numbers.
 * @param mutate disables a protection before the run; may be nullptr.
 * @return the order and the number of unloads that hit an adapter in use.
 */
HeldOrder holdUnload(bool checksFence, void (*mutate)(Fleet &))
{
    const std::unique_ptr<Fleet> fleet = makeFleet(fleetSeed);
    if (mutate != nullptr) {
        mutate(*fleet);
    }
    HeldOrder held;
    fleet->onStep = [&](PendingStep &step) {
        if (!held.replica.isEmpty() || !isUnload(step)
            || fleet->replicas.at(step.call->replica).replica.checksFencingNumber != checksFence) {
            return false;
        }
        held.replica = step.call->replica;
        held.adapter = std::get<OrderCall>(step.call->work).adapter;
        fleet->pause(step.host, holdDuration);
        fleet->add(fleet->clock.now() + holdDuration, StepKind::Other, step.host, [&held, deliver = step.deliver] {
            held.hasArrived = true;
            deliver();
        });
        return true;
    };
    for (int i = 0; held.replica.isEmpty() && i < 200; ++i) {
        fleet->request(static_cast<size_t>(i) % 3, "secret-team-0", adapterName(i % adapterCount),
                       "churn " + std::to_string(i), Tokens(40));
        fleet->runFor(Millis(50));
    }
    fleet->runFor(holdDuration - Millis(2500));
    // With the other replicas down, the adapter's requests can only go to this one.
    for (auto &[id, replica] : fleet->replicas) {
        if (id != held.replica) {
            replica.downUntil = fleet->clock.now() + Millis(8000);
        }
    }
    for (int i = 0; i < 120; ++i) {
        fleet->request(static_cast<size_t>(i) % 3, "secret-team-0", held.adapter.text(), "busy " + std::to_string(i),
                       Tokens(40));
        fleet->runFor(Millis(40));
    }
    fleet->runFor(Millis(5000));
    held.unloadsInUse = fleet->replicas.at(held.replica).engine.unloadsInUse();
    return held;
}

void disableFencingChecks(Fleet &fleet)
{
    for (auto &[id, replica] : fleet.replicas) {
        replica.engine.setChecksFence(false);
    }
}

void hideIntents(Fleet &fleet)
{
    fleet.alterReply = [](const ObjectCall &call, ObjectReply &reply) {
        if (call.path.rfind("system/intents/", 0) == 0 && call.kind == ObjectCall::Kind::Get) {
            reply.status = ObjectReply::Status::Missing;
            reply.value.clear();
        }
    };
}

TEST(StaleOrder, IsRefusedByAReplicaThatChecksFences)
{
    const HeldOrder held = holdUnload(true, nullptr);
    EXPECT_TRUE(held.hasArrived);
    EXPECT_EQ(held.unloadsInUse, 0U);
}

TEST(StaleOrder, HitsNoAdapterInUseWithoutFenceChecks)
{
    const HeldOrder held = holdUnload(false, nullptr);
    EXPECT_TRUE(held.hasArrived);
    EXPECT_EQ(held.unloadsInUse, 0U);
}

// Mutation checks: without the protection the same order does unload an adapter in use.
TEST(StaleOrder, MutationFencesIgnored)
{
    EXPECT_GT(holdUnload(true, disableFencingChecks).unloadsInUse, 0U);
}

TEST(StaleOrder, MutationIntentsHidden)
{
    EXPECT_GT(holdUnload(false, hideIntents).unloadsInUse, 0U);
}

}

}
