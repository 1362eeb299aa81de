#include "config/activeconfig.h"

namespace vanillaspar
{

namespace
{

template<class Map, class Key>
auto findIn(const Map &map, const Key &key) -> typename Map::mapped_type
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

}

ActiveConfig::ActiveConfig(Document document, ConfigVersion version)
    : m_document(std::move(document)), m_version(version)
{
    buildIndex();
}

void ActiveConfig::buildIndex()
{
    for (const ApiKey &key : m_document.keys) {
        m_keysByHash.emplace(key.hash, &key);
        m_keys.emplace(key.id, &key);
    }
    for (const Team &team : m_document.teams) {
        m_teams.emplace(team.id, &team);
    }
    m_adapters.reserve(m_document.adapters.size());
    for (const Adapter &adapter : m_document.adapters) {
        m_adapters.emplace(adapter.ref.text(), &adapter);
    }
    for (const Replica &replica : m_document.replicas) {
        m_replicas.emplace(replica.id, &replica);
    }
    for (const auto &[id, replica] : m_replicas) {
        m_pools[replica->pool].push_back(replica);
    }
    for (const Route &route : m_document.routes) {
        m_routes.emplace(route.name, &route);
    }
}

const ApiKey *ActiveConfig::findKeyByHash(const std::string &hash) const
{
    return findIn(m_keysByHash, hash);
}

bool ActiveConfig::hasKey(const KeyId &id) const
{
    return m_keys.count(id) > 0;
}

const Team *ActiveConfig::findTeam(const TeamId &id) const
{
    return findIn(m_teams, id);
}

const Adapter *ActiveConfig::findAdapter(const AdapterRef &ref) const
{
    return findIn(m_adapters, ref.text());
}

const Replica *ActiveConfig::findReplica(const ReplicaId &id) const
{
    return findIn(m_replicas, id);
}

const Route *ActiveConfig::findRoute(const RouteName &name) const
{
    return findIn(m_routes, name);
}

const std::vector<const Replica *> &ActiveConfig::replicasOf(const PoolId &pool) const
{
    static const std::vector<const Replica *> none;
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? none : found->second;
}

}
