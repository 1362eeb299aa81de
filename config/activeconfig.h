#pragma once

#include "config/document.h"
#include "core/units.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaspar
{

/** An accepted configuration document with indexes for the lookups that requests need. Immutable. */
class ActiveConfig
{
public:
    /**
     * @param document a validated document.
     * @param version the configuration version under which it was accepted.
     */
    ActiveConfig(Document document, ConfigVersion version);
    ActiveConfig(const ActiveConfig &) = delete;
    ActiveConfig &operator=(const ActiveConfig &) = delete;

    ConfigVersion version() const
    {
        return m_version;
    }
    const Document &document() const
    {
        return m_document;
    }

    /**
     * @param hash SHA-256 of the secret, in lower-case hexadecimal.
     * @return the key, or nullptr if it was withdrawn or never issued.
     */
    const ApiKey *findKeyByHash(const std::string &hash) const;
    /** @return whether the key exists, that is, was not withdrawn. */
    bool hasKey(const KeyId &id) const;
    /** @return the team, or nullptr if it does not exist. */
    const Team *findTeam(const TeamId &id) const;
    /** @return the adapter version, or nullptr if it does not exist. */
    const Adapter *findAdapter(const AdapterRef &ref) const;
    /** @return the replica, or nullptr if it does not exist. */
    const Replica *findReplica(const ReplicaId &id) const;
    /** @return the route, or nullptr if it does not exist. */
    const Route *findRoute(const RouteName &name) const;
    /** @return the pool's replicas in ascending order of their ids; empty for an unknown pool. */
    const std::vector<const Replica *> &replicasOf(const PoolId &pool) const;

private:
    void buildIndex();

    Document m_document;
    ConfigVersion m_version;
    std::unordered_map<std::string, const ApiKey *> m_keysByHash;
    std::map<KeyId, const ApiKey *> m_keys;
    std::map<TeamId, const Team *> m_teams;
    std::unordered_map<std::string, const Adapter *> m_adapters;
    std::map<ReplicaId, const Replica *> m_replicas;
    std::map<RouteName, const Route *> m_routes;
    std::map<PoolId, std::vector<const Replica *>> m_pools;
};

}
