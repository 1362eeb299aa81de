#pragma once

#include "cluster/clusterstore.h"
#include "cluster/lease.h"
#include "cluster/leasewatcher.h"
#include "cluster/peertable.h"
#include "node/relayapi.h"
#include "objects/objectclient.h"

#include <functional>

namespace vanillaspar
{

class ActiveConfig;
class EventLog;
class PeerLink;
class Random;
struct NodeSettings;

/**
 * Maintains this host's lease, its entry in the cluster state, and its share of the teams' rates.
 *
 * Also watches the leases of the other members and transfers shares to members that have too few.
 */
class Membership
{
public:
    struct Handlers
    {
        std::function<void()> onClusterChanged; ///< The cluster state or the usable shares changed.
        std::function<void()> onAuthorityLost; ///< The lease is lost; the node must stop using all that it owns.
        std::function<Ping()> makeHeartbeat; ///< Returns the content of the next heartbeat.
    };

    Membership(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, PeerLink &link, Random &random,
               EventLog &log, Handlers handlers);

    /** Acquires the lease as a new incarnation and discards the state of the previous one. */
    void join(const Incarnation &incarnation);
    /** Renews the lease, sends heartbeats and checks timeouts; to be called every few tens of milliseconds. */
    void tick();
    /**
     * Adds this host to the members, checks silent members and rebalances shares; to be called a few times a second.
     *
     * @param config the configuration in force; nullptr before the first.
     */
    void maintain(const ActiveConfig *config);
    /** Marks this host as leaving, so that others take over the replicas that it owns. */
    void beginLeaving();
    /** Stops the lease and removes the member entry, at the end of a graceful shutdown. */
    void leave();

    const Incarnation &incarnation() const
    {
        return m_incarnation;
    }
    /** @return whether this incarnation has a member entry and a lease that is still valid. */
    bool isMember() const;
    bool isLeaving() const
    {
        return m_isLeaving;
    }
    /** @return whether leave() has removed the member entry. */
    bool hasLeft() const
    {
        return m_hasLeft;
    }
    /** @return this host's shares of the teams' rates, out of ClusterState::totalShares, less those in transfer. */
    int64_t usableShares() const;

    const ClusterState &state() const
    {
        return m_store.state();
    }
    ClusterStore &store()
    {
        return m_store;
    }
    const PeerTable &peers() const
    {
        return m_peers;
    }
    PeerTable &peers()
    {
        return m_peers;
    }
    /** @return the client that reaches the platform through other hosts. */
    ObjectClient &relayedObjects()
    {
        return m_relayedObjects;
    }

private:
    void addOwnEntry();
    void rebalanceShares();
    void onLeaseLost();

    const NodeSettings &m_settings;
    const Clock &m_clock;
    EventLog &m_log;
    Handlers m_handlers;
    ClusterStore m_store;
    PeerTable m_peers;
    RelayApi m_relayApi;
    ObjectClient m_relayedObjects;
    Lease m_lease;
    LeaseWatcher m_watcher;
    Incarnation m_incarnation;
    bool m_isAddingEntry = false;
    bool m_isLeaving = false;
    bool m_hasLeft = false;
    bool m_isTransferringShares = false;
    int64_t m_sharesInTransfer = 0; ///< Shares being moved to another member, no longer usable here.
};

}
