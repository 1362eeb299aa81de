#include "serving/placement/loadtargetsearch.h"

#include "cluster/messages/fleet.h"
#include "serving/replicas/backendtable.h"
#include "serving/replicas/residencymap.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

constexpr int64_t adapterSlots = 3;

/** Two engines with three adapter slots each; the first one is preferred. */
class LoadTargetSearchTest : public testing::Test
{
protected:
    LoadTargetSearchTest()
    {
        for (const std::string id : {"e1", "e2"}) {
            Backend backend = makeBackend(id, "engines", {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}});
            backend.slots = 4;
            m_residency.onDiscovered(backend, m_now);
            m_backends.upsert(backend, m_now);
        }
    }
    void setRunning(const std::string &id, int requests)
    {
        for (int i = 0; i < requests; ++i) {
            m_backends.onSent(ReplicaId(id), 0, 0, 0);
        }
    }
    BackendState *state(const std::string &id) const
    {
        return m_backends.find(ReplicaId(id));
    }
    BackendState *find(const std::string &weights) const
    {
        const LoadTargetSearch search {m_residency, weights, 0, adapterSlots, m_now};
        return search.find({state("e1"), state("e2")}, [](const BackendState &engine) {
            return engine.slotLoad();
        });
    }
    void report(const std::string &id, const std::vector<ResidentAdapter> &adapters)
    {
        m_residency.onResidencyReport({ReplicaId(id), HostId("h"), 1, ++m_sequence, adapters}, m_now);
    }

    Millis m_now {1000};
    uint64_t m_sequence = 0;
    BackendTable m_backends;
    ResidencyMap m_residency;
};

// Guards against a load that waits until a request ends, although another engine could evict an adapter at once.
TEST_F(LoadTargetSearchTest, AnEngineWhoseSlotsAreAllInUseIsPassedOver)
{
    EXPECT_EQ(find("m/a9"), state("e1"));
    setRunning("e1", 3); // three of four request slots, but all of the adapter slots
    EXPECT_EQ(find("m/a9"), state("e2"));
    setRunning("e2", 3);
    EXPECT_EQ(find("m/a9"), nullptr);
}

// Guards against waiting for a copy in an engine's own memory while its slots are all in use.
TEST_F(LoadTargetSearchTest, ACopyInMemoryIsPreferredOnlyWhereASlotCanBeFreed)
{
    report("e2", {{"m", 0, 0}, {"m/a8", 1, 0}, {"m/a2", 1, 0}, {"m/a3", 1, 0}});
    report("e2", {{"m", 0, 0}, {"m/a1", 1, 0}, {"m/a2", 1, 0}, {"m/a3", 1, 0}});
    EXPECT_EQ(find("m/a8"), state("e2"));
    setRunning("e2", 3);
    EXPECT_EQ(find("m/a8"), state("e1"));
}

// Guards against counting an adapter that is being loaded as one that can be evicted.
TEST_F(LoadTargetSearchTest, AdaptersBeingLoadedOccupySlots)
{
    report("e1", {{"m", 0, 0}, {"m/a1", 1, 200}, {"m/a2", 1, 200}, {"m/a3", 1, 0}});
    setRunning("e1", 1);
    EXPECT_EQ(find("m/a9"), state("e2"));
}

}

}
