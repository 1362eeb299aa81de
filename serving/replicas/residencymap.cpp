#include "serving/replicas/residencymap.h"

#include "cluster/messages/fleet.h"
#include "serving/interfaces/backend.h"
#include "serving/interfaces/weights.h"

namespace vanillaspar::serving
{

namespace
{

// A replica's owner reports at least every second. If several reports in a row are missing, service discovery is the
// better source.
constexpr Millis reportLifetime(3500);

}

void ResidencyMap::onDiscovered(const Backend &backend, Millis now)
{
    Replica &replica = m_replicas[backend.id];
    const bool isNewIncarnation = replica.incarnation != backend.residency.incarnation;
    if (!isNewIncarnation && replica.reportedAt.value >= 0 && now - replica.reportedAt < reportLifetime) {
        replica.listed = backend.residency;
        return;
    }
    if (isNewIncarnation && replica.incarnation > backend.residency.incarnation) {
        return; // service discovery still lists an earlier incarnation
    }
    replica.incarnation = backend.residency.incarnation;
    if (isNewIncarnation) {
        replica.reportedAt = Millis(-1);
    }
    applyListed(backend.id, replica, backend.residency, now);
}

void ResidencyMap::applyListed(const ReplicaId &id, Replica &replica, const EngineResidency &listed, Millis now)
{
    std::map<std::string, AdapterResidency> held;
    for (const EngineAdapter &adapter : listed.adapters) {
        held[adapter.weights] = {adapter.version, now};
    }
    for (const EngineModel &model : listed.models) {
        held[model.name] = {model.version, now};
    }
    replica.listed.reset();
    replace(id, replica, held);
}

void ResidencyMap::tick(Millis now)
{
    for (auto &[id, replica] : m_replicas) {
        if (replica.listed && now - replica.reportedAt >= reportLifetime) {
            applyListed(id, replica, EngineResidency(*replica.listed), now);
        }
    }
}

bool ResidencyMap::onResidencyReport(const ResidencyReport &report, Millis now)
{
    Replica &replica = m_replicas[report.replica];
    if (report.incarnation < replica.incarnation) {
        return false;
    }
    if (replica.reportedBy == report.owner && replica.incarnation == report.incarnation
        && report.sequence <= replica.reportSequence) {
        return false;
    }
    replica.incarnation = report.incarnation;
    replica.reportedBy = report.owner;
    replica.reportSequence = report.sequence;
    replica.reportedAt = now;
    std::map<std::string, AdapterResidency> held;
    for (const ResidentAdapter &adapter : report.adapters) {
        const AdapterResidency *known = find(report.replica, adapter.weights);
        AdapterResidency residency {adapter.version, now + Millis(adapter.readyInMs)};
        residency.pausedUntil = known == nullptr ? Millis(0) : known->pausedUntil;
        held[adapter.weights] = residency;
    }
    replace(report.replica, replica, held);
    return true;
}

void ResidencyMap::replace(const ReplicaId &id, Replica &replica, const std::map<std::string, AdapterResidency> &held)
{
    for (const std::string &weights : replica.weights) {
        if (held.count(weights) == 0) {
            replica.evicted.add(weights);
            const auto holders = m_holders.find(weights);
            if (holders != m_holders.end()) {
                holders->second.erase(id);
                if (holders->second.empty()) {
                    m_holders.erase(holders);
                }
            }
        }
    }
    replica.weights.clear();
    for (const auto &[weights, residence] : held) {
        m_holders[weights][id] = residence;
        replica.weights.push_back(weights);
    }
}

bool ResidencyMap::wasHeldLately(const ReplicaId &replica, const std::string &weights) const
{
    const auto entry = m_replicas.find(replica);
    return entry != m_replicas.end() && entry->second.evicted.contains(weights);
}

void ResidencyMap::onNotResident(const ReplicaId &replica, const std::string &weights)
{
    const auto holders = m_holders.find(weights);
    if (holders != m_holders.end()) {
        holders->second.erase(replica);
        if (holders->second.empty()) {
            m_holders.erase(holders);
        }
    }
}

void ResidencyMap::pause(const ReplicaId &replica, const std::string &weights, Millis until)
{
    const auto holders = m_holders.find(weights);
    if (holders != m_holders.end()) {
        const auto residency = holders->second.find(replica);
        if (residency != holders->second.end()) {
            residency->second.pausedUntil = until;
        }
    }
}

void ResidencyMap::remove(const ReplicaId &replica)
{
    const auto entry = m_replicas.find(replica);
    if (entry != m_replicas.end()) {
        replace(replica, entry->second, {});
        m_replicas.erase(entry);
    }
}

const AdapterResidency *ResidencyMap::find(const ReplicaId &replica, const std::string &weights) const
{
    const std::map<ReplicaId, AdapterResidency> &residencies = holders(weights);
    const auto residency = residencies.find(replica);
    return residency == residencies.end() ? nullptr : &residency->second;
}

AdapterSlotUse ResidencyMap::slotUse(const ReplicaId &replica, Millis now) const
{
    AdapterSlotUse use;
    const auto entry = m_replicas.find(replica);
    if (entry == m_replicas.end()) {
        return use;
    }
    for (const std::string &weights : entry->second.weights) {
        const AdapterResidency *residency = adapterOf(weights).empty() ? nullptr : find(replica, weights);
        if (residency != nullptr) {
            ++use.resident;
            use.loading += residency->readyAt > now ? 1 : 0;
        }
    }
    return use;
}

const std::map<ReplicaId, AdapterResidency> &ResidencyMap::holders(const std::string &weights) const
{
    static const std::map<ReplicaId, AdapterResidency> none;
    const auto entry = m_holders.find(weights);
    return entry == m_holders.end() ? none : entry->second;
}

}
