#pragma once

#include "cluster/message.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/units.h"
#include "serving/adapterversions.h"
#include "serving/admission.h"
#include "serving/backendtable.h"
#include "serving/beatexchange.h"
#include "serving/dispatcher.h"
#include "serving/enginechooser.h"
#include "serving/fleetmembers.h"
#include "serving/hostregistry.h"
#include "serving/loadcoordinator.h"
#include "serving/recordmirror.h"
#include "serving/requestlog.h"
#include "serving/residencymap.h"
#include "serving/servingsettings.h"
#include "serving/storepace.h"

#include <functional>
#include <map>
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

/** Turns records of the store into the types of this subsystem. */
class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;

    /** @return the configuration, or nullptr if the record isn't one. @throws DecodeError if it can't be read. */
    virtual std::shared_ptr<const ServingConfig> configuration(const StoredRecord &record) const = 0;
    /** @throws DecodeError if the record can't be read. */
    virtual Backend backend(const StoredRecord &record) const = 0;
    /** @return "model/adapter" and its version. @throws DecodeError if the record can't be read. */
    virtual std::pair<std::string, int64_t> adapterVersion(const StoredRecord &record) const = 0;
};

/** What the serving node works with. */
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
    std::function<void(const IngressLimits &)> onLimits; ///< Called when the callers' limits changed.
};

/**
 * Everything that one entry host decides on the platform, without sockets, threads or a clock of its own.
 *
 * Its parts: mirrors of the store's records, the hosts and their beats, who orders which replica's loads, admission and
 * the dispatcher of requests.
 */
class ServingNode
{
public:
    /** @param seed of its random numbers; another one in each life. */
    ServingNode(ServingSettings settings, ServingPorts ports, uint64_t seed);
    ~ServingNode();

    void onRequest(ClientRequest request);
    Dispatcher &dispatcher()
    {
        return m_dispatcher;
    }
    void onPeerMessage(const HostId &from, const Message &message);
    /** Does what is due; to be called every few milliseconds. */
    void tick();
    /** Takes changed bounds. */
    void setSettings(const ServingSettings &settings);

    /** Starts a graceful shutdown. */
    void beginDrain();
    /** @return whether the shutdown is over and the process may end. */
    bool isDrained() const;
    /** @return whether callers should be sent here. */
    bool isReady() const;
    /** @return figures of the present state for the metrics page: name and value. */
    std::vector<std::pair<std::string, double>> gauges() const;
    /** @return addresses that callers in a failure domain should use. */
    std::vector<std::string> callerAddresses(const DomainId &domain) const;

private:
    friend struct FleetMessageHandler;

    void onConfiguration(const std::vector<StoredRecord> &records);
    void onBackends(const std::vector<StoredRecord> &records);
    void onVersions(const std::vector<StoredRecord> &records);
    void onCoordination(const std::vector<StoredRecord> &records);
    void onBeat(const HostId &from, const HostBeat &beat);
    void removeLapsed();
    /** Follows since when the store answers this host or, by their proofs, others. */
    void followStore();
    /** @return until when an entry that is missing may be one that lapsed in an outage; the past if there was none. */
    Millis lapseEnd() const;
    void followTrust();
    void sendBeats();
    bool mayAssignOwners() const;
    /** @return how closely this host should follow the store at present. */
    const StorePace &storePace() const;
    bool reachesStore() const;
    /** @return what a beat tells of this host alone. */
    HostBeat makeBeat();
    RecordProof proofOf(int64_t revision, Millis provenAt) const;

    ServingSettings m_settings;
    ServingPorts m_ports;
    Random m_random;
    Admission m_admission;
    BackendTable m_backends;
    ResidencyMap m_residency;
    AdapterVersions m_versions;
    FleetMembers m_members;
    EngineChooser m_chooser;
    RequestLog m_requestLog;
    Dispatcher m_dispatcher;
    RecordMirror m_configuration;
    RecordMirror m_backendRecords;
    RecordMirror m_versionRecords;
    RecordMirror m_coordination;
    LoadCoordinator m_loads;
    BeatExchange m_beats;
    HostRegistry m_registry;
    std::map<ReplicaId, Millis> m_lapsed; ///< Replicas whose entries went missing right after a store outage.
    int64_t m_configRevision = 0;
    int64_t m_backendsRevision = 0; ///< Of the newest replica, or the newest life of one.
    Millis m_configProvenAt {-1};
    Millis m_storeSeenAt {-1}; ///< When the store is known to have answered anybody last.
    Millis m_storeUpSince {-1}; ///< When that began, after the last outage.
    Millis m_startedAt;
    Millis m_beatAt {0};
    Millis m_useAt {0};
    Millis m_assignAt {0};
    Millis m_drainStartedAt {-1};
    bool m_wasTrusted = false;
};

}
