#pragma once

#include "cluster/message.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/units.h"
#include "serving/admission/admission.h"
#include "serving/dispatcher.h"
#include "serving/guards/promptguard.h"
#include "serving/interfaces/recorddecoder.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/loadcoordinator.h"
#include "serving/membership/configstate.h"
#include "serving/membership/demandexchange.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/heartbeatexchange.h"
#include "serving/membership/hostregistry.h"
#include "serving/membership/latencyexchange.h"
#include "serving/membership/pollintervals.h"
#include "serving/membership/promptrecords.h"
#include "serving/membership/recordmirror.h"
#include "serving/membership/recordrelay.h"
#include "serving/membership/storeavailability.h"
#include "serving/membership/storeproofs.h"
#include "serving/membership/versionrecords.h"
#include "serving/placement/enginechooser.h"
#include "serving/placement/replicalatencies.h"
#include "serving/queueing/requestlog.h"
#include "serving/replicalimits.h"
#include "serving/replicas/adapterversions.h"
#include "serving/replicas/backendtable.h"
#include "serving/replicas/expiredentries.h"
#include "serving/replicas/replicanotices.h"
#include "serving/replicas/residencymap.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillaspar
{
class Clock;
class EventLog;
class PeerLink;
}

namespace vanillaspar::serving
{

class OrderPort;
class RequestMetrics;

/** Dependencies of ServingNode. */
struct ServingPorts
{
    const Clock &clock;
    StateStore &store;
    const RecordDecoder &decoder;
    PeerLink &peers;
    ResponseWriter &callers;
    AttemptSender &attempts;
    OrderPort &orders;
    EventLog &log;
    RequestMetrics &metrics;
    std::function<void(const IngressLimits &)> onLimits; ///< Called with each new configuration's limits for callers.
};

/**
 * All decisions of one entry host on the platform. It has no sockets, threads or clock of its own.
 *
 * Its parts are mirrors of the store's records, the fleet of hosts and their heartbeats, the coordination of adapter
 * and model loads by each replica's owner, admission, and the dispatcher of requests.
 */
class ServingNode
{
public:
    /** @param seed of its random numbers; must differ in each incarnation, which is drawn from them. */
    ServingNode(ServingSettings settings, ServingPorts ports, uint64_t seed);
    ~ServingNode();

    /** Admits and dispatches a caller's request, or refuses it. */
    void onRequest(ClientRequest request);
    Dispatcher &dispatcher()
    {
        return m_dispatcher;
    }
    /** @return the listener for what replicas say of themselves in their answers. */
    ReplicaNoticeListener &replicaNotices()
    {
        return m_notices;
    }
    /** Handles a message from the host @p from. */
    void onPeerMessage(const HostId &from, const Message &message);
    /** Runs all periodic work that is due; to be called every few milliseconds. */
    void tick();
    /** Applies changed limits. */
    void setSettings(const ServingSettings &settings);

    /** Starts a graceful shutdown. Further calls have no effect. */
    void beginDrain();
    /** @return whether the shutdown is complete and the process may exit. */
    bool isDrained() const;
    /** The process ends: logs each request without a complete response. @return how many there are. */
    size_t reportUnanswered();
    /** @return whether callers should be directed to this host. */
    bool isReady() const;
    /** @return whether this host sends the requests with a restricted part of prompts now. */
    bool isProber(const PromptPartId &part) const;
    /** @return the present values of the gauges on the metrics page, by name. */
    std::vector<std::pair<std::string, double>> gauges() const;
    /** @return addresses that callers in the failure domain @p domain should use. */
    std::vector<std::string> callerAddresses(const DomainId &domain) const;

private:
    friend struct FleetMessageHandler;

    void onConfiguration(const std::vector<StoredRecord> &records);
    void onBackends(const std::vector<StoredRecord> &records);
    void onCoordination(const std::vector<StoredRecord> &records);
    void onHeartbeat(const HostId &from, const HostHeartbeat &heartbeat);
    void onStoreProof(const StoreProof &proof);
    /** Reads the replicas' entries again if another host knows a newer one. */
    void onPeerBackends(StorePosition position);
    void removeExpiredEntries();
    /** Updates since when the store has answered this host or, by the freshness that they report, others. */
    void updateStoreAvailability();
    /** Updates until when the configuration may be used, and the poll intervals. */
    void updateConfigTrust();
    void sendHeartbeats();
    /** @return whether this host should assign owners to replicas: it is the leader and has all records. */
    bool mayAssignOwners() const;
    /** @return the intervals for this host's present role: leader, hub or leaf host. */
    const PollIntervals &pollIntervals() const
    {
        return m_relay.intervals();
    }
    bool reachesStore() const;
    /** @return a heartbeat with the state of this host alone. */
    HostHeartbeat makeOwnHeartbeat();
    /** @return the positions of this host's copies and how fresh they are. */
    CopyStates copyStates() const
    {
        return {{m_config.position(), m_config.freshAsOf()},
                m_config.newestVersion(),
                {m_loads.position(), m_loads.freshAsOf()},
                {m_versionRecords.position(), m_versionRecords.freshAsOf()},
                m_backendsPosition};
    }
    /** @return the mirrors of all collections. */
    std::array<RecordMirror *, 4> mirrors()
    {
        return {&m_configuration, &m_backendRecords, &m_versionRecords.mirror(), &m_coordination};
    }

    ServingSettings m_settings;
    ServingPorts m_ports;
    Random m_random;
    Admission m_admission;
    BackendTable m_backends;
    ResidencyMap m_residency;
    AdapterVersions m_versions;
    FleetMembers m_members;
    ReplicaLatencies m_latencies;
    EngineChooser m_chooser;
    ReplicaNotices m_notices;
    PromptGuard m_prompts;
    RequestLog m_requestLog;
    Dispatcher m_dispatcher;
    RecordRelay m_relay;
    RecordMirror m_configuration;
    RecordMirror m_backendRecords;
    VersionRecords m_versionRecords;
    RecordMirror m_coordination;
    LoadCoordinator m_loads;
    HeartbeatExchange m_heartbeats;
    LatencyExchange m_latencyExchange {
        {m_settings, m_ports.clock, m_ports.peers, m_ports.log, m_members, m_backends, m_latencies}};
    DemandExchange m_demands;
    PromptRecords m_promptRecords;
    HostRegistry m_registry;
    ReplicaLimits m_limits;
    /** Replicas whose entries were removed right after a store outage, and until when these may be written again. */
    ExpiredEntries m_expiredEntries;
    ConfigState m_config;
    StoreProofs m_storeProofs;
    StoreAvailability m_availability;
    StorePosition m_backendsPosition; ///< Of the newest entry of a new or restarted replica.
    Millis m_startedAt;
    Millis m_heartbeatSentAt {0};
    Millis m_adapterUseSentAt {0};
    Millis m_ownersAssignedAt {0};
    Millis m_drainStartedAt {-1};
    bool m_wasTrusted = false;
};

}
