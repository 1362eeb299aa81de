#include "serving/loading/ownertable.h"
#include "tests/fakes/fleetconfig.h"
#include "tests/fakes/servingfleet.h"
#include "tests/fakes/servingfleetparts.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

std::string describe(const ReplicaId &replica, const ServingFleet::OrderSeen &order, const std::string &fault)
{
    return replica.text() + " at " + std::to_string(order.at.value) + ": " + order.issuer.text()
        + " with fencing number " + std::to_string(order.fencingNumber.value) + " " + fault + "\n";
}

}

void ServingFleet::kill(size_t number)
{
    for (const auto &engine : m_engines) {
        std::erase_if(engine->runs, [&](const Run &run) {
            return run.host == number;
        });
    }
    setFrozen(number, true);
}

void ServingFleet::killEngine(size_t engine)
{
    endEngine(engine, false);
}

void ServingFleet::restartEngine(size_t number)
{
    Engine &engine = *m_engines[number];
    endEngine(number, false);
    engine.isRunning = true;
    engine.entryEndsAt = Millis(-1);
    engine.backend.residency.incarnation = m_clock.now().value;
    m_decoder.backends.push_back(engine.backend);
    m_store.put(Collection::Backends, engine.id.text(), m_decoder.backends.size() - 1);
}

std::string ServingFleet::misplacedOrders() const
{
    const Millis orderLease = ServingSettings().orderLease;
    std::string found;
    for (const auto &[replica, orders] : m_orders) {
        std::map<Epoch, HostId> issuers;
        const OrderSeen *last = nullptr;
        for (const OrderSeen &order : orders) {
            const HostId &issuer = issuers.emplace(order.fencingNumber, order.issuer).first->second;
            if (issuer != order.issuer) {
                found += describe(replica, order, "of " + issuer.text());
            }
            if (last != nullptr && order.fencingNumber < last->fencingNumber) {
                found += describe(replica, order,
                                  "after " + std::to_string(last->fencingNumber.value) + " of " + last->issuer.text());
            }
            if (last != nullptr && order.issuer != last->issuer && order.at - last->at < orderLease) {
                found += describe(replica, order,
                                  std::to_string((order.at - last->at).value) + " ms after " + last->issuer.text());
            }
            last = &order;
        }
    }
    return found;
}

size_t ServingFleet::ownerOf(size_t engine) const
{
    const StoredRecord *owners = m_store.find(Collection::Coordination, "owners");
    if (owners == nullptr) {
        return m_hosts.size();
    }
    const OwnerTable table = OwnerTable::fromJson(owners->content);
    const OwnerEntry *entry = table.find(m_engines[engine]->id);
    size_t host = 0;
    while (host < m_hosts.size() && (entry == nullptr || entry->host != hostId(host))) {
        ++host;
    }
    return host;
}

const ServingFleet::OrderSeen *ServingFleet::lastOrder(size_t engine) const
{
    const auto orders = m_orders.find(m_engines[engine]->id);
    return orders == m_orders.end() ? nullptr : &orders->second.back();
}

void ServingFleet::crashOnLoad(const ReplicaId &replica)
{
    for (size_t i = 0; i < m_engines.size(); ++i) {
        if (m_engines[i]->isRunning && m_engines[i]->id == replica) {
            m_loadCrashes.push_back(m_clock.now());
            endEngine(i, false);
        }
    }
}

}
