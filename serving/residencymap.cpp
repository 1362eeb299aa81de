#include "serving/residencymap.h"

#include "cluster/messages/fleet.h"
#include "serving/backend.h"

namespace vanillaspar::serving
{

namespace
{

// The host that orders a replica's loads repeats its news every second; after some of them are missing, service
// discovery is the better source.
constexpr Millis newsLifetime(3500);

}

void ResidencyMap::onDiscovered(const Backend &backend, Millis now)
{
    Replica &replica = m_replicas[backend.id];
    const bool isNewLife = replica.bornAt != backend.residency.incarnation;
    if (!isNewLife && replica.newsAt.value >= 0 && now - replica.newsAt < newsLifetime) {
        return;
    }
    if (isNewLife && replica.bornAt > backend.residency.incarnation) {
        return; // an entry of an earlier life
    }
    replica.bornAt = backend.residency.incarnation;
    if (isNewLife) {
        replica.newsAt = Millis(-1);
    }
    std::map<std::string, Residence> held;
    for (const EngineAdapter &adapter : backend.residency.adapters) {
        held[adapter.weights] = {adapter.version, now};
    }
    for (const EngineModel &model : backend.residency.models) {
        held[model.name] = {model.version, now};
    }
    replace(backend.id, replica, held);
}

bool ResidencyMap::onNews(const ResidencyNews &news, Millis now)
{
    Replica &replica = m_replicas[news.replica];
    if (news.bornAt < replica.bornAt) {
        return false;
    }
    if (replica.newsFrom == news.owner && replica.bornAt == news.bornAt && news.sequence <= replica.newsSequence) {
        return false;
    }
    replica.bornAt = news.bornAt;
    replica.newsFrom = news.owner;
    replica.newsSequence = news.sequence;
    replica.newsAt = now;
    std::map<std::string, Residence> held;
    for (const ResidentAdapter &adapter : news.adapters) {
        const Residence *known = find(news.replica, adapter.weights);
        Residence place {adapter.version, now + Millis(adapter.readyIn)};
        if (known != nullptr && known->version == place.version && adapter.readyIn == 0 && known->readyAt > now) {
            place.readyAt = known->readyAt; // the replica itself has said that it isn't ready yet
        }
        held[adapter.weights] = place;
    }
    replace(news.replica, replica, held);
    return true;
}

void ResidencyMap::replace(const ReplicaId &id, Replica &replica, const std::map<std::string, Residence> &held)
{
    for (const std::string &weights : replica.weights) {
        if (held.count(weights) == 0) {
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

void ResidencyMap::onMissing(const ReplicaId &replica, const std::string &weights)
{
    const auto holders = m_holders.find(weights);
    if (holders != m_holders.end()) {
        holders->second.erase(replica);
        if (holders->second.empty()) {
            m_holders.erase(holders);
        }
    }
}

void ResidencyMap::postpone(const ReplicaId &replica, const std::string &weights, Millis until)
{
    const auto holders = m_holders.find(weights);
    if (holders != m_holders.end()) {
        const auto place = holders->second.find(replica);
        if (place != holders->second.end()) {
            place->second.readyAt = until;
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

const Residence *ResidencyMap::find(const ReplicaId &replica, const std::string &weights) const
{
    const std::map<ReplicaId, Residence> &places = holders(weights);
    const auto place = places.find(replica);
    return place == places.end() ? nullptr : &place->second;
}

const std::map<ReplicaId, Residence> &ResidencyMap::holders(const std::string &weights) const
{
    static const std::map<ReplicaId, Residence> none;
    const auto entry = m_holders.find(weights);
    return entry == m_holders.end() ? none : entry->second;
}

}
