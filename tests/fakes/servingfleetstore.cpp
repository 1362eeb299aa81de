#include "tests/fakes/fleetconfig.h"
#include "tests/fakes/servingfleet.h"
#include "tests/fakes/servingfleetparts.h"

namespace vanillaspar::serving
{

Millis ServingFleet::restoreStore(Millis age)
{
    constexpr uint64_t rewriteSpread = 1700;
    const Millis restored = m_store.restore(age);
    for (size_t i = 0; i < m_engines.size(); ++i) {
        if (m_store.find(Collection::Backends, m_engines[i]->id.text()) == nullptr) {
            m_rewriteAt[i] = m_clock.now() + Millis(100 + static_cast<int64_t>(m_random.below(rewriteSpread)));
        }
    }
    return restored;
}

void ServingFleet::rewriteLostEntries()
{
    for (auto entry = m_rewriteAt.begin(); entry != m_rewriteAt.end();) {
        const Engine &engine = *m_engines[entry->first];
        if (m_clock.now() < entry->second) {
            ++entry;
            continue;
        }
        for (size_t i = 0; engine.isRunning && i < m_decoder.backends.size(); ++i) {
            if (m_decoder.backends[i].id == engine.id) {
                m_store.put(Collection::Backends, engine.id.text(), i);
            }
        }
        entry = m_rewriteAt.erase(entry);
    }
}

void ServingFleet::putConfiguration(int64_t version, const std::string &withdrawnKey)
{
    ServingConfig config = fleetConfig();
    config.version = ConfigVersion(version);
    config.teamByKey.erase(withdrawnKey);
    m_decoder.configs.push_back(std::make_shared<ServingConfig>(config));
    m_store.put(Collection::Configuration, "main", m_decoder.configs.size() - 1);
}

}
