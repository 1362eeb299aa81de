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
 * This node's place in the fleet: its lease, its entry among the members, its part of the teams' rates.
 */
class Membership
{
public:
    struct Handlers
    {
        std::function<void()> onClusterChanged;
        std::function<void()> onAuthorityLost; ///< Everything held must be given up at once.
        std::function<Ping()> makeHeartbeat;
    };

    Membership(const NodeSettings &settings, const Clock &clock, ObjectClient &objects, PeerLink &link, Random &random,
               EventLog &log, Handlers handlers);

    /** Joins as a new incarnation. */
    void join(const Incarnation &incarnation);
    void tick();
    /** Joins, watches silent members and shares out rates; to be called a few times a second. */
    void maintain(const ActiveConfig *config);
    /** Marks this node as leaving, so that others take over what it owns. */
    void beginLeaving();
    /** Gives up the membership at the end of a graceful shutdown. */
    void leave();

    const Incarnation &incarnation() const
    {
        return m_incarnation;
    }
    /** @return whether this incarnation is a member with authority. */
    bool isMember() const;
    bool isLeaving() const
    {
        return m_isLeaving;
    }
    /** @return whether the member entry is gone after leave(). */
    bool hasLeft() const
    {
        return m_hasLeft;
    }
    /** @return shares of the teams' rates that this node may use. */
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
    int64_t m_sharesInTransfer = 0; ///< On their way to another member.
};

}
